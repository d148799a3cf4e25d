package upstream

import "heatherlock/node/lock"

// Tries are the connections on which tries of one request were sent. A connection carries a request once: a response
// names the request, not the try, and may be a copy of that to an earlier one. The zero value is ready to use; a
// nil *Tries remembers nothing.
type Tries struct {
	mu    lock.Mutex
	conns []*conn
}

// add records that a try is sent on c.
func (t *Tries) add(c *conn) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, c)
}

// used reports whether a try was sent on c.
func (t *Tries) used(c *conn) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.conns {
		if other == c {
			return true
		}
	}
	return false
}
