// Package volume counts the bytes that an entry VM exchanges, by what they are for and how
// far they go. Links between regions are the dearest and narrowest of a deployment: an
// operator whose links fill up sees here what fills them.
package volume

import (
	"net"
	"sync"

	"heatherlock/steering"
)

// Purpose is what bytes are exchanged for.
type Purpose string

// Purposes.
const (
	// Requests and their answers, between an entry VM and targets.
	Requests Purpose = "requests"
	// Heartbeats, as their sender counts them.
	Heartbeats Purpose = "heartbeats"
	// Allowances are reports on what workspaces use, and their answers, as their sender
	// counts them.
	Allowances Purpose = "allowances"
	// Targets is what other entry VMs tell of targets, as who asks counts it.
	Targets Purpose = "targets"
	// Configuration is what other entry VMs tell of it, as who asks counts it.
	Configuration Purpose = "configuration"
	// Store is what is read from the store and written to it.
	Store Purpose = "store"
)

// Sum is a number of bytes by how far they go: within the zone, to other zones of the
// region, to other regions, or to a place that is not known.
type Sum struct {
	Zone    int64 `json:"zone,omitempty"`
	Region  int64 `json:"region,omitempty"`
	Across  int64 `json:"across,omitempty"`
	Unknown int64 `json:"unknown,omitempty"`
}

// Add adds another sum.
func (s *Sum) Add(o Sum) {
	s.Zone += o.Zone
	s.Region += o.Region
	s.Across += o.Across
	s.Unknown += o.Unknown
}

// ByDistance returns the sum's parts by name, as they are told in metrics.
func (s Sum) ByDistance() map[string]int64 {
	return map[string]int64{"zone": s.Zone, "region": s.Region, "across": s.Across, "unknown": s.Unknown}
}

// Sums are sums by purpose.
type Sums map[Purpose]Sum

// LineMessage marks the line of a log that holds sums.
const LineMessage = "bytes exchanged"

// Place is where bytes go to or come from; empty where it is not known.
type Place struct {
	Zone   steering.Zone
	Region steering.Region
}

// Meter counts the bytes of one entry VM. It is safe for concurrent use.
type Meter struct {
	self Place

	mu     sync.Mutex
	sums   Sums
	totals map[Purpose]int64
}

// NewMeter returns the meter of an entry VM at a place.
func NewMeter(self Place) *Meter {
	return &Meter{self: self, sums: make(Sums), totals: make(map[Purpose]int64)}
}

// Count counts bytes that went to a place or came from it.
func (m *Meter) Count(p Purpose, at Place, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.sums[p]
	sum.Add(m.classify(at, bytes))
	m.sums[p] = sum
	m.totals[p] += bytes
}

// Total returns what was counted for a purpose since the meter was made.
func (m *Meter) Total(p Purpose) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals[p]
}

func (m *Meter) classify(at Place, bytes int64) Sum {
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

// TakeSums returns what was counted since the last call.
func (m *Meter) TakeSums() Sums {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.sums
	m.sums = make(Sums)
	return taken
}

// Conn returns a connection whose bytes are counted, both ways.
func (m *Meter) Conn(raw net.Conn, p Purpose, at Place) net.Conn { return &conn{raw, m, p, at} }

type conn struct {
	net.Conn
	meter   *Meter
	purpose Purpose
	at      Place
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
