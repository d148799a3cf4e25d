package callers

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"heatherlock/steering/routes"
)

var errHeaderTooBig = errors.New("callers: header larger than the limit")

// source bounds the bytes that one header may take.
type source struct {
	from net.Conn
	left int // bytes; negative means no bound
}

func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, errHeaderTooBig
	}
	if s.left > 0 && len(p) > s.left {
		p = p[:s.left]
	}
	n, err := s.from.Read(p)
	if s.left > 0 {
		s.left -= n
	}
	return n, err
}

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	source *source
	in     *bufio.Reader
	slots  chan struct{} // one a running request
	busy   atomic.Int64
	broken atomic.Bool // no further answer can be written
	done   sync.WaitGroup

	mu   sync.Mutex
	last chan struct{} // closed when the newest request's answer is written
	// ended is set once an answer has told the caller that the connection ends.
	// The caller sends again whatever it sent behind that answer, so nothing that
	// is read later may run.
	ended bool
	// lent is set while a request reads its body from the connection.
	lent bool
}

func newConn(s *Server, raw net.Conn) *conn {
	src := &source{from: raw, left: -1}
	first := make(chan struct{})
	close(first)
	return &conn{server: s, raw: raw, source: src, in: bufio.NewReaderSize(src, readBuffer),
		slots: make(chan struct{}, maxAhead), last: first}
}

// serve reads requests until the caller leaves or the connection is to end.
func (c *conn) serve(ctx context.Context) {
	defer c.server.ended(c)
	defer c.raw.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for c.readNext(ctx) {
	}
	if c.leftByCaller() {
		cancel()
	}
	c.done.Wait()
}

// leftByCaller waits for the caller to close, while requests still run.
func (c *conn) leftByCaller() bool {
	if c.busy.Load() == 0 || c.lent {
		return false
	}
	if c.broken.Load() {
		return true
	}
	settled := make(chan struct{})
	go func() {
		c.done.Wait()
		close(settled)
		_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // wakes the read below
	}()
	_ = c.raw.SetReadDeadline(time.Time{})
	c.source.left = -1
	_, err := io.Copy(io.Discard, c.in)
	select {
	case <-settled:
		return false
	default:
		return err == nil || !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

func (c *conn) limits() routes.Limits {
	l := c.server.limits()
	if l.HeaderBytes <= 0 {
		return fallback
	}
	return l
}

// readNext reads one request and starts it; false ends reading.
func (c *conn) readNext(ctx context.Context) bool {
	limits := c.limits()
	c.source.left = -1
	if !c.awaitFirstByte(limits.IdleTimeout) {
		return false
	}
	received := time.Now()
	_ = c.raw.SetReadDeadline(received.Add(limits.HeaderTimeout))
	c.source.left = max(limits.HeaderBytes-c.in.Buffered(), 1)
	r, err := http.ReadRequest(c.in)
	c.source.left = -1
	if err != nil {
		c.unreadable(err)
		return false
	}
	if status, detail := unacceptable(r, limits); status != 0 {
		c.refuse(status, detail)
		return false
	}
	return c.take(ctx, r, received, limits)
}

// awaitFirstByte waits for a request to begin. It goes on waiting while earlier
// ones run.
func (c *conn) awaitFirstByte(idle time.Duration) bool {
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		_, err := c.in.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.broken.Store(true)
			return false
		}
		if c.busy.Load() == 0 {
			return false
		}
	}
}

// unreadable answers a header that cannot be read, where that is possible.
func (c *conn) unreadable(err error) {
	switch {
	case errors.Is(err, errHeaderTooBig):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, "the header did not come in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		c.broken.Store(true)
	default:
		c.refuse(http.StatusBadRequest, "the request is malformed")
	}
}

func isNetError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e)
}

// unacceptable returns the status for a request that is refused by its header.
func unacceptable(r *http.Request, limits routes.Limits) (int, string) {
	switch {
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return http.StatusBadRequest, "no Host"
	case !validHeader(r.Header):
		return http.StatusBadRequest, "a header field is malformed"
	case r.Method == http.MethodConnect:
		return http.StatusMethodNotAllowed, "CONNECT is not served"
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, "the body is larger than the limit"
	}
	return 0, ""
}

// validHeader reports whether all fields are well formed. The codec lets some
// pass that another reader would understand differently, and with that a second
// request could hide in the first.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// take reads the body and starts the request.
func (c *conn) take(ctx context.Context, r *http.Request, received time.Time, limits routes.Limits) bool {
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		c.goOn()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, rest, status := readBody(r, limits.BodyBytes)
	if status != 0 {
		if status == statusGone {
			c.broken.Store(true)
			return false
		}
		c.refuse(status, "the body could not be read")
		return false
	}
	request := &Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: body, Rest: rest, Length: lengthOf(r, body, rest), Received: received}
	wantsClose := r.Close
	c.lent = rest != nil
	if !c.start(ctx, request, r, wantsClose) {
		return false
	}
	if rest != nil {
		// The rest of the body is read by the request itself, and with it goes
		// the connection: what follows cannot be told from the body otherwise.
		return false
	}
	return !wantsClose
}

// statusGone marks a caller that left in the middle of a body.
const statusGone = -1

// readBody reads a body of usual size whole.
func readBody(r *http.Request, most int64) (body []byte, rest io.Reader, status int) {
	if r.ContentLength == 0 {
		return nil, nil, 0
	}
	var held bytes.Buffer
	if r.ContentLength > 0 {
		held.Grow(int(min(r.ContentLength, maxHeld)) + bytes.MinRead)
	}
	n, err := io.Copy(&held, io.LimitReader(r.Body, maxHeld))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return nil, nil, statusGone
	case err != nil:
		return nil, nil, http.StatusBadRequest
	case most > 0 && n > most:
		return nil, nil, http.StatusRequestEntityTooLarge
	case n < maxHeld || n == r.ContentLength:
		return held.Bytes(), nil, 0
	}
	if most <= 0 {
		return held.Bytes(), r.Body, 0
	}
	return held.Bytes(), &boundedBody{from: r.Body, left: most - n}, 0
}

var errBodyTooBig = errors.New("callers: body larger than the limit")

// boundedBody fails once more than a bound was read. Ending there instead would
// pass a cut body on as a whole one.
type boundedBody struct {
	from io.Reader
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooBig
	}
	return n, err
}

func lengthOf(r *http.Request, body []byte, rest io.Reader) int64 {
	if rest == nil && r.ContentLength >= 0 {
		return int64(len(body))
	}
	return r.ContentLength
}

// goOn tells a caller that waits for it to send the body.
func (c *conn) goOn() {
	<-c.newest()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		c.broken.Store(true)
	}
}

// newest returns the channel that closes when the newest answer is written.
func (c *conn) newest() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// start runs a request; its answer is written when those before it are. It
// returns false if the connection is ending.
func (c *conn) start(ctx context.Context, request *Request, r *http.Request, wantsClose bool) bool {
	c.slots <- struct{}{}
	c.mu.Lock()
	before, mine := c.last, make(chan struct{})
	if c.ended {
		c.mu.Unlock()
		return false
	}
	c.last = mine
	c.busy.Add(1)
	c.done.Add(1)
	c.mu.Unlock()
	c.server.running.Add(1)
	go func() {
		defer c.done.Done()
		defer c.server.running.Add(-1)
		defer c.busy.Add(-1)
		defer func() { <-c.slots }()
		defer close(mine)
		response := c.server.handler.Serve(ctx, request)
		<-before
		if response != nil && response.Turn != nil {
			response.Turn()
		}
		c.write(response, r, c.ending(mine, response, wantsClose || request.Rest != nil))
	}()
	return true
}

// ending decides whether the connection ends behind an answer. While leaving it
// does, unless further requests run already: they are answered first.
func (c *conn) ending(mine chan struct{}, a *Response, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted = wanted || a != nil && a.Close || c.server.leaving.Load() && c.last == mine
	c.ended = c.ended || wanted
	return wanted
}

// refuse answers what cannot be read, and ends the connection behind it.
func (c *conn) refuse(status int, detail string) {
	<-c.newest()
	c.write(c.server.handler.Problem(status, detail), &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, true)
	c.linger()
}

// linger reads on for a while: closing with unread bytes would reset the
// connection and take the answer with it.
func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.source.left = -1
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.in) // whatever comes is not wanted
}

func (c *conn) closeIfIdle() {
	if c.busy.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}
