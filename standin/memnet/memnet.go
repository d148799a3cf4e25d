package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// firstPort is the port after which free ports are assigned.
const firstPort = 20000

// ErrCut is the cause of dial errors on a cut link.
var ErrCut = errors.New("memnet: the link between the zones is cut")

var errRefused = errors.New("memnet: connection refused")

// Network is an in-memory network. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	port      uint16
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cutLinks  map[link]bool
}

// link is a directed pair of zones, from the dialing host to the listener.
type link struct{ from, to string }

// Host is a machine on the network.
type Host struct {
	network *Network
	zone    string
	address netip.Addr
}

// New returns an empty network.
func New() *Network {
	return &Network{port: firstPort, listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, cutLinks: map[link]bool{}}
}

// Host returns a machine in a zone. Address is the source IP address of its connections;
// Host panics if it is invalid.
func (n *Network) Host(zone, address string) *Host {
	return &Host{network: n, zone: zone, address: netip.MustParseAddr(address)}
}

// Cut cuts the link from one zone to another, or restores it if on is false. It affects
// connections that hosts in zone from have opened or open to listeners in zone to.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	n.cutLinks[link{from, to}] = on
	var broken []*conn
	for c := range n.conns {
		if on && c.link == (link{from, to}) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Listen opens a listener on the host. Port 0 means a free port.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	requested, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("memnet: listen: %w", err)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if requested.Port() == 0 {
		n.port++
		requested = netip.AddrPortFrom(requested.Addr(), n.port)
	}
	if _, taken := n.listeners[requested.String()]; taken {
		return nil, fmt.Errorf("memnet: address %s is in use", requested)
	}
	l := &listener{network: n, zone: h.zone, address: requested, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[requested.String()] = l
	return l, nil
}

// Dial opens a connection from the host. It has the signature of
// net.Dialer.DialContext.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dialer, acceptor, err := h.network.open(h, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	select {
	case acceptor.listener.accepted <- acceptor:
		return dialer, nil
	case <-acceptor.listener.closed:
		err = errRefused
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = dialer.Close()
	_ = acceptor.Close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

func (n *Network) open(h *Host, address string) (dialer, acceptor *conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok {
		return nil, nil, errRefused
	}
	path := link{h.zone, l.zone}
	if n.cutLinks[path] {
		return nil, nil, ErrCut
	}
	n.port++
	sourceAddress := net.TCPAddrFromAddrPort(netip.AddrPortFrom(h.address, n.port))
	listenAddress := net.TCPAddrFromAddrPort(l.address)
	a, b := net.Pipe()
	dialer = &conn{Conn: a, network: n, listener: l, link: path, local: sourceAddress, remote: listenAddress}
	acceptor = &conn{Conn: b, network: n, listener: l, link: path, local: listenAddress, remote: sourceAddress}
	n.conns[dialer], n.conns[acceptor] = struct{}{}, struct{}{}
	return dialer, acceptor, nil
}

// conn is one end of a connection. Both ends have the link of the dialing side.
type conn struct {
	net.Conn
	network       *Network
	listener      *listener
	link          link
	local, remote net.Addr
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	network  *Network
	zone     string
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}
