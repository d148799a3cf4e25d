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

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/steering"
	"heatherlock/steering/buffers"
)

// Request is a request to a target.
type Request struct {
	Method string
	// Path is the request target (path and query) exactly as the caller sent it.
	Path   string
	Host   string
	Header http.Header // end-to-end header fields only
	// Body is the whole body, or its beginning if BodyRest holds more.
	Body     []byte
	BodyRest io.Reader
	// Length is the length of the body; a negative length sends it in chunks.
	Length int64
	// ID is the request ID, which the response must repeat.
	ID string
	// OnInterim, if set, is called with the header of each interim response, also after Do has returned.
	OnInterim func(http.Header)
}

// Source is a body that is read from a connection while it is sent.
type Source interface {
	io.Reader
	// HoldBack bounds what the kernel receives of the body while it is not read, and returns the bytes that
	// it may hold.
	HoldBack() int64
	// Reserved returns how many bytes of the claim were reserved for what the kernel holds of the body.
	Reserved() int64
}

// Response is a target's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when BodyRest holds more.
	Body     []byte
	BodyRest io.ReadCloser
	// Length is the stated length; negative if none was stated.
	Length int64
	// parsed is the response to which BodyRest belongs; nil without.
	parsed *http.Response
}

// Stage describes how far an exchange got.
type Stage uint8

// Stages of an exchange.
const (
	// NotConnected: no connection was established, and nothing was sent.
	NotConnected Stage = iota
	// NotSent: no byte of the request was sent.
	NotSent
	// Sent: the target may have run the request.
	Sent
)

// Error is the error of an exchange without a response.
type Error struct {
	Stage Stage
	Err   error
	// Status and Header are those of a response that broke off after its header; nil without one.
	Status int
	Header http.Header
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

// ErrWithdrawn reports that the request was withdrawn before it was sent.
var ErrWithdrawn = errors.New("upstream: the request was withdrawn before it was sent")

// ErrNoConnection reports that no connection was open and none was to be opened.
var ErrNoConnection = errors.New("upstream: no connection to the target is open")

// Call holds the destination and the limits of an exchange.
type Call struct {
	Target     steering.Target
	Generation steering.Generation
	Address    string
	// MaxConnections limits the connections to the target from this entry VM; 0 means no limit.
	MaxConnections int
	// Tries are the earlier tries of the request; nil if there will be one only.
	Tries *Tries
	// DialTimeout limits a connection attempt.
	DialTimeout time.Duration
	// OnlyOpen makes the call fail with ErrNoConnection unless a connection is open already.
	OnlyOpen bool
	// BeforeSend, if set, is called before the first byte is written. If it returns false, nothing is
	// sent and Do returns ErrWithdrawn.
	BeforeSend func() bool
	// OnOpen, if set, is given each connection that is opened for the call, and returns the one to
	// use.
	OnOpen func(net.Conn) net.Conn
}

// Do sends a request and returns the response. A non-nil error is an *Error. It holds the claim that ctx
// carries until it returns, and nothing is sent if that has ended.
func (p *Pool) Do(ctx context.Context, call Call, r *Request) (*Response, error) {
	h := p.poolOf(call.Target, call.Generation)
	e := &exchange{request: &http.Request{Method: r.Method}, id: r.ID, onInterim: r.OnInterim, claim: buffering.ClaimOf(ctx), done: make(chan result, 1)}
	if !e.claim.Retain() {
		return nil, &Error{Stage: NotConnected, Err: ErrWithdrawn}
	}
	defer e.claim.Release()
	c := h.takeIdle(time.Now(), call.Tries)
	if c == nil || !c.start(e) {
		if call.OnlyOpen {
			return nil, &Error{Stage: NotConnected, Err: ErrNoConnection}
		}
		var err error
		if c, err = p.connect(ctx, h, call); err != nil {
			return nil, &Error{Stage: NotConnected, Err: err}
		}
		if !c.start(e) {
			return nil, &Error{Stage: NotConnected, Err: io.ErrClosedPipe}
		}
	}
	if call.BeforeSend != nil && !call.BeforeSend() {
		c.release()
		return nil, &Error{Stage: NotSent, Err: ErrWithdrawn}
	}
	call.Tries.add(c)
	return c.exchange(ctx, e, r)
}

func (p *Pool) connect(ctx context.Context, h *targetPool, call Call) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, call.DialTimeout)
	defer cancel()
	return p.open(ctx, h, call)
}

// exchange writes the request and waits for the response. If ctx ends first, the connection is
// closed, so that the target stops work on the request.
func (c *conn) exchange(ctx context.Context, e *exchange, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	counted := &countingWriter{to: c.writerFor(e, r)}
	err := write(counted, r)
	if err == nil {
		_ = c.setWriteDeadline(time.Time{}) // it fails only if the connection is not used again
		c.requestWritten()
	}
	if err != nil {
		return c.handleWriteError(e, counted, err)
	}
	got := <-e.done
	if got.err != nil {
		if ctx.Err() != nil {
			got.err = ctx.Err()
		}
		return nil, &Error{Stage: Sent, Err: got.err, Status: got.status, Header: got.header}
	}
	return got.response, nil
}

// slowBody is the size of a body from which its target may keep the write waiting: the least send
// buffer of a connection. Less is taken by the kernel at once.
const slowBody = 16 << 10

// StreamSendBuffer bounds what the kernel holds of a streamed body; without it, the kernel takes
// several megabytes before a target that does not read is noticed. It sends 4 MB/s over a round trip of
// 60 ms to another region.
const StreamSendBuffer = 256 << 10

// writerFor returns the writer for a request. That of a large body detects a target that does not
// read.
func (c *conn) writerFor(e *exchange, r *Request) io.Writer {
	if r.BodyRest == nil && len(r.Body) <= slowBody {
		return c.raw
	}
	if r.BodyRest != nil {
		buffering.LimitSend(c.raw, StreamSendBuffer)
	}
	w := &buffering.Writer{Conn: c.raw, Claim: e.claim, Side: buffers.Target, SetDeadline: c.setWriteDeadline}
	if source, ok := r.BodyRest.(Source); ok {
		w.HoldBack, w.Reserved = source.HoldBack, source.Reserved()
	}
	return w
}

// handleWriteError returns the response if one arrived before the request was sent completely, and
// else the error of the failed write.
func (c *conn) handleWriteError(e *exchange, counted *countingWriter, err error) (*Response, error) {
	timer := time.NewTimer(earlyResponseWait)
	defer timer.Stop()
	select {
	case got := <-e.done:
		if got.err == nil {
			return got.response, nil
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

// countingWriter counts the bytes that were sent.
type countingWriter struct {
	to io.Writer
	n  int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += int64(n)
	return n, err
}

// writeBuffer is large enough for the head and a small body, so that both are sent in one packet.
const writeBuffer = 4 << 10

func write(to io.Writer, r *Request) error {
	w := bufio.NewWriterSize(to, writeBuffer)
	_, _ = w.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n") // w keeps an error until Flush
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
	if r.BodyRest != nil {
		if _, err := io.Copy(w, r.BodyRest); err != nil {
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
	if r.BodyRest != nil {
		if _, err := io.Copy(chunks, r.BodyRest); err != nil {
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
