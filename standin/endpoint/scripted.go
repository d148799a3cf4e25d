package endpoint

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Script is the response of a target with the fault Scripted: bytes that break the protocol in a way of the test's choice.
type Script struct {
	// Text is sent as it is, but for "{id}", "{length}" and "{body}", which stand for the ID of the request and for
	// the body of complete responses.
	Text string
	// Early responds before the body of the request is read.
	Early bool
	// Pause is how long after the text the response ends.
	Pause time.Duration
	End   ScriptEnd
}

// ScriptEnd is how a scripted response ends.
type ScriptEnd uint8

// Ends of scripted responses.
const (
	// EndClosed closes the connection.
	EndClosed ScriptEnd = iota
	// EndReset resets the connection.
	EndReset
	// EndHalfClosed ends the connection for writing, and then reads the request to its end.
	EndHalfClosed
	// EndHalfClosedReset ends the connection for writing, and resets it a little later.
	EndHalfClosedReset
	// EndOpen keeps the connection open and reads nothing more.
	EndOpen
)

// SetScript sets the response to requests with the fault Scripted.
func (e *Endpoint) SetScript(s Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = s
}

func (e *Endpoint) scriptOf(fault Fault) (s Script, scripted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.script, fault == Scripted
}

// Expand returns the text of the script for the request with an ID.
func (s Script) Expand(id, body string) string {
	return strings.NewReplacer("{id}", id, "{length}", strconv.Itoa(len(body)), "{body}", body).Replace(s.Text)
}

// play sends the script on the connection of w.
func (e *Endpoint) play(w http.ResponseWriter, r *http.Request, s Script) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte(s.Expand(r.Header.Get("X-Request-Id"), e.Body()))) // the caller may have disconnected
	time.Sleep(s.Pause)
	if s.End == EndOpen {
		e.keepOpen(conn)
		return
	}
	end(conn, s.End)
	_ = conn.Close()
}

// resetDelay is how long after the end of a response its connection is reset.
const resetDelay = 20 * time.Millisecond

// end does what precedes closing the connection. A test whose connection ends in another way fails by itself.
func end(conn net.Conn, how ScriptEnd) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	switch how {
	case EndHalfClosed:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, tcp)
	case EndHalfClosedReset:
		_ = tcp.CloseWrite()
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	case EndReset:
		_ = tcp.SetLinger(0)
	}
}

// keepOpen leaves a connection open until Stop.
func (e *Endpoint) keepOpen(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open = append(e.open, conn)
}

func (e *Endpoint) closeOpen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.open {
		_ = conn.Close()
	}
	e.open = nil
}
