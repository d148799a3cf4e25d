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

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/gracefulstop"
	"heatherlock/steering/routes"
)

// conn is a caller's connection.
type conn struct {
	server     *Server
	raw        net.Conn
	source     *headSource
	reader     *bufio.Reader
	account    *buffering.Account
	headClaim  *buffering.Claim // holds the memory of a long head until its request starts, nil if there is none
	slots      chan struct{}    // holds one element for each running request
	inFlight   atomic.Int64
	unwritable atomic.Bool // set when no further response can be written
	endIdle    atomic.Bool // set when the connection is to be closed for being idle, whatever the timeout
	done       sync.WaitGroup

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
	first := make(chan struct{})
	close(first)
	c := &conn{server: s, raw: raw, slots: make(chan struct{}, maxPipelined), lastWritten: first, idleSince: time.Now()}
	c.source = &headSource{from: raw, remaining: -1, reserve: c.reserveHead}
	c.reader = bufio.NewReaderSize(c.source, readBufferSize)
	return c
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
	c.source.remaining = -1
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
	c.source.remaining = -1
	if !c.awaitFirstByte() || !c.beginRead() {
		return false
	}
	h, ok := c.readHead(ctx)
	return ok && c.readBodyAndStart(ctx, h)
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

// readBodyAndStart reads the body, or its beginning, and starts the request. It returns false when
// no further request is to be read.
func (c *conn) readBodyAndStart(ctx context.Context, h head) bool {
	r := h.Request
	if r.Header.Get("Expect") != "" && r.ContentLength != 0 {
		c.sendContinue()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	claim := c.takeClaim()
	body, rest, status := readBody(r, h.limits.BodyBytes, claim)
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
		Body: body, BodyRest: rest, Length: lengthOf(r, body, rest), HeadLength: h.length, Received: h.received}
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
	c.source.remaining = -1
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
