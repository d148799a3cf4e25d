package quickstart

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// dialTimeout limits a dial, including one to an isolated zone.
const dialTimeout = 2 * time.Second

// network can isolate a zone from the others on one machine. Entry VMs dial
// through it, and it knows the zone of every address that they dial. While a zone
// is isolated, new dials into or out of it time out; its open connections to other
// zones are closed when the isolation starts.
type network struct {
	mu             sync.Mutex
	zoneByAddress  map[string]string
	isolatedZone   string // empty if no zone is isolated
	crossZoneConns map[*crossZoneConn]bool
	// delays returns the one-way delay between two zones.
	delays func(from, to string) time.Duration
}

// crossZoneConn is a connection between two zones.
type crossZoneConn struct {
	net.Conn
	network  *network
	from, to string
}

func newNetwork(delays func(from, to string) time.Duration) *network {
	return &network{zoneByAddress: map[string]string{}, crossZoneConns: map[*crossZoneConn]bool{}, delays: delays}
}

// setZone registers the zone of the addresses.
func (n *network) setZone(zone string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.zoneByAddress[a] = zone
	}
}

// dialFrom returns the dial function of the entry VMs of a zone.
func (n *network) dialFrom(zone string) dialFunc {
	return n.withZoneDelay(n.isolatable(zone), zone, 0)
}

// isolatable returns a dial function whose connections are closed when isolate
// separates their two ends.
func (n *network) isolatable(zone string) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.zoneOf(address)
		if n.blocked(zone, to) {
			return nil, n.dropDial(ctx, address)
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || to == zone {
			return conn, err
		}
		return n.track(&crossZoneConn{Conn: conn, network: n, from: zone, to: to})
	}
}

func (n *network) zoneOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zoneByAddress[address]
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.separated(from, to)
}

func (n *network) separated(from, to string) bool {
	return n.isolatedZone != "" && from != to && (from == n.isolatedZone || to == n.isolatedZone)
}

func (n *network) isIsolated(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolatedZone == zone
}

// dropDial waits until the dial timeout or the end of ctx, like a dial whose
// packets are lost, and returns a timeout error.
func (n *network) dropDial(ctx context.Context, address string) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded, Addr: stringAddr(address)}
}

type stringAddr string

// Network implements net.Addr.
func (stringAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a stringAddr) String() string { return string(a) }

func (n *network) track(c *crossZoneConn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crossZoneConns[c] = true
	return c, nil
}

// Close closes the connection and removes it from the network's list.
func (c *crossZoneConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.crossZoneConns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// isolate isolates a zone from the others. An empty zone ends the isolation.
func (n *network) isolate(zone string) {
	for _, c := range n.setIsolatedZone(zone) {
		_ = c.Close()
	}
}

func (n *network) setIsolatedZone(zone string) []*crossZoneConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolatedZone = zone
	var separatedConns []*crossZoneConn
	for c := range n.crossZoneConns {
		if n.separated(c.from, c.to) {
			separatedConns = append(separatedConns, c)
		}
	}
	return separatedConns
}
