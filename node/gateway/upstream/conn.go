package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/lock"
	"heatherlock/responses"
	"heatherlock/steering/notrun"
)

const (
	readBufferSize = 4 << 10
	// maxBufferedBody is the largest response body that is read completely before it is passed on.
	// If a buffered response turns out truncated or malformed, the request can be retried without
	// the caller noticing.
	maxBufferedBody = 256 << 10
	// maxMismatched is how many responses to other requests are skipped.
	maxMismatched = 3
	// earlyResponseWait is how long a failed write waits for a response that may explain it, such
	// as a refusal of the body.
	earlyResponseWait = 50 * time.Millisecond
	// idleTimeoutShare and idleTimeoutMargin determine for how long an idle connection is reused,
	// given the keep-alive timeout that the target states: that share of it or, if longer, all but
	// the margin. This avoids sending a request while the target closes the connection; the margin
	// covers many times the longest network delay, and a delayed timer.
	idleTimeoutShare  = 0.7
	idleTimeoutMargin = 1500 * time.Millisecond
	// defaultIdleTimeout applies if the target states no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
)

// exchange is a request in flight on a connection.
type exchange struct {
	request *http.Request // holds only the method, which http.ReadResponse needs
	id      string
	claim   *buffering.Claim
	done    chan result
	// onInterim is that of the request.
	onInterim func(http.Header)
}

type result struct {
	response *Response
	err      error
	// status and header are those of a response that broke off, if there is an error.
	status int
	header http.Header
}

// conn is a connection to a target.
type conn struct {
	raw     net.Conn
	checked *responses.Conn // below raw
	in      *bufio.Reader   // reads from head
	head    *headReader
	pool    *targetPool
	// requestIDOf returns the ID of the request to which a response belongs.
	requestIDOf func(http.Header) string
	onUnmatched func(named bool)
	// acceptUnnamed is that of the pool.
	acceptUnnamed func(http.Header) bool

	mu      lock.Mutex
	current *exchange
	closed  bool
	// writing is set while the request is still being written.
	writing bool
	// closeAfter is set if the connection must be closed after the current exchange.
	closeAfter  bool
	lastUsed    time.Time
	idleTimeout time.Duration
}

// newConn returns a connection that is reset when it ends with a request in flight, also if it ends with the process.
// Otherwise the kernel would go on sending what the target has not acknowledged, and a target that is cut off would get
// the request seconds after it was given up.
func newConn(raw net.Conn, checked *responses.Conn, target *targetPool, p *Pool) *conn {
	buffering.ResetOnClose(raw, true)
	head := &headReader{from: raw, remaining: -1}
	return &conn{raw: raw, checked: checked, in: bufio.NewReaderSize(head, readBufferSize), head: head, pool: target, requestIDOf: p.requestIDOf, onUnmatched: p.OnUnmatched, acceptUnnamed: p.AcceptUnnamed, idleTimeout: defaultIdleTimeout}
}

// start assigns the connection to an exchange. It returns false if the connection is closed or in
// use.
func (c *conn) start(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.current != nil {
		return false
	}
	c.current, c.writing, c.closeAfter = e, true, false
	c.checked.ExpectHead()
	return true
}

// release makes the connection idle again after start if nothing was written.
func (c *conn) release() {
	c.mu.Lock()
	c.current, c.writing = nil, false
	c.lastUsed = time.Now()
	open := !c.closed
	c.mu.Unlock()
	if open {
		c.pool.putIdle(c)
	}
}

// requestWritten records that the whole request was written.
func (c *conn) requestWritten() {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
}

// close closes the connection, in an orderly way unless a request is in flight; see newConn.
func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	inFlight := c.current != nil
	c.mu.Unlock()
	if !inFlight {
		buffering.ResetOnClose(c.raw, false)
	}
	_ = c.raw.Close() // an error makes no difference, as the connection is not used any more
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	for c.readNext() {
	}
	c.close()
	c.pool.remove(c)
}

// readNext waits for the next response, and reports whether the connection stays open.
func (c *conn) readNext() bool {
	_, err := c.in.Peek(1)
	c.mu.Lock()
	e := c.current
	if e == nil {
		c.closed = true
	}
	c.mu.Unlock()
	if e == nil {
		return false // closed by the target, or bytes that belong to no request
	}
	if !e.claim.Retain() {
		return false // the write failed, and its request was answered without waiting any longer
	}
	defer e.claim.Release()
	if err != nil {
		e.done <- result{err: err}
		return false
	}
	response, last, err := c.readResponse(e)
	if err != nil {
		broken := result{err: err}
		if response != nil {
			broken.status, broken.header = response.Status, response.Header
		}
		e.done <- broken
		return false
	}
	if response.BodyRest != nil {
		return c.streamResponse(e, response, last)
	}
	keep := c.finish(response, last)
	e.done <- result{response: response}
	return keep
}

// streamResponse passes on a response whose body is read while it is passed on to the caller.
func (c *conn) streamResponse(e *exchange, response *Response, last bool) bool {
	ended := make(chan bool, 1)
	body := &streamedBody{ReadCloser: response.BodyRest, response: response.parsed, ended: ended, conn: c}
	response.BodyRest = body
	e.claim.AtEnd(func() { _ = body.Close() }) // of a response that is not passed on; Close returns no error
	e.done <- result{response: response}
	if whole := <-ended; !whole {
		return false
	}
	return c.finish(response, last)
}

// streamedBody reports on ended, once, whether its body was read to its end. Closing it earlier
// aborts the exchange.
type streamedBody struct {
	io.ReadCloser
	response *http.Response // of which this is the body
	ended    chan bool
	conn     *conn
	once     sync.Once
}

func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := responses.CheckTrailer(s.response); malformed != nil {
			err = malformed
		}
	}
	if err != nil {
		s.once.Do(func() { s.ended <- err == io.EOF })
	}
	return n, err
}

func (s *streamedBody) Close() error {
	s.once.Do(func() {
		s.conn.close()
		s.ended <- false
	})
	return nil
}

// HoldBack bounds what the kernel receives of the body while it is not read, and returns the bytes
// that it may hold. The connection is not reused, as its receive buffer stays small.
func (s *streamedBody) HoldBack() int64 {
	s.conn.mu.Lock()
	s.conn.closeAfter = true
	s.conn.mu.Unlock()
	return buffering.HoldBack(s.conn.raw)
}

// readResponse reads the response to e. It skips up to maxInterim interim responses and up to maxMismatched
// responses to other requests. last reports that the connection must be closed after it. With an
// error, response holds the status and the header of a response to e that broke off, if any.
func (c *conn) readResponse(e *exchange) (response *Response, last bool, err error) {
	mismatched := 0
	heads := heads{in: c.in, bounded: c.head, request: e.request, onInterim: e.onInterim, remaining: maxHeadBytes}
	for {
		httpResponse, err := heads.next(e.claim)
		if err != nil {
			return nil, true, err
		}
		c.stopWriting()
		body, whole, err := readBody(httpResponse, e.claim)
		if err != nil {
			if c.requestIDOf(httpResponse.Header) == e.id {
				response = &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header}
			}
			return response, true, c.head.classify(err, "read response body")
		}
		id := c.requestIDOf(httpResponse.Header)
		unnamed := id == "" && c.acceptUnnamed != nil && c.acceptUnnamed(httpResponse.Header)
		if planted.Defect != planted.MismatchedResponse && !unnamed && !notrun.Belongs(e.id, id) {
			if c.onUnmatched != nil {
				c.onUnmatched(id != "")
			}
			if mismatched++; mismatched > maxMismatched || !whole {
				return nil, true, errors.Errorf("response belongs to request %q", id)
			}
			last = true
			continue
		}
		response = &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body, Length: httpResponse.ContentLength}
		if !whole {
			response.BodyRest, response.parsed = httpResponse.Body, httpResponse
		}
		c.setIdleTimeout(httpResponse.Header)
		return response, last || httpResponse.Close, nil
	}
}

// readBody reads a body up to maxBufferedBody, and reports whether that was all of it. If this VM may
// hold no more, it reads less, and the remainder is streamed. The body of a response that nobody
// waits for any more is discarded.
func readBody(r *http.Response, claim *buffering.Claim) ([]byte, bool, error) {
	if r.Body == http.NoBody {
		return nil, true, nil
	}
	if claim.Answered() {
		n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedBody+1))
		if err == nil && n <= maxBufferedBody {
			err = responses.CheckTrailer(r)
		}
		return nil, n <= maxBufferedBody, err
	}
	data, err := buffering.ReadUpTo(r.Body, claim, r.ContentLength, maxBufferedBody+1)
	if errors.Is(err, buffering.ErrNoRoom) {
		return data, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	if len(data) > maxBufferedBody {
		return data, false, nil
	}
	return data, true, responses.CheckTrailer(r)
}

// setWriteDeadline sets the deadline of a write, unless stopWriting has ended it.
func (c *conn) setWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeAfter {
		return os.ErrDeadlineExceeded
	}
	return c.raw.SetWriteDeadline(at)
}

// stopWriting aborts a request that is still being written. The target has responded already, and
// would take the rest of the body for another request if the connection were reused.
func (c *conn) stopWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.closeAfter = true
		_ = c.raw.SetWriteDeadline(time.Unix(1, 0)) // unblocks the writer; the connection is closed anyway
	}
}

// setIdleTimeout derives the idle timeout from the keep-alive timeout that the target states, in
// whole seconds.
func (c *conn) setIdleTimeout(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			stated := time.Duration(seconds) * time.Second
			c.idleTimeout = max(time.Duration(idleTimeoutShare*float64(stated)), stated-idleTimeoutMargin)
		}
	}
}

// finish ends an exchange, and reports whether the connection stays open.
func (c *conn) finish(response *Response, last bool) bool {
	c.mu.Lock()
	keep := !last && !c.closeAfter && !c.writing && !c.closed && c.in.Buffered() == 0 && c.idleTimeout > 0
	c.current = nil
	c.lastUsed = time.Now()
	c.closed = c.closed || !keep
	c.mu.Unlock()
	if keep {
		c.pool.putIdle(c)
	}
	return keep
}

// usable reports whether an idle connection may be reused.
func (c *conn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && now.Sub(c.lastUsed) < c.idleTimeout
}

func (c *conn) unusedSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed.Before(since)
}
