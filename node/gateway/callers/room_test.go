package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is never read on: its reader waits until an upload ends and holds no more bytes,
// and looks in the moment in which the upload still counts as running but has said already that there is room.
func TestReaderIsWokenOnceTheLastUploadHasEnded(t *testing.T) {
	g := newRig(t, bounds(64<<20))
	upload := func(n int) string {
		return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n%s", n, data[:400000])
	}
	text := upload(1) + upload(2) + get("/3")
	for n := range 600 {
		conn := g.send("")
		go func() { _, _ = io.WriteString(conn, text) }() // ends with the connection
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
		in := bufio.NewReader(conn)
		for i := range 3 {
			response, err := http.ReadResponse(in, nil)
			assert.NilError(t, err, "connection %d, response %d", n, i)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
		}
		assert.NilError(t, conn.Close())
	}
}

// Guards against callers that fill a VM with long headers, which no configuration limits before the first one is known.
func TestLongHeadersHoldNoMoreThanThereIsRoomFor(t *testing.T) {
	const total = 4 << 20
	g := newRig(t, bounds(total))
	unfinished := "GET /1 HTTP/1.1\r\nHost: h\r\nX-Padding: " + strings.Repeat("p", 200<<10)
	var refused atomic.Int64
	var all []net.Conn
	for range 100 {
		conn := g.send("")
		all = append(all, conn)
		go func() {
			_, _ = io.WriteString(conn, unfinished) // a refusal ends it
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.StatusCode == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		}()
	}
	held := func() int64 { bytes, _ := g.vm.Held(); return bytes }
	for end := time.Now().Add(5 * time.Second); refused.Load() == 0 || held() < total/4; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, held() <= total)
		assert.Assert(t, time.Now().Before(end), "%d refused, %d bytes held", refused.Load(), held())
	}
	for _, conn := range all {
		assert.NilError(t, conn.Close())
	}
	for end := time.Now().Add(5 * time.Second); held() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes held after all have left", held())
	}
}
