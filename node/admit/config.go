package admit

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/pool"
)

// Peers reaches other entry VMs. Calls of Acquire wait in the owner's queue,
// so they should not share a small set of connections with short calls.
type Peers interface {
	To(address string) peerpb.Peer
}

// Config holds the parts and bounds of an Admit. Members, Configs, Peers and
// Loads are required; a zero duration takes the default named beside it.
type Config struct {
	Members seam.Members
	Configs seam.Configs
	Peers   Peers
	// AcquirePeers reaches other entry VMs for calls of Acquire. It needs
	// MaxAsks connections to each.
	AcquirePeers Peers // Peers
	Loads        LoadReader
	Scope        tally.Scope // none
	Log          log.Logger  // none
	Pool         pool.Config

	// Upkeep is how often the view, stops and old grants are looked at.
	Upkeep time.Duration // 50 ms
	// PauseLimit is how late upkeep may be before this entry VM takes itself
	// for one that was paused.
	PauseLimit time.Duration // 1 s
	// MaxWait bounds the wait in an owner's queue of a request that no other
	// place takes. Others wait for at most about one service time.
	MaxWait time.Duration // 500 ms
	// ForeignMaxWait bounds it for work from other zones.
	ForeignMaxWait time.Duration // 100 ms
	// AskSlack is how long a reply of the owner may take beyond that wait.
	AskSlack time.Duration // 300 ms
	// ProbeAfter is when an owner whose reply is not there yet is probed.
	ProbeAfter time.Duration // 100 ms
	// PeerTimeout bounds short calls to entry VMs and load reads.
	PeerTimeout time.Duration // 200 ms
	// AgreeFor bounds how long a new owner waits for others to see it the
	// same way.
	AgreeFor time.Duration // 2 s
	// CheckAfter is the age at which a grant's holder is first asked whether
	// it still holds it.
	CheckAfter time.Duration // 2 s
}

// MaxAsks bounds the calls of Acquire that wait at one other entry VM.
//
// A call that waits for a connection looks like an owner that does not answer,
// and passing over an owner that counts would have its slots counted twice.
const MaxAsks = 64

const (
	defaultUpkeep         = 50 * time.Millisecond
	defaultPauseLimit     = time.Second
	defaultMaxWait        = 500 * time.Millisecond
	defaultForeignMaxWait = 100 * time.Millisecond
	defaultAskSlack       = 300 * time.Millisecond
	defaultProbeAfter     = 100 * time.Millisecond
	defaultPeerTimeout    = 200 * time.Millisecond
	defaultAgreeFor       = 2 * time.Second
	defaultCheckAfter     = 2 * time.Second

	// defaultWaitPart bounds the wait in a queue by the mean service time. See
	// docs/measurements/balance.md: longer waits serve hardly more.
	defaultWaitPart = 1

	// agreeRetry is the pause between two rounds of asking who owns a pool.
	agreeRetry = 100 * time.Millisecond
	// settleRetry is the pause before asking again after a changed owner.
	settleRetry = 50 * time.Millisecond
	// acquireTries bounds how often one request follows a moving pool.
	acquireTries = 8
	// reconcileEvery is how often old grants are looked at.
	reconcileEvery = 500 * time.Millisecond
	// maxCheckAfter bounds the doubling wait between two checks of a grant.
	maxCheckAfter = 30 * time.Second
	// releaseTries bounds how often a release is sent; reconciling heals the
	// rest.
	releaseTries = 3
	// peerRetryAfter is when to come back after no owner could be reached.
	peerRetryAfter = 200 * time.Millisecond
	// factFor is how long a told headroom is worth anything.
	factFor = 10 * time.Second
	// parallelReads bounds load reads at once.
	parallelReads = 8
)

func (c Config) withDefaults() Config {
	if c.AcquirePeers == nil {
		c.AcquirePeers = c.Peers
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	orDefault(&c.Upkeep, defaultUpkeep)
	orDefault(&c.PauseLimit, defaultPauseLimit)
	orDefault(&c.MaxWait, defaultMaxWait)
	orDefault(&c.ForeignMaxWait, defaultForeignMaxWait)
	orDefault(&c.AskSlack, defaultAskSlack)
	orDefault(&c.ProbeAfter, defaultProbeAfter)
	orDefault(&c.PeerTimeout, defaultPeerTimeout)
	orDefault(&c.AgreeFor, defaultAgreeFor)
	orDefault(&c.CheckAfter, defaultCheckAfter)
	if c.Pool.WaitPart == 0 {
		c.Pool.WaitPart = defaultWaitPart
	}
	c.Pool.MaxWait = c.MaxWait
	c.Pool.ForeignMaxWait = c.ForeignMaxWait
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
