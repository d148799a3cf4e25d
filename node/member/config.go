package member

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/membership"
)

// Peers returns a client for the peer listener at an address.
type Peers interface {
	To(address string) peerpb.Peer
}

// Hooks connect Members to other parts of the daemon. Hooks that are nil are not called.
type Hooks struct {
	// Pools returns the pools that this entry VM currently owns.
	Pools func() []*peerpb.PoolFact
	// OnPools receives pools of other members; the ages are as of the call.
	OnPools func([]*peerpb.PoolFact)
	// SuspectRequests returns the fingerprints to share, newest first.
	SuspectRequests func() []*peerpb.SuspectFact
	// OnSuspectRequests receives the fingerprints that other members share.
	OnSuspectRequests func([]*peerpb.SuspectFact)
	// ConfigVersion returns the configuration version in force at this entry VM.
	ConfigVersion func() int64
	// OnConfigVersion reports which version the member at a peer address has. It is called at
	// each exchange.
	OnConfigVersion func(peerAddress string, version int64)
	// InFlight returns the number of this entry VM's requests in flight.
	InFlight func() int32
	// OnPause reports that this process was paused for about the given time. Leases and ownership
	// that it held may have expired.
	OnPause func(time.Duration)
}

// Config configures Members. Zero durations take the defaults.
type Config struct {
	// Self is this entry VM. State and LastReceived are ignored.
	Self seam.Member
	// Started orders the incarnations of this VM. Zero means now.
	Started time.Time
	// Seeds are peer addresses to call while no other member is known.
	Seeds    []string
	Platform objects.API // nil if there is no platform
	Peers    Peers
	Hooks    Hooks
	// HeartbeatInterval is the time between two exchanges with members of the zone.
	HeartbeatInterval time.Duration
	// CrossZoneInterval is the time between two exchanges of a reporting member with other zones.
	CrossZoneInterval time.Duration
	// ProbeInterval is the time between two round-trip measurements. Each one measures the
	// distance to one other region, chosen at random.
	ProbeInterval time.Duration
	// ListInterval is the time between two reads of the platform's list of VMs by the member that
	// reads it for the zone.
	ListInterval time.Duration
	Params       membership.Params
	// Random returns a number in [0,n). Nil means math/rand/v2.
	Random func(n int) int
	Scope  tally.Scope // nil disables metrics
	Logger log.Logger  // nil disables logging
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = time.Second / 2
	DefaultCrossZoneInterval = time.Second
	DefaultProbeInterval     = 10 * time.Second
	DefaultListInterval      = 10 * time.Second
)

const (
	// reportersPerZone is the number of members of a zone that exchange with other zones.
	reportersPerZone = 2
	// inZoneTimeout and crossZoneTimeout bound an exchange within a zone and between zones. The
	// latter leaves time for a new connection at a one-way delay of 35 ms.
	inZoneTimeout    = 500 * time.Millisecond
	crossZoneTimeout = 1500 * time.Millisecond
	// maxExchanges bounds the number of exchanges in flight.
	maxExchanges = 8
	// pauseThreshold is how late a tick must be to count as a pause of the process.
	pauseThreshold = time.Second
)

// Limits of one message, which keep its size constant as the fleet grows, and intervals and
// lifetimes of the facts in it.
const (
	maxHeartbeats       = 24
	maxReportsInZone    = 4
	maxReportsCrossZone = 10
	maxRecentFacts      = 8
	maxPoolsInZone      = 2
	maxPoolsCrossZone   = 6
	maxSuspects         = 4
	maxSyncedFacts      = 1024
	recentWindow        = 5 * time.Second
	syncInterval        = 2 * time.Second
	leavingLoadInterval = 2 * time.Second
	poolFactTTL         = 10 * time.Second
	expiryInterval      = time.Minute
	// maxPublishInterval bounds the age of the published view. minPublishInterval limits how
	// often facts received from other members cause a new one.
	maxPublishInterval = time.Second
	minPublishInterval = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.CrossZoneInterval, DefaultCrossZoneInterval)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ListInterval, DefaultListInterval)
	if c.Started.IsZero() {
		c.Started = time.Now()
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	c.Hooks = c.Hooks.withDefaults()
	return c
}

func (h Hooks) withDefaults() Hooks {
	if h.Pools == nil {
		h.Pools = func() []*peerpb.PoolFact { return nil }
	}
	if h.OnPools == nil {
		h.OnPools = func([]*peerpb.PoolFact) {}
	}
	if h.SuspectRequests == nil {
		h.SuspectRequests = func() []*peerpb.SuspectFact { return nil }
	}
	if h.OnSuspectRequests == nil {
		h.OnSuspectRequests = func([]*peerpb.SuspectFact) {}
	}
	if h.ConfigVersion == nil {
		h.ConfigVersion = func() int64 { return 0 }
	}
	if h.OnConfigVersion == nil {
		h.OnConfigVersion = func(string, int64) {}
	}
	if h.InFlight == nil {
		h.InFlight = func() int32 { return 0 }
	}
	if h.OnPause == nil {
		h.OnPause = func(time.Duration) {}
	}
	return h
}
