package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// chunkBytes is how much is sent over a link at once, about the size of a few packets.
const chunkBytes = 8 << 10

// link is a simulated link with a rate that all its users share.
type link struct {
	mu     sync.Mutex
	rate   float64 // in bytes per second
	freeAt time.Time
}

// transmit blocks until the link has transferred n more bytes.
func (l *link) transmit(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// setRate sets the rate, in bytes per second.
func (l *link) setRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// slowConn is a connection whose reads pass the links in and whose writes pass the links out.
type slowConn struct {
	net.Conn
	in  []*link
	out []*link
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), chunkBytes)])
	for _, l := range c.in {
		l.transmit(n)
	}
	return n, err
}

func (c *slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := c.Conn.Write(b[written:min(len(b), written+chunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
		for _, l := range c.out {
			l.transmit(n)
		}
	}
	return written, nil
}

// slowListener accepts connections whose writes pass a link.
type slowListener struct {
	net.Listener
	link *link
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, out: []*link{l.link}}, nil
}

// links holds the links of VMs by IP address, one for each direction.
type links struct {
	rate    float64
	mu      sync.Mutex
	in, out map[string]*link
	// storeBlocked holds the VMs that get no response from the store.
	storeBlocked map[string]bool
}

func newLinks(megabits float64) *links {
	return &links{rate: megabits / 8 * 1e6, in: make(map[string]*link), out: make(map[string]*link), storeBlocked: make(map[string]bool)}
}

func (l *links) linkOf(direction map[string]*link, ip string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if direction[ip] == nil {
		direction[ip] = &link{rate: l.rate}
	}
	return direction[ip]
}

// dial returns a function that opens connections from a VM to its peers over the links of both.
func (l *links) dial(ip string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: conn, in: []*link{l.linkOf(l.out, host), l.linkOf(l.in, ip)}, out: []*link{l.linkOf(l.out, ip), l.linkOf(l.in, host)}}, nil
	}
}

// blockStore makes the store stop responding to VMs.
func (l *links) blockStore(all ...*vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range all {
		l.storeBlocked[v.settings.IP] = true
	}
}

func (l *links) isStoreBlocked(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeBlocked[ip]
}

// proxyStore serves the store to one VM over the link of that VM, and returns the address.
func (l *links) proxyStore(t *testing.T, ip string, store http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isStoreBlocked(ip) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after it has read the body
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	}))
	server.Listener = slowListener{Listener: server.Listener, link: l.linkOf(l.in, ip)}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}
