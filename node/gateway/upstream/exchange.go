package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"heatherlock/steering"
)

// Request is a request for a target.
type Request struct {
	Method string
	// Path is the request target exactly as the caller sent it.
	Path   string
	Host   string
	Header http.Header // end-to-end fields only
	// Body is the body, or its beginning when Rest holds more.
	Body []byte
	Rest io.Reader
	// Length is the body's length; negative sends it in chunks.
	Length int64
	// ID must be echoed by the answer.
	ID string
}

// Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest holds more.
	Body []byte
	Rest io.ReadCloser
	// Length is the stated length; negative if none was stated.
	Length int64
}

// Stage says how far an exchange got.
type Stage uint8

// Stages.
const (
	// NotConnected: no connection stood; nothing was sent.
	NotConnected Stage = iota
	// NotSent: no byte of the request left.
	NotSent
	// Sent: the target may have run the request.
	Sent
)

// Error is an exchange without an answer.
type Error struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Stage {
	case NotConnected:
		return "no connection to the target: " + e.Err.Error()
	case NotSent:
		return "nothing was sent to the target: " + e.Err.Error()
	}
	return "the target may have run the request: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call is where an exchange goes and what bounds it.
type Call struct {
	Target     steering.Target
	Generation steering.Generation
	Address    string
	// MaxConnections bounds the connections to the target from here.
	MaxConnections int
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// Began is called before the first byte is written.
	Began func()
	// Opened, when set, is given a connection that was opened for the call, and returns
	// the one to use.
	Opened func(net.Conn) net.Conn
}

// Do sends a request and returns the answer. The error is an *Error.
func (p *Pool) Do(ctx context.Context, call Call, r *Request) (*Answer, error) {
	h := p.host(call.Target, call.Generation)
	e := &exchange{request: &http.Request{Method: r.Method}, id: r.ID, done: make(chan result, 1)}
	c := h.take(time.Now())
	if c == nil || !c.start(e) {
		var err error
		if c, err = p.connect(ctx, h, call); err != nil {
			return nil, &Error{Stage: NotConnected, Err: err}
		}
		if !c.start(e) {
			return nil, &Error{Stage: NotConnected, Err: io.ErrClosedPipe}
		}
	}
	if call.Began != nil {
		call.Began()
	}
	return c.exchange(ctx, e, r)
}

func (p *Pool) connect(ctx context.Context, h *hostPool, call Call) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, call.DialTimeout)
	defer cancel()
	return p.open(ctx, h, call)
}

// exchange writes the request and waits for the answer. When ctx ends first the
// connection is closed, so that the target stops work on the request.
func (c *conn) exchange(ctx context.Context, e *exchange, r *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	counted := &countingWriter{to: c.raw}
	err := write(counted, r)
	if err == nil {
		c.wrote()
	}
	if err != nil {
		return c.afterFailedWrite(e, counted, err)
	}
	got := <-e.done
	if got.err != nil {
		if ctx.Err() != nil {
			got.err = ctx.Err()
		}
		return nil, &Error{Stage: Sent, Err: got.err}
	}
	return got.answer, nil
}

// afterFailedWrite looks for an answer that came before the request was sent.
func (c *conn) afterFailedWrite(e *exchange, counted *countingWriter, err error) (*Answer, error) {
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case got := <-e.done:
		if got.err == nil {
			return got.answer, nil
		}
	case <-timer.C:
	}
	c.close()
	stage := Sent
	if counted.n == 0 {
		stage = NotSent
	}
	return nil, &Error{Stage: stage, Err: err}
}

// countingWriter counts the bytes that left.
type countingWriter struct {
	to io.Writer
	n  int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += int64(n)
	return n, err
}

// writeBuffer holds a head and a small body, so that both leave in one packet.
const writeBuffer = 4 << 10

func write(to io.Writer, r *Request) error {
	w := bufio.NewWriterSize(to, writeBuffer)
	_, _ = w.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n") // kept by w until Flush
	if err := r.Header.Write(w); err != nil {
		return err
	}
	hasBody := r.Length != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
	switch {
	case r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return writeChunks(w, r)
	case hasBody:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.Rest != nil {
		if _, err := io.Copy(w, r.Rest); err != nil {
			return err
		}
	}
	return w.Flush()
}

func writeChunks(w *bufio.Writer, r *Request) error {
	chunks := httputil.NewChunkedWriter(w)
	if _, err := chunks.Write(r.Body); err != nil {
		return err
	}
	if r.Rest != nil {
		if _, err := io.Copy(chunks, r.Rest); err != nil {
			return err
		}
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	return w.Flush()
}
