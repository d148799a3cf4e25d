package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/planted"
)

const (
	readBuffer = 4 << 10
	// maxWhole is the largest answer that is held whole before it is passed on.
	// A whole one that turns out cut or spoiled can be asked for again unseen.
	maxWhole = 256 << 10
	// maxStray is how many answers for other requests are skipped.
	maxStray = 3
	// answerWait is how long a failed write waits for an answer that may explain
	// it, such as a refusal of the body.
	answerWait = 50 * time.Millisecond
	// idleUse is the part of a target's stated idle time that is used, and
	// idleMargin what is left of a longer one, so that a request does not cross the
	// target's close: many times the longest way and a delayed timer.
	idleUse    = 0.7
	idleMargin = 1500 * time.Millisecond
	// idleUnstated is kept where the target states none.
	idleUnstated = 4 * time.Second
)

// exchange is a request in flight on a connection.
type exchange struct {
	request *http.Request // method only, for the codec
	id      string
	done    chan result
}

type result struct {
	answer *Answer
	err    error
}

// conn is one connection to a target.
type conn struct {
	raw  net.Conn
	in   *bufio.Reader
	pool *hostPool
	// idOf returns the request that an answer belongs to.
	idOf func(http.Header) string

	mu      sync.Mutex
	current *exchange
	closed  bool
	// unsent is set while the request is still being written.
	unsent bool
	// spent connections are closed after the current exchange.
	spent   bool
	used    time.Time
	idleFor time.Duration
}

func newConn(raw net.Conn, pool *hostPool, idOf func(http.Header) string) *conn {
	return &conn{raw: raw, in: bufio.NewReaderSize(raw, readBuffer), pool: pool, idOf: idOf, idleFor: idleUnstated}
}

// start hands the connection to an exchange; false if it is closed.
func (c *conn) start(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.current != nil {
		return false
	}
	c.current, c.unsent, c.spent = e, true, false
	return true
}

// wrote tells that the whole request was written.
func (c *conn) wrote() {
	c.mu.Lock()
	c.unsent = false
	c.mu.Unlock()
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.raw.Close() // nothing is left to lose on it
}

// read is the connection's reader for life.
func (c *conn) read() {
	for c.readOne() {
	}
	c.close()
	c.pool.forget(c)
}

// readOne waits for bytes, and reports whether the connection is to go on.
func (c *conn) readOne() bool {
	_, err := c.in.Peek(1)
	c.mu.Lock()
	e := c.current
	if e == nil {
		c.closed = true
	}
	c.mu.Unlock()
	if e == nil {
		return false // closed by the target, or bytes that nobody asked for
	}
	if err != nil {
		e.done <- result{err: err}
		return false
	}
	answer, last, err := c.readAnswer(e)
	if err != nil {
		e.done <- result{err: err}
		return false
	}
	if answer.Rest != nil {
		return c.passOn(e, answer, last)
	}
	again := c.finish(answer, last)
	e.done <- result{answer: answer}
	return again
}

// passOn gives out an answer that is read while it is passed on.
func (c *conn) passOn(e *exchange, answer *Answer, last bool) bool {
	ended := make(chan bool, 1)
	answer.Rest = &streamed{ReadCloser: answer.Rest, ended: ended, stop: c.close}
	e.done <- result{answer: answer}
	if whole := <-ended; !whole {
		return false
	}
	return c.finish(answer, last)
}

// streamed tells when a body has been read to its end, or was given up.
type streamed struct {
	io.ReadCloser
	ended chan bool
	stop  func()
	once  sync.Once
}

func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.once.Do(func() { s.ended <- err == io.EOF })
	}
	return n, err
}

func (s *streamed) Close() error {
	s.once.Do(func() {
		s.stop()
		s.ended <- false
	})
	return nil
}

// readAnswer reads the answer to e, past interim answers and answers to other
// requests. last tells that the connection ends with it.
func (c *conn) readAnswer(e *exchange) (answer *Answer, last bool, err error) {
	stray := 0
	for {
		response, err := http.ReadResponse(c.in, e.request)
		if err != nil {
			return nil, true, errors.Wrap(err, "read answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.stopWriting()
		body, whole, err := readWhole(response.Body)
		if err != nil {
			return nil, true, errors.Wrap(err, "read answer's body")
		}
		id := c.idOf(response.Header)
		if planted.Defect != planted.Crossed && id != e.id && (id != "" || response.StatusCode < http.StatusMultipleChoices) {
			if stray++; stray > maxStray || !whole {
				return nil, true, errors.Errorf("answer belongs to request %q", id)
			}
			last = true
			continue
		}
		answer = &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}
		if !whole {
			answer.Rest = response.Body
		}
		c.learnIdle(response.Header)
		return answer, last || response.Close, nil
	}
}

// readWhole reads a body up to maxWhole; whole tells that this was all of it.
func readWhole(body io.Reader) ([]byte, bool, error) {
	held, err := io.ReadAll(io.LimitReader(body, maxWhole+1))
	if err != nil {
		return nil, false, err
	}
	return held, len(held) <= maxWhole, nil
}

// stopWriting ends a request that is still being written: the target has
// answered already, and would take the rest of the body for another request if
// the connection were used again.
func (c *conn) stopWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent {
		c.spent = true
		_ = c.raw.SetWriteDeadline(time.Unix(1, 0)) // wakes the writer; the connection ends anyway
	}
}

// learnIdle takes the idle time that a target states, in whole seconds.
func (c *conn) learnIdle(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			stated := time.Duration(seconds) * time.Second
			c.idleFor = max(time.Duration(idleUse*float64(stated)), stated-idleMargin)
		}
	}
}

// finish ends an exchange, and reports whether the connection stays open.
func (c *conn) finish(answer *Answer, last bool) bool {
	c.mu.Lock()
	keep := !last && !c.spent && !c.unsent && !c.closed && c.in.Buffered() == 0 && c.idleFor > 0
	c.current = nil
	c.used = time.Now()
	c.closed = c.closed || !keep
	c.mu.Unlock()
	if keep {
		c.pool.idle(c)
	}
	return keep
}

// fit reports whether an idle connection may be used.
func (c *conn) fit(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && now.Sub(c.used) < c.idleFor
}
