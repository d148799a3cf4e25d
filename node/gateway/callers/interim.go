package callers

import (
	"bytes"
	"net/http"
	"time"

	"heatherlock/node/lock"
)

// interimResponses sends the interim responses of one request. It is safe for concurrent use.
type interimResponses struct {
	conn     *conn
	previous <-chan struct{} // closed once the response before has been written

	mu    lock.Mutex // held during a write
	ended bool
}

// send writes one, unless earlier responses of the connection are still to be written. If the other side does not
// take it in time, the connection is closed, as a part of it may have been written.
func (i *interimResponses) send(h http.Header) {
	select {
	case <-i.previous:
	default:
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended || i.conn.unwritable.Load() {
		return
	}
	var raw bytes.Buffer
	raw.WriteString("HTTP/1.1 102 Processing\r\n")
	_ = h.Write(&raw) // a buffer takes all
	raw.WriteString("\r\n")
	_ = i.conn.raw.SetWriteDeadline(time.Now().Add(interimTimeout))
	if _, err := i.conn.raw.Write(raw.Bytes()); err != nil {
		i.conn.abort(nil)
		return
	}
	_ = i.conn.raw.SetWriteDeadline(time.Time{})
}

// end makes send write nothing from now on.
func (i *interimResponses) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}
