package gracefulstop

// Connection decides which response closes a connection on which responses are written in the order of the
// requests. It is not safe for concurrent use.
type Connection struct {
	reading    bool // a request is being read
	unanswered int  // requests that were read, and to which the response has not begun
	ending     bool // nothing is read once all that was read is answered
	closed     bool // a response has announced the close
}

// BeginRead reports whether the request whose first byte has arrived may be read. While the VM is draining it
// may not if the response to an earlier request can still close the connection.
func (c *Connection) BeginRead(draining bool) bool {
	if c.closed || (draining || c.ending) && c.unanswered > 0 {
		return false
	}
	c.reading = true
	return true
}

// Start records that the request was read. It returns false if the connection has been closed meanwhile, so that
// the request must not be run.
func (c *Connection) Start() bool {
	if c.closed {
		return false
	}
	c.reading = false
	c.unanswered++
	return true
}

// Respond decides whether the response to the oldest request without one closes the connection. With last set
// no response may follow it but those to requests that were read already; the newest of these then closes.
func (c *Connection) Respond(draining, last bool) (closes bool) {
	c.unanswered--
	c.ending = c.ending || last
	closes = (c.ending || draining) && c.unanswered == 0 && !c.reading
	c.closed = c.closed || closes
	return closes
}

// Idle reports whether no request is being read or has no response yet.
func (c *Connection) Idle() bool { return !c.reading && c.unanswered == 0 }

// Closed reports whether a response has announced the close.
func (c *Connection) Closed() bool { return c.closed }
