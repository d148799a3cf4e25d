// Package resetlinks provides connections on which a reset meets the writer of a request before the reader of its response,
// for tests.
//
// The kernel reports a reset once, to whichever of a pending read and a pending write comes first; the other one sees the
// end of the connection. Which one comes first is otherwise a race.
package resetlinks

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// patience bounds each wait, so that a test fails rather than hangs.
const patience = 2 * time.Second

// conn delays reads of what follows the first bytes until a write has failed, and the return of that write until the
// reads have ended.
type conn struct {
	net.Conn
	failed, ended         chan struct{}
	failedOnce, endedOnce sync.Once
	free                  int // bytes that may still be read without delay; used by the reader alone
}

// Dial opens a connection of which the first bytes, that many, are read without delay.
func Dial(ctx context.Context, address string, free int) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, failed: make(chan struct{}), ended: make(chan struct{}), free: free}, nil
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(p []byte) (int, error) {
	if c.free == 0 {
		c.await(c.failed)
	} else if len(p) > c.free {
		p = p[:c.free]
	}
	n, err := c.Conn.Read(p)
	c.free = max(c.free-n, 0)
	if err != nil {
		c.endedOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.failedOnce.Do(func() { close(c.failed) })
		c.await(c.ended)
	}
	return n, err
}

func (c *conn) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(patience):
	}
}
