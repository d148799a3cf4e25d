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

// Peers gives a client for a peer listener's address.
type Peers interface {
	To(address string) peerpb.Peer
}

// Hooks connect other parts; nil ones are left out.
type Hooks struct {
	// Pools returns the pools that this entry VM owns now.
	Pools func() []*peerpb.PoolFact
	// OnPools takes pools of others; ages are as of the call.
	OnPools func([]*peerpb.PoolFact)
	// SuspectRequests returns fingerprints to share, newest first.
	SuspectRequests func() []*peerpb.SuspectFact
	// OnSuspectRequests takes fingerprints that others share.
	OnSuspectRequests func([]*peerpb.SuspectFact)
	// ConfigVersion returns the version in force here.
	ConfigVersion func() int64
	// OnConfigVersion says which version the member at a peer address has; it
	// is called at each exchange.
	OnConfigVersion func(peerAddress string, version int64)
	// InFlight returns the requests that this entry VM carries.
	InFlight func() int32
	// OnPause says that this process stood still for about the time given.
	// Whatever it believed to hold may be over.
	OnPause func(time.Duration)
}

// Config holds what Members needs. Zero durations take the defaults.
type Config struct {
	// Self is this entry VM; State and Heard are ignored.
	Self seam.Member
	// Started orders the incarnations of this VM; zero means now.
	Started time.Time
	// Seeds are peer addresses to ask while nobody else is known.
	Seeds    []string
	Platform objects.API // nil means none
	Peers    Peers
	Hooks    Hooks
	// BeatEvery is the time between two exchanges with members of the zone.
	BeatEvery time.Duration
	// CrossEvery is the time between two exchanges of a reporting member with
	// other zones.
	CrossEvery time.Duration
	// ProbeEvery is the time between two measurements of the distance to
	// another region, each region in its turn.
	ProbeEvery time.Duration
	// ListEvery is the time between two reads of the platform's list of VMs by
	// the zone's reading member.
	ListEvery time.Duration
	Params    membership.Params
	// Random returns a number in [0,n); nil means math/rand/v2.
	Random func(n int) int
	Scope  tally.Scope // nil means none
	Logger log.Logger  // nil means none
}

// Defaults of Config.
const (
	DefaultBeatEvery  = time.Second / 2
	DefaultCrossEvery = time.Second
	DefaultProbeEvery = 10 * time.Second
	DefaultListEvery  = 10 * time.Second
)

const (
	// reporters is how many members of a zone talk to other zones.
	reporters = 2
	// nearTimeout and farTimeout bound an exchange within a zone and between
	// zones; the latter covers a new connection at 35 ms one way.
	nearTimeout = 500 * time.Millisecond
	farTimeout  = 1500 * time.Millisecond
	// maxExchanges bounds the exchanges in flight at once.
	maxExchanges = 8
	// pauseAfter is how late a tick must be to count as a pause of the process.
	pauseAfter = time.Second
)

// Bounds of one message, which keep its size flat as the fleet grows.
const (
	maxBeats        = 24
	maxReportsNear  = 4
	maxReportsFar   = 10
	maxRecentFacts  = 8
	maxPoolsNear    = 2
	maxPoolsFar     = 6
	maxSuspects     = 4
	maxSyncedFacts  = 1024
	recentWindow    = 5 * time.Second
	syncEvery       = 2 * time.Second
	leavingLoadEach = 2 * time.Second
	poolKeptFor     = 10 * time.Second
	forgetEvery     = time.Minute
	// publishEvery bounds the age of what readers see; publishGap bounds how
	// often facts that others told renew it.
	publishEvery = time.Second
	publishGap   = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&c.BeatEvery, DefaultBeatEvery)
	def(&c.CrossEvery, DefaultCrossEvery)
	def(&c.ProbeEvery, DefaultProbeEvery)
	def(&c.ListEvery, DefaultListEvery)
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
