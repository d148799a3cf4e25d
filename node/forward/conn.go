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

	"heatherlock/responses"
)

// countedConn is a connection that can prove whether a request was sent on it.
//
// The HTTP client reports a failed exchange without saying whether any byte of the request was
// sent. A wrong guess either runs a purchase twice or fails a request that could safely be sent
// elsewhere. The proof is to count the bytes on the connection and to close it for good before the
// count is read.
type countedConn struct {
	*responses.Conn
	mu      sync.Mutex
	sent    int64
	closed  bool
	onClose func() // set by the exchange that uses the connection now
}

var errConnClosed = errors.New("forward: connection given up")

// Write sends p unless the connection was closed by closeAndCount.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errConnClosed
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// Close closes the connection and notifies the exchange that uses it.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	callback := c.onClose
	c.onClose = nil
	c.mu.Unlock()
	if callback != nil {
		callback()
	}
	return err
}

// setOnClose sets the function that Close calls once; nil removes it.
func (c *countedConn) setOnClose(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = onClose
}

// sentBytes returns how many bytes have been sent on the connection.
func (c *countedConn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// closeAndCount closes the connection for good and returns how many bytes were ever sent on it. No
// byte is sent after it returns.
func (c *countedConn) closeAndCount() int64 {
	_ = c.Close() // before locking, so that a blocked Write returns
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.sent
}

// Limits and timeouts of the connections to targets and peers.
const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	keepAlivePeriod        = 15 * time.Second
	maxIdleConnsPerPeer    = 64
	maxResponseHeaderBytes = 256 << 10
	// targetContinueWait is how long to wait for a target to respond to Expect: 100-continue before
	// the body is sent anyway (RFC 9110 section 10.1.1).
	targetContinueWait = time.Second
	// peerContinueWait is effectively unlimited: a peer always responds, and a body that can be
	// sent only once must not go to a peer that may still refuse the request.
	peerContinueWait = 24 * time.Hour
)

// Dial opens a connection as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func netDial() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext
}

// targetTransport returns the HTTP client for targets. It opens at most perTarget connections to
// each target, because targets limit their connections.
func targetTransport(open Dial, perTarget int) *http.Transport {
	t := newTransport(open, targetContinueWait)
	t.MaxConnsPerHost = perTarget
	t.MaxIdleConnsPerHost = perTarget
	return t
}

// peerTransport returns the HTTP client for requests handed over to entry VMs. It uses TLS if
// config is not nil.
func peerTransport(open Dial, config *tls.Config) *http.Transport {
	t := newTransport(open, peerContinueWait)
	t.TLSClientConfig = config
	t.MaxIdleConnsPerHost = maxIdleConnsPerPeer
	return t
}

// newTransport returns an HTTP client whose connections count the bytes sent.
func newTransport(open Dial, continueWait time.Duration) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: responses.NewConn(inner)}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// exchangeConn tracks the connection that one try uses.
//
// When the connection closes, the HTTP client waits for its writer goroutine to end, and that
// goroutine may itself wait for a caller who sends slowly. The caller's own slow upload would then
// delay the refusal. onClose ends that wait.
type exchangeConn struct {
	onClose func()

	mu   sync.Mutex
	conn *countedConn
	base int64 // bytes sent on conn before this try
}

// gotConn is called by the HTTP client when it has chosen a connection.
func (e *exchangeConn) gotConn(info httptrace.GotConnInfo) {
	inner := info.Conn
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	conn, ok := inner.(*countedConn)
	if !ok {
		return
	}
	conn.Begin()
	base := conn.sentBytes()
	conn.setOnClose(e.onClose)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.base = conn, base
}

// abandon closes the connection, so that no other exchange uses it, and reports whether any byte of
// this try was sent.
func (e *exchangeConn) abandon() (sent bool) {
	e.mu.Lock()
	conn, base := e.conn, e.base
	e.mu.Unlock()
	if conn == nil {
		return false
	}
	return conn.closeAndCount() > base
}

// accept lets the connection carry other exchanges, once the response has been checked to its end.
func (e *exchangeConn) accept() {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn != nil {
		conn.Accept()
	}
}

// release removes the close callback, so that the connection can serve other exchanges.
func (e *exchangeConn) release() {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn != nil {
		conn.setOnClose(nil)
	}
}
