package targetlinks

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Mode is what happens to connections.
type Mode uint8

// Modes.
const (
	// Open leaves connections alone.
	Open Mode = iota
	// Hang holds up all bytes until the mode ends. New connections are never established.
	Hang
	// Reset resets open connections and refuses new ones.
	Reset
	// RefuseNew refuses new connections; open ones live on.
	RefuseNew
	// HangNew never establishes new connections; open ones live on.
	HangNew
)

var modeNames = [...]string{"open", "hang", "reset", "new ones refused", "new ones hang"}

// String returns the name of the mode in logs.
func (m Mode) String() string { return modeNames[m] }

// Links are the connections of one VM to all targets. They are safe for concurrent use.
type Links struct {
	mu      sync.Mutex
	mode    Mode
	changed chan struct{} // closed at the next change of the mode
	conns   map[*conn]struct{}
}

// New returns links in mode Open.
func New() *Links {
	return &Links{changed: make(chan struct{}), conns: make(map[*conn]struct{})}
}

// Set changes the mode.
func (l *Links) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == Reset {
		for c := range l.conns {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Conn.Close()
		}
	}
}

func (l *Links) current() (Mode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// Dial opens a connection to address as the mode allows.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		mode, changed := l.current()
		switch mode {
		case Reset, RefuseNew:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		case Hang, HangNew:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
			}
		case Open:
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, links: l, closed: make(chan struct{})}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// conn is a connection whose bytes are held up in mode Hang.
type conn struct {
	net.Conn
	links  *Links
	once   sync.Once
	closed chan struct{}

	mu   sync.Mutex
	held []byte // written while the links hang
}

// pass waits until the links do not hang. It returns false once the connection is closed.
func (c *conn) pass() bool {
	for {
		mode, changed := c.links.current()
		if mode != Hang {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Bytes that are held up are written once the links pass again.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mode, _ := c.links.current(); mode == Hang || len(c.held) > 0 {
		if len(c.held) == 0 {
			go c.flush()
		}
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) flush() {
	if !c.pass() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.held) // an error shows at the next read
	c.held = nil
}

// Close implements net.Conn. Bytes that are held up are lost.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}
