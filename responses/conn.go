package responses

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrEnded is returned by writes to a connection that has ended, with nothing written.
var ErrEnded = errors.New("responses: the connection has ended")

// BrokenOffError reports a connection that failed while a request was written. What was read from it is not complete.
type BrokenOffError struct {
	// Err is the failure, as the write reported it.
	Err error
}

// Error implements error.
func (e *BrokenOffError) Error() string {
	return "responses: the connection was broken off during a write: " + e.Err.Error()
}

// Unwrap returns the failure.
func (e *BrokenOffError) Unwrap() error { return e.Err }

// Conn is a connection whose Read reports io.EOF only if the other side has ended the connection in order.
//
// The kernel reports the failure of a connection once. If a write takes the report, a read gets what had arrived, and then
// an end that looks like an orderly one. A response without a length would be taken for complete. Read therefore asks the
// writes before it reports an end, and waits for one in progress, which may have taken the report already.
//
// There may be one reader at a time, and any number of writers.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed sync.Cond // signalled when one of the following changes
	writing int       // writes in progress
	ended   bool      // the reader has seen the end, or this side has closed the connection
	due     bool      // a response is due that has not been accepted
	failure error     // the first failure that a write took from the reader

	// expectsHead is set if the next bytes begin a response.
	expectsHead atomic.Bool
	head        legacyScan // used by the reader alone
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.changed.L = &conn.mu
	return conn
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin is ExpectHead for a request that net/http sends. The library may hand out a connection before the response on it has
// been checked, so Begin waits until that is accepted or the connection closed. What is written after that fails with nothing
// sent, and the library takes another connection.
func (c *Conn) Begin() {
	c.mu.Lock()
	for c.due && !c.ended {
		c.changed.Wait()
	}
	c.due = true
	c.mu.Unlock()
	c.ExpectHead()
}

// Accept tells that the response that was due has been checked to its end. Whoever refuses it closes the connection.
func (c *Conn) Accept() {
	c.mu.Lock()
	c.due = false
	c.mu.Unlock()
	c.changed.Broadcast()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.changed.Broadcast()
	return err
}

// ExpectHead tells that a request is about to be written, so that the next bytes begin its response.
func (c *Conn) ExpectHead() { c.expectsHead.Store(true) }

// Read implements net.Conn. It returns ErrMalformed in place of a head that net/http would read as another one.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.expectsHead.Swap(false) {
		c.head.start()
	}
	if c.head.found(p[:n]) {
		return 0, errLegacyFraming
	}
	if err != io.EOF { // net.Conn returns it unwrapped
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, &BrokenOffError{Err: failure}
	}
	return n, err
}

// endWrites ends the write in progress, since nothing can be answered any more, and returns the failure that any write took.
func (c *Conn) endWrites() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.writing > 0 {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // it fails only on a closed connection, whose writes end
	}
	c.changed.Broadcast()
	for c.writing > 0 {
		c.changed.Wait()
	}
	return c.failure
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return 0, ErrEnded
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	if c.failure == nil && takesFailure(err) {
		c.failure = err
	}
	c.mu.Unlock()
	c.changed.Broadcast()
	return n, err
}

// takesFailure reports whether a write that ended with err has taken the report of a failure from the reader. EPIPE does
// not: it says that nothing can be written any more, as after a reset that came behind the orderly end, or whose report
// was taken before. Neither does a write that this side ended, by a deadline or by closing the connection.
func takesFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, io.ErrClosedPipe) &&
		!errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are each a Conn. A nil dial means that of a zero net.Dialer.
func Dialer(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
