package callers

import (
	"bufio"
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

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/gracefulstop"
	"heatherlock/steering/routes"
)

var errHeaderTooBig = errors.New("callers: header larger than the limit")

// limitedReader limits how many bytes one request header may take.
type limitedReader struct {
	from      net.Conn
	remaining int // bytes; negative means no limit
}

func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, errHeaderTooBig
	}
	if s.remaining > 0 && len(p) > s.remaining {
		p = p[:s.remaining]
	}
	n, err := s.from.Read(p)
	if s.remaining > 0 {
		s.remaining -= n
	}
	return n, err
}

// conn is a caller's connection.
type conn struct {
	server        *Server
	raw           net.Conn
	limitedReader *limitedReader
	reader        *bufio.Reader
	account       *buffering.Account
	slots         chan struct{} // holds one element for each running request
	inFlight      atomic.Int64
	unwritable    atomic.Bool // set when no further response can be written
	endIdle       atomic.Bool // set when the connection is to be closed for being idle, whatever the timeout
	done          sync.WaitGroup

	mu          lock.Mutex
	lastWritten chan struct{} // closed when the response to the newest request has been written
	idleSince   time.Time     // when the last response was written, or when the connection was accepted
	// closing decides which response closes the connection. The caller repeats every request that it
	// sent after the one so answered, so none that is read later may run.
	closing gracefulstop.Connection
	// streamed is the remainder of a body that a running request reads from the connection, nil if none
	// does. Only serve uses it.
	streamed *restBody
}

func newConn(s *Server, raw net.Conn) *conn {
	src := &limitedReader{from: raw, remaining: -1}
	first := make(chan struct{})
	close(first)
	return &conn{server: s, raw: raw, limitedReader: src, reader: bufio.NewReaderSize(src, readBufferSize),
		slots: make(chan struct{}, maxPipelined), lastWritten: first, idleSince: time.Now()}
}

// openAccount counts what is held for the caller from now on.
func (c *conn) openAccount() {
	if c.server.Buffers == nil {
		return
	}
	buffering.LimitSend(c.raw, sendBufferSize)
	buffering.LimitReceive(c.raw, receiveBufferSize)
	c.account = c.server.Buffers.Open(func() {
		c.unwritable.Store(true)
		buffering.Reset(c.raw)
	})
}

// serve reads and starts requests until the caller closes the connection or the server has to.
func (c *conn) serve(ctx context.Context) {
	defer c.server.remove(c)
	defer c.raw.Close()
	c.openAccount()
	defer c.account.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for c.readNext(ctx) {
	}
	if c.waitForCallerClose() {
		cancel()
	}
	c.done.Wait()
	if c.closeAnnounced() {
		c.linger()
	}
}

func (c *conn) closeAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.Closed()
}

// waitForCallerClose reads and discards input while requests run and reports whether the caller
// closed the connection before they ended.
func (c *conn) waitForCallerClose() bool {
	if c.inFlight.Load() == 0 || c.streamed != nil {
		return false
	}
	if c.unwritable.Load() {
		return true
	}
	finished := make(chan struct{})
	go func() {
		c.done.Wait()
		close(finished)
		_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // ends the read below
	}()
	_ = c.raw.SetReadDeadline(time.Time{})
	c.limitedReader.remaining = -1
	_, err := io.Copy(io.Discard, c.reader)
	select {
	case <-finished:
		return false
	default:
		return err == nil || !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

func (c *conn) limits() routes.Limits {
	l := c.server.limits()
	if l.HeaderBytes <= 0 {
		return defaultLimits
	}
	return l
}

// readNext reads one request and starts it. It returns false when no further request is to be read.
func (c *conn) readNext(ctx context.Context) bool {
	c.limitedReader.remaining = -1
	if !c.awaitFirstByte() || !c.beginRead() {
		return false
	}
	received := time.Now()
	// Those in force when the request comes, not when the connection became idle.
	limits := c.limits()
	// Only after the first byte: a caller that closes the connection is noticed meanwhile.
	c.account.AwaitRoom(ctx)
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	buffered := c.reader.Buffered()
	granted := max(limits.HeaderBytes-buffered, 1)
	c.limitedReader.remaining = granted
	r, err := http.ReadRequest(c.reader)
	headLength := buffered + granted - c.limitedReader.remaining - c.reader.Buffered()
	c.limitedReader.remaining = -1
	if err == nil && headLength > limits.HeaderBytes { // it came with the first byte
		err = errHeaderTooBig
	}
	if err != nil {
		c.refuseUnreadable(err)
		return false
	}
	if status, detail := checkHeader(r, limits); status != 0 {
		c.reject(status, detail, r)
		return false
	}
	return c.readBodyAndStart(ctx, r, headLength, received, limits)
}

// awaitFirstByte waits for the first byte of a request. The idle timeout is the one in force when it ends.
func (c *conn) awaitFirstByte() bool {
	for {
		_ = c.raw.SetReadDeadline(c.idleUntil())
		if c.endIdle.Load() && c.inFlight.Load() == 0 {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.unwritable.Store(true)
			return false
		}
		if c.inFlight.Load() == 0 && (c.endIdle.Load() || !time.Now().Before(c.idleUntil())) {
			return false
		}
	}
}

// idleUntil returns when the connection will have been idle for the idle timeout, if no request comes. It is not idle
// while a request has no response yet.
func (c *conn) idleUntil() time.Time {
	timeout := c.limits().IdleTimeout
	if c.inFlight.Load() > 0 {
		return time.Now().Add(timeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince.Add(timeout)
}

// noteIdle records that a response has been written.
func (c *conn) noteIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

// refuseUnreadable answers a request whose header cannot be read, unless the connection is broken.
func (c *conn) refuseUnreadable(err error) {
	switch {
	case errors.Is(err, errHeaderTooBig):
		c.reject(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit", nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, "the header did not come in time", nil)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		c.unwritable.Store(true)
	default:
		c.reject(http.StatusBadRequest, "the request is malformed", nil)
	}
}

func isNetError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e)
}

// checkHeader returns the status and detail with which to refuse a request because of its header,
// or 0 to accept it.
func checkHeader(r *http.Request, limits routes.Limits) (int, string) {
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

// validHeader reports whether all header fields are well formed. The parser accepts some fields
// that another server would interpret differently, which would allow request smuggling: a second
// request hidden in the first.
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

// readBodyAndStart reads the body, or its beginning, and starts the request. It returns false when
// no further request is to be read.
func (c *conn) readBodyAndStart(ctx context.Context, r *http.Request, headLength int, received time.Time, limits routes.Limits) bool {
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		c.sendContinue()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	claim := c.account.NewClaim()
	body, rest, status := readBody(r, limits.BodyBytes, claim)
	if status != 0 {
		claim.End()
		if status == statusGone {
			c.unwritable.Store(true)
			return false
		}
		detail := "the body could not be read"
		if status == http.StatusServiceUnavailable {
			detail = steering.Reasons[steering.ReasonMemoryFull].Meaning
		}
		c.reject(status, detail, r)
		return false
	}
	request := &Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: body, BodyRest: rest, Length: lengthOf(r, body, rest), HeadLength: headLength, Received: received}
	wantsClose := r.Close
	if rest != nil {
		c.streamed = &restBody{from: rest, raw: c.raw}
		request.BodyRest = c.streamed
	}
	if !c.start(ctx, request, r, wantsClose, claim) {
		claim.End()
		return false
	}
	if rest != nil {
		// The request itself reads the remainder of the body. No further request is read from
		// the connection meanwhile, as its bytes could not be distinguished from the body, and
		// the connection is closed after the response.
		return false
	}
	return !wantsClose
}

// statusGone marks a caller that closed the connection before the end of a body.
const statusGone = -1

// readBody reads a body of up to maxBufferedBody bytes whole, and the beginning of a longer one;
// rest yields the remainder. A status other than 0 refuses the request.
func readBody(r *http.Request, maxBytes int64, claim *buffering.Claim) (body []byte, rest io.Reader, status int) {
	if r.ContentLength == 0 {
		return nil, nil, 0
	}
	body, err := buffering.ReadUpTo(r.Body, claim, min(r.ContentLength, firstBodyBuffer), maxBufferedBody)
	n := int64(len(body))
	switch {
	case errors.Is(err, buffering.ErrNoRoom):
		return nil, nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return nil, nil, statusGone
	case err != nil:
		return nil, nil, http.StatusBadRequest
	case maxBytes > 0 && n > maxBytes:
		return nil, nil, http.StatusRequestEntityTooLarge
	case n < maxBufferedBody || n == r.ContentLength:
		return body, nil, 0
	case !claim.Reserve(streamReserve):
		return nil, nil, http.StatusServiceUnavailable
	}
	if maxBytes <= 0 {
		return body, r.Body, 0
	}
	return body, &boundedBody{from: r.Body, remaining: maxBytes - n}, 0
}

var errBodyTooBig = errors.New("callers: body larger than the limit")

// boundedBody fails once more than a limit was read. Returning io.EOF there instead would pass on a
// truncated body as a complete one.
type boundedBody struct {
	from      io.Reader
	remaining int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooBig
	}
	return n, err
}

// restBody is the remainder of a body, which is read while it is sent to a target.
type restBody struct {
	from io.Reader
	raw  net.Conn

	reading lock.Mutex // held during Read
	mu      lock.Mutex
	ended   bool
}

// Read implements io.Reader. The time limit begins anew with each read, because a target that reads
// slowly delays the caller.
func (b *restBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return 0, io.ErrUnexpectedEOF
	}
	_ = b.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	b.mu.Unlock()
	return b.from.Read(p)
}

// end makes Read fail from now on, and returns when none is running. An attempt that goes on after the
// response would otherwise take bytes from whoever reads the connection next.
func (b *restBody) end() {
	b.mu.Lock()
	b.ended = true
	_ = b.raw.SetReadDeadline(time.Unix(1, 0)) // ends a Read that is running
	b.mu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
}

// HoldBack bounds what the kernel receives of the body while it is not read, and returns the bytes
// that it may hold.
func (b *restBody) HoldBack() int64 { return buffering.HoldBack(b.raw) }

// Reserved returns how many bytes of the claim were reserved for what the kernel holds of the body.
func (*restBody) Reserved() int64 { return streamReserve }

// lengthOf returns the length of the body, negative if it is unknown.
func lengthOf(r *http.Request, body []byte, rest io.Reader) int64 {
	if rest == nil && r.ContentLength >= 0 {
		return int64(len(body))
	}
	return r.ContentLength
}

// sendContinue sends 100 Continue to a caller that waits for it before it sends the body.
func (c *conn) sendContinue() {
	<-c.lastAnswer()
	_ = c.raw.SetWriteDeadline(time.Now().Add(continueTimeout))
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		c.unwritable.Store(true)
	}
}

// lastAnswer returns the channel that is closed when the response to the newest request has been
// written.
func (c *conn) lastAnswer() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWritten
}

// beginRead reports whether the request whose first byte has arrived may be read.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.BeginRead(c.server.draining.Load())
}

// start runs a request in its own goroutine; its response is written after those to earlier
// requests. It returns false if the connection is about to be closed.
func (c *conn) start(ctx context.Context, request *Request, r *http.Request, wantsClose bool, claim *buffering.Claim) bool {
	c.slots <- struct{}{}
	c.mu.Lock()
	previous, own := c.lastWritten, make(chan struct{})
	if !c.closing.Start() {
		c.mu.Unlock()
		return false
	}
	c.lastWritten = own
	c.inFlight.Add(1)
	c.done.Add(1)
	c.mu.Unlock()
	c.server.running.Add(1)
	interim := &interimResponses{conn: c, previous: previous}
	request.Interim = interim.send
	go func() {
		defer c.done.Done()
		defer c.server.running.Add(-1)
		defer c.inFlight.Add(-1)
		defer c.noteIdle() // before the request counts as done
		defer func() { <-c.slots }()
		defer close(own)
		defer claim.End()
		response := c.server.handler.Serve(buffering.WithClaim(ctx, claim), request)
		<-previous
		interim.end()
		if response != nil && response.BeforeWrite != nil {
			response.BeforeWrite()
		}
		c.write(response, r, c.closesWith(response, wantsClose || request.BodyRest != nil), claim)
	}()
	return true
}

// closesWith decides whether the connection is closed with a response. With last set nothing is read behind
// its request.
func (c *conn) closesWith(a *Response, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.Respond(c.server.draining.Load(), last || a != nil && a.Close)
}

// reject answers a request that is not passed to the handler, and closes the connection after the response. r is nil
// if the head of the request could not be read.
func (c *conn) reject(status int, detail string, r *http.Request) {
	<-c.lastAnswer()
	rejection := Rejection{Status: status, Detail: detail}
	if r != nil {
		rejection.Host, rejection.Path, rejection.Header = r.Host, r.RequestURI, r.Header
	}
	c.write(c.server.handler.Reject(rejection), &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, true, nil)
	c.linger()
}

// linger keeps reading for a while: closing a connection with unread bytes would reset it, and the
// caller would lose the response.
func (c *conn) linger() {
	if c.streamed != nil {
		c.streamed.end()
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.limitedReader.remaining = -1
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader) // input after the response is discarded
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Idle() && !c.closing.Closed() {
		c.endIdle.Store(true)
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}
