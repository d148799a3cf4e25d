package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
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
