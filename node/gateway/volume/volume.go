// Package volume counts the bytes that an entry VM exchanges, by purpose and by distance. The
// links between regions are the most expensive and narrowest of a deployment; the counts show
// operators what fills them.
//
// A Meter collects the counts. Callers add to it with Count, or wrap a connection with Conn, and
// read it with TakeSums.
package volume

import (
	"net"

	"heatherlock/node/lock"
	"heatherlock/steering"
)

// Purpose says what bytes are exchanged for. Its values are written to logs and metrics.
type Purpose string

const (
	// Requests are requests of callers and the responses to them, between an entry VM and
	// targets.
	Requests Purpose = "requests"
	// PassedOn are requests that this VM hands to other entry VMs while it is cut off from all targets.
	PassedOn Purpose = "passed_on"
	// Heartbeats are counted by their sender.
	Heartbeats Purpose = "heartbeats"
	// Allowances are reports on the usage of workspaces and the replies to them, each counted by
	// its sender.
	Allowances Purpose = "allowances"
	// LoadReports are reports of load and weights of targets, counted by their sender.
	LoadReports Purpose = "load_reports"
	// Targets are target updates from other entry VMs, counted by the VM that pulls them.
	Targets Purpose = "targets"
	// Configuration is configuration data from other entry VMs, counted by the VM that fetches
	// it.
	Configuration Purpose = "configuration"
	// Store is data read from or written to the store.
	Store Purpose = "store"
)

// Sum is a number of bytes by distance: within the zone (Zone), between zones of the region
// (Region), between regions (Across), or to or from an unknown location (Unknown).
type Sum struct {
	Zone    int64 `json:"zone,omitempty"`
	Region  int64 `json:"region,omitempty"`
	Across  int64 `json:"across,omitempty"`
	Unknown int64 `json:"unknown,omitempty"`
}

// Add adds the bytes of o to s.
func (s *Sum) Add(o Sum) {
	s.Zone += o.Zone
	s.Region += o.Region
	s.Across += o.Across
	s.Unknown += o.Unknown
}

// ByDistance returns the bytes by the distance labels that metrics use.
func (s Sum) ByDistance() map[string]int64 {
	return map[string]int64{"zone": s.Zone, "region": s.Region, "across": s.Across, "unknown": s.Unknown}
}

// Sums holds a Sum for each purpose with any bytes.
type Sums map[Purpose]Sum

// LogMessage is the message of the log lines that hold Sums. Tools find the lines by it.
const LogMessage = "bytes exchanged"

// Location is the location of the other end of an exchange. The zero value means unknown.
type Location struct {
	Zone   steering.Zone
	Region steering.Region
}

// Meter counts the bytes of one entry VM. It is safe for concurrent use.
type Meter struct {
	self Location

	mu     lock.Mutex
	sums   Sums
	totals map[Purpose]int64
}

// NewMeter returns a Meter for the entry VM at a location, from which distances are measured.
func NewMeter(self Location) *Meter {
	return &Meter{self: self, sums: make(Sums), totals: make(map[Purpose]int64)}
}

// Count adds bytes that were sent to or received from a location.
func (m *Meter) Count(p Purpose, at Location, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.sums[p]
	sum.Add(m.classify(at, bytes))
	m.sums[p] = sum
	m.totals[p] += bytes
}

// Total returns the bytes counted for a purpose since the Meter was created. TakeSums does not
// reset it.
func (m *Meter) Total(p Purpose) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals[p]
}

func (m *Meter) classify(at Location, bytes int64) Sum {
	switch {
	case at.Region == "":
		return Sum{Unknown: bytes}
	case at.Region != m.self.Region:
		return Sum{Across: bytes}
	case at.Zone != m.self.Zone:
		return Sum{Region: bytes}
	}
	return Sum{Zone: bytes}
}

// TakeSums returns the bytes counted since its last call, and resets them.
func (m *Meter) TakeSums() Sums {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.sums
	m.sums = make(Sums)
	return taken
}

// Conn returns a connection that counts the bytes read from and written to raw.
func (m *Meter) Conn(raw net.Conn, p Purpose, at Location) net.Conn { return &conn{raw, m, p, at} }

type conn struct {
	net.Conn
	meter   *Meter
	purpose Purpose
	at      Location
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Count(c.purpose, c.at, int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Count(c.purpose, c.at, int64(n))
	return n, err
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }
