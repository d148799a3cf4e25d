package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

// Guards against a caller that gets another caller's response: a target sends a second response,
// which stays on the connection for the next request. The request IDs have to be compared.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := newRig(t, 1, nil)
	g.faults(func(int) endpoint.Fault { return endpoint.Extra })
	for range 3 {
		got := g.ask("POST", "/buy/1", "paid", 2*time.Second)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, g.targets[0].Body())
	}
}

// Guards against a target that parses the rest of an upload as a new request. A target that
// responds before it has read the body, and keeps the connection open, must not get another request
// on that connection.
func TestConnectionIsNotUsedAfterAnEarlyAnswer(t *testing.T) {
	g := newRig(t, 1, nil)
	g.faults(func(int) endpoint.Fault { return endpoint.Early })
	body := strings.Repeat("GET /smuggled HTTP/1.1\r\n\r\n", 15000)
	assert.Equal(t, g.ask("POST", "/upload/1", body, 2*time.Second).status, 400)
	g.faults(func(int) endpoint.Fault { return endpoint.None })
	for range 3 {
		assert.Equal(t, g.ask("GET", "/read/1", "", 2*time.Second).status, 200)
	}
	assert.Equal(t, len(g.runs()), 3)
	for _, run := range g.runs() {
		assert.Equal(t, run.Path, "/read/1")
	}
}

// Guards against corrupted uploads where the buffered beginning of a body and its rest are joined
// wrongly: bodies larger than the buffer, and chunked bodies.
func TestUploadsOfAllSizesArriveWhole(t *testing.T) {
	g := newRig(t, 1, nil)
	for _, size := range []int{0, 1, 4096, 512<<10 - 1, 512 << 10, 512<<10 + 1, 900 << 10} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		assert.Equal(t, g.ask("POST", "/upload/1", body, 5*time.Second).status, 200, "size %d", size)
		runs := g.runs()
		assert.Assert(t, runs[len(runs)-1].Body == body, "size %d", size)
	}
	assert.Equal(t, g.ask("POST", "/upload/1", strings.Repeat("x", 1<<20+1), time.Second).status, 413)
	chunked := "POST /upload/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"
	assert.Equal(t, g.raw(chunked, 1)[0].StatusCode, 200)
	runs := g.runs()
	assert.Equal(t, runs[len(runs)-1].Body, "abcdefgh")
}

// Guards against a target that stores the first part of an upload as if it were complete: a body
// without a Content-Length exceeds the limit. The target must never see the end of such a body.
func TestOversizedBodyIsNotForwardedAsComplete(t *testing.T) {
	g := newRig(t, 1, nil)
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	text := "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: big\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "0\r\n\r\n"
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // the entry VM may stop reading
	response := readResponses(t, conn, 1)[0]
	assert.Assert(t, response.StatusCode >= 400, "status %d", response.StatusCode)
	assert.Equal(t, len(g.runs()), 0)
}

// Guards against responses in the wrong order for a caller that pipelines requests, when the second
// response is ready before the first.
func TestAnswersComeInTheOrderOfTheRequests(t *testing.T) {
	g := newRig(t, 2, nil)
	for _, e := range g.targets {
		e.SetFault(func(r *http.Request) endpoint.Fault {
			if r.URL.Path == "/read/0" {
				time.Sleep(100 * time.Millisecond)
			}
			return endpoint.None
		})
	}
	text := ""
	for n := range 5 {
		text += fmt.Sprintf("GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\nX-Affinity-Key: %d\r\n\r\n", n, n, n)
	}
	for n, response := range g.raw(text, 5) {
		assert.Equal(t, response.Header.Get("X-Request-Id"), fmt.Sprint("p", n))
	}
}

// Each kind of malformed request gets its own status, so that callers can tell what was wrong, and
// none reaches a target.
func TestBadRequestsGetTheirStatus(t *testing.T) {
	g := newRig(t, 1, nil)
	for status, text := range map[int]string{
		400: "GET /read/1 HTTP/1.1\r\nHost: a\r\nHost : b\r\n\r\n",
		431: "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Long: " + strings.Repeat("x", 9<<10) + "\r\n\r\n",
		408: "GET /read/1 HTTP/1.1\r\nHost: shop",
		413: "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999\r\n\r\n",
	} {
		assert.Equal(t, g.raw(text, 1)[0].StatusCode, status)
	}
	assert.Equal(t, len(g.runs()), 0)
}

// Guards against a request that runs twice while an entry VM drains: a response closes the
// connection, and the caller resends elsewhere what it had pipelined after it. A request read after
// that response must not run.
func TestNothingRunsAfterAResponseThatClosesTheConnection(t *testing.T) {
	g := newRig(t, 1, nil)
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	send := func(n int) {
		_, _ = fmt.Fprintf(conn, "POST /buy/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: l%d\r\nContent-Length: 0\r\n\r\n", n, n) // the entry VM may have closed the connection
	}
	send(0)
	assert.Equal(t, readResponses(t, conn, 1)[0].Close, false)
	g.server.StartDrain()
	send(1)
	assert.Equal(t, readResponses(t, conn, 1)[0].Close, true)
	send(2)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(g.runs()), 2)
}

// Guards against opening a new connection for each request.
func TestConnectionsAreKept(t *testing.T) {
	g := newRig(t, 1, nil)
	for range 20 {
		assert.Equal(t, g.ask("GET", "/read/1", "", time.Second).status, 200)
	}
	assert.Equal(t, g.targets[0].Connections(), 1)
}
