package forward

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// countedConn is a connection that can prove whether a request left on it.
//
// The HTTP client reports a broken exchange without saying whether any byte of
// the request was sent. Guessing wrong either runs a purchase twice or gives up
// one that could safely go elsewhere. Counting the bytes at the connection, and
// closing it for good before the count is read, gives the proof.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	sent    int64
	sealed  bool
	onClose func() // of the exchange that uses it now
}

var errSealed = errors.New("forward: connection given up")

// Write sends p unless the connection was given up.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// Close closes the connection and tells the exchange on it.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	told := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if told != nil {
		told()
	}
	return err
}

// follow sets what Close tells; nil ends it.
func (c *countedConn) follow(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = onClose
}

// sentBytes returns how many bytes were sent so far.
func (c *countedConn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// seal closes the connection for good and returns how many bytes were ever
// sent on it. No byte leaves after seal returns.
func (c *countedConn) seal() int64 {
	_ = c.Close() // first, so that a blocked Write ends
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.sent
}

// Settings of the connections to targets and peers.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	keepAlivePeriod   = 15 * time.Second
	idlePerPeer       = 64
	answerHeaderBytes = 256 << 10
	// targetContinueWait is how long a target may leave Expect: 100-continue
	// unanswered before the body is sent anyway (RFC 9110 section 10.1.1).
	targetContinueWait = time.Second
	// peerContinueWait is unbounded in practice: a peer always answers, and a
	// body must not be spent on one that may still refuse.
	peerContinueWait = 24 * time.Hour
)

// Dial opens a connection as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func netDial() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext
}

// targetTransport returns the HTTP client for targets, which bound their
// connections.
func targetTransport(open Dial, perTarget int) *http.Transport {
	t := newTransport(open, targetContinueWait)
	t.MaxConnsPerHost = perTarget
	t.MaxIdleConnsPerHost = perTarget
	return t
}

// peerTransport returns the HTTP client for hand-overs to entry VMs; with
// config it speaks TLS.
func peerTransport(open Dial, config *tls.Config) *http.Transport {
	t := newTransport(open, peerContinueWait)
	t.TLSClientConfig = config
	t.MaxIdleConnsPerHost = idlePerPeer
	return t
}

// newTransport returns an HTTP client whose connections count their bytes.
func newTransport(open Dial, continueWait time.Duration) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: inner}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: answerHeaderBytes,
	}
}

// exchangeConn follows the connection that one try uses.
//
// When the connection closes, the HTTP client first waits until its writer has
// ended, and that may be waiting for a caller who sends slowly: a refusal would
// then be held back by the very caller it is for. onClose ends that wait.
type exchangeConn struct {
	onClose func()

	mu   sync.Mutex
	conn *countedConn
	base int64 // bytes sent on it before this try
}

// got is called by the HTTP client when it has chosen a connection.
func (e *exchangeConn) got(info httptrace.GotConnInfo) {
	inner := info.Conn
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	conn, ok := inner.(*countedConn)
	if !ok {
		return
	}
	base := conn.sentBytes()
	conn.follow(e.onClose)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.base = conn, base
}

// giveUp closes the connection, so that no other exchange ever uses it, and
// reports whether any byte of this try left.
func (e *exchangeConn) giveUp() (sent bool) {
	e.mu.Lock()
	conn, base := e.conn, e.base
	e.mu.Unlock()
	if conn == nil {
		return false
	}
	return conn.seal() > base
}

// release ends the exchange's interest in the connection.
func (e *exchangeConn) release() {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn != nil {
		conn.follow(nil)
	}
}
