package quickstart

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// dialTimeout bounds a dial, also one that a cut swallows.
const dialTimeout = 2 * time.Second

// network lets a zone be cut off from the others on one machine. Entry VMs
// dial through it; it knows the zone of every address they dial. A cut
// swallows new dials until they time out and closes the connections that cross
// it.
type network struct {
	mu    sync.Mutex
	zones map[string]string // zone of an address
	cut   string
	conns map[*crossing]bool
	// delays gives the one-way delay between two zones.
	delays func(from, to string) time.Duration
}

// crossing is a connection between two zones.
type crossing struct {
	net.Conn
	network  *network
	from, to string
}

func newNetwork(delays func(from, to string) time.Duration) *network {
	return &network{zones: map[string]string{}, conns: map[*crossing]bool{}, delays: delays}
}

// place tells the zone of some addresses.
func (n *network) place(zone string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.zones[a] = zone
	}
}

// from returns the dial function of a zone's entry VMs.
func (n *network) from(zone string) dialFunc {
	return n.overLinks(n.cuttable(zone), zone, 0)
}

// cuttable returns a dial function whose connections a cut breaks.
func (n *network) cuttable(zone string) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.zoneOf(address)
		if n.blocked(zone, to) {
			return nil, n.swallow(ctx, address)
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || to == zone {
			return conn, err
		}
		return n.track(&crossing{Conn: conn, network: n, from: zone, to: to})
	}
}

func (n *network) zoneOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crosses(from, to)
}

func (n *network) crosses(from, to string) bool {
	return n.cut != "" && from != to && (from == n.cut || to == n.cut)
}

func (n *network) isCut(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut == zone
}

// swallow waits as a dial does whose packets are lost.
func (n *network) swallow(ctx context.Context, address string) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded, Addr: stringAddr(address)}
}

type stringAddr string

// Network returns the name of the network.
func (stringAddr) Network() string { return "tcp" }

// String returns the address.
func (a stringAddr) String() string { return string(a) }

func (n *network) track(c *crossing) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c, nil
}

// Close closes the connection.
func (c *crossing) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// cutOff cuts a zone off; an empty zone heals the cut.
func (n *network) cutOff(zone string) {
	for _, c := range n.begin(zone) {
		_ = c.Close()
	}
}

func (n *network) begin(zone string) []*crossing {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = zone
	var broken []*crossing
	for c := range n.conns {
		if n.crosses(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	return broken
}
