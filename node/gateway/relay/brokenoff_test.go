package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/upstream"
	"heatherlock/responses"
	"heatherlock/standin/endpoint"
	"heatherlock/standin/resetlinks"
	"heatherlock/standin/targetlinks"
)

// scripted makes the first request meet a scripted response, and the others usual ones.
func (g *rig) scripted(s endpoint.Script) {
	for _, e := range g.targets {
		e.SetScript(s)
	}
	g.faults(func(n int) endpoint.Fault {
		if n == 1 {
			return endpoint.Scripted
		}
		return endpoint.None
	})
}

// scriptTime is the time that a request has here.
const scriptTime = 2 * time.Second

const (
	named = "X-Request-Id: {id}\r\nX-Response-Signature: proof\r\n"
	sized = "Content-Length: {length}\r\n\r\n{body}"
	usual = "HTTP/1.1 200 OK\r\n" + named + sized
)

// upload is a body that no buffer on the way to a target takes whole.
var upload = strings.Repeat("x", 900<<10)

// send sends an upload in a version of HTTP on a new connection, and reads the response while it is sent.
func (g *rig) send(version string) reply {
	g.t.Helper()
	raw, err := net.Dial("tcp4", g.address)
	assert.NilError(g.t, err)
	defer raw.Close()
	conn := responses.NewConn(raw)
	assert.NilError(g.t, conn.SetDeadline(time.Now().Add(scriptTime)))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /upload/1 HTTP/%s\r\nHost: shop.example\r\nX-Request-Id: upload-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			version, g.number.Add(1), scriptTime.Milliseconds(), len(upload), upload) // the response may come before its end
	}()
	started := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err, time.Since(started)}
}

// earlyResponses are parts of responses without a length, how much is read of each before the write of the request fails,
// and how long after it the reset comes.
var earlyResponses = map[string]struct {
	part, free int
	pause      time.Duration
}{
	"reset before anything is read":                              {9, 0, 0},
	"reset once the head is read":                                {9, 60, 0},
	"reset within a response that is passed on while it is read": {300_000, 1 << 20, 50 * time.Millisecond},
}

// Guards against a part of a response without a length that is passed on as all of it, because the write of the request
// took the only report of the reset.
func TestResponseResetDuringTheUploadIsNotPassedOn(t *testing.T) {
	for name, early := range earlyResponses {
		for _, version := range []string{"1.0", "1.1"} {
			for _, vms := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, HTTP/%s, %d VMs", name, version, vms), func(t *testing.T) {
					dial := func(ctx context.Context, address string) (net.Conn, error) {
						return resetlinks.Dial(ctx, address, early.free)
					}
					g := newRigDialing(t, 2, nil, dial)
					script := endpoint.Script{Text: "HTTP/1.1 200 OK\r\n" + named + "\r\n" + strings.Repeat("p", early.part), Early: true, Pause: early.pause, End: endpoint.EndReset}
					if vms == 2 {
						p := newPairOf(t, g)
						p.cut(targetlinks.Reset)
						p.rig.scripted(script)
						g = p.rig
					} else {
						g.scripted(script)
					}
					got := g.send(version)
					assert.Check(t, got.err != nil || got.status == http.StatusBadGateway, "status %d %v, %d bytes", got.status, got.header, len(got.body))
				})
			}
		}
	}
}

// Guards against a whole response to an upload that is given up because the connection is reset after its end.
func TestWholeResponseToAnUploadIsPassedOn(t *testing.T) {
	for name, script := range map[string]endpoint.Script{
		"length, then a reset":            {Text: usual, End: endpoint.EndReset},
		"chunks, then a reset":            {Text: "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\n\r\n", End: endpoint.EndReset},
		"an end, then a reset":            {Text: "HTTP/1.1 200 OK\r\n" + named + "\r\n{body}", End: endpoint.EndHalfClosedReset},
		"an end, then the upload is read": {Text: "HTTP/1.1 200 OK\r\n" + named + "\r\n{body}", End: endpoint.EndHalfClosed},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				for range 5 {
					g := newRigDialing(t, 1, nil, upstream.Dial)
					script.Early = true
					g.scripted(script)
					got := g.send(version)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					assert.Check(t, strings.HasPrefix(got.body, "the whole"), "%q", got.body)
				}
			})
		}
	}
}
