package admit

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/pool"
)

// Peers returns clients for calls to other entry VMs. Acquire calls wait in the
// owner's queue, so they should not share a small connection pool with short
// calls.
type Peers interface {
	To(address string) peerpb.Peer
}

// Config holds the dependencies and limits of a Controller. Members, Configs,
// Peers and Loads are required. The zero value of any other field selects the
// default in the comment beside it.
type Config struct {
	Members seam.Members
	Configs seam.Configs
	Peers   Peers
	// AcquirePeers returns clients for Acquire calls. It needs MaxAcquireCalls
	// connections to each entry VM.
	AcquirePeers Peers // Peers
	Loads        LoadReader
	Scope        tally.Scope // none
	Log          log.Logger  // none
	Pool         pool.Config

	// UpkeepInterval is the time between two checks of the membership view,
	// planned stops and waiting requests.
	UpkeepInterval time.Duration // 50 ms
	// PauseLimit is how late an upkeep round may be before this process
	// concludes that it was paused.
	PauseLimit time.Duration // 1 s
	// MaxWait bounds the queue time of a request that no other place accepts.
	// Other requests wait for at most about one service time.
	MaxWait time.Duration // 500 ms
	// CrossZoneMaxWait bounds the queue time of requests from other zones.
	CrossZoneMaxWait time.Duration // 100 ms
	// ReplySlack is how long the owner's reply may take beyond MaxWait.
	ReplySlack time.Duration // 300 ms
	// ProbeAfter is how long an Acquire call may wait for its reply before the
	// owner is probed.
	ProbeAfter time.Duration // 100 ms
	// PeerTimeout bounds short calls to entry VMs and reads of load endpoints.
	PeerTimeout time.Duration // 200 ms
	// AgreementTimeout bounds how long a new owner waits for the other members
	// of the zone to agree that it owns the pool.
	AgreementTimeout time.Duration // 2 s
	// CheckAfter is the age of a grant at which its holder is first asked
	// whether it still holds the grant.
	CheckAfter time.Duration // 2 s
}

// MaxAcquireCalls is the maximum number of Acquire calls that wait at one other
// entry VM.
//
// A call that waits for a free connection looks like an owner that doesn't
// respond. If a healthy owner were skipped for that reason, a second VM would
// grant the same slots.
const MaxAcquireCalls = 64

const (
	defaultUpkeepInterval   = 50 * time.Millisecond
	defaultPauseLimit       = time.Second
	defaultMaxWait          = 500 * time.Millisecond
	defaultForeignMaxWait   = 100 * time.Millisecond
	defaultReplySlack       = 300 * time.Millisecond
	defaultProbeAfter       = 100 * time.Millisecond
	defaultPeerTimeout      = 200 * time.Millisecond
	defaultAgreementTimeout = 2 * time.Second
	defaultCheckAfter       = 2 * time.Second

	// defaultWaitPart limits the queue time to one mean service time. Longer
	// waits serve hardly more requests; see docs/measurements/balance.md.
	defaultWaitPart = 1

	// surveyRetryInterval is the pause between two surveys of a pool.
	surveyRetryInterval = 100 * time.Millisecond
	// retryInterval is the pause before a slot request is retried after the owner
	// changed, and before a failed call to a peer is retried.
	retryInterval = 50 * time.Millisecond
	// maxAcquireAttempts bounds the attempts of one request while the owner of
	// its pool changes.
	maxAcquireAttempts = 8
	// reconcileInterval is the time between two reconciliations of old grants.
	reconcileInterval = 500 * time.Millisecond
	// maxCheckAfter bounds the time between two checks of a grant, which doubles
	// with each check.
	maxCheckAfter = 30 * time.Second
	// maxReleaseAttempts bounds the attempts to deliver a release. Reconciling
	// old grants with their holders frees the slots whose release was lost.
	maxReleaseAttempts = 3
	// peerRetryAfter is the retry delay returned to callers when no owner could
	// be reached or too many calls wait there.
	peerRetryAfter = 200 * time.Millisecond
	// headroomTTL is the age up to which reported headroom is used.
	headroomTTL = 10 * time.Second
	// maxParallelLoadReads bounds concurrent reads of load endpoints.
	maxParallelLoadReads = 8
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
	orDefault(&c.UpkeepInterval, defaultUpkeepInterval)
	orDefault(&c.PauseLimit, defaultPauseLimit)
	orDefault(&c.MaxWait, defaultMaxWait)
	orDefault(&c.CrossZoneMaxWait, defaultForeignMaxWait)
	orDefault(&c.ReplySlack, defaultReplySlack)
	orDefault(&c.ProbeAfter, defaultProbeAfter)
	orDefault(&c.PeerTimeout, defaultPeerTimeout)
	orDefault(&c.AgreementTimeout, defaultAgreementTimeout)
	orDefault(&c.CheckAfter, defaultCheckAfter)
	if c.Pool.WaitPart == 0 {
		c.Pool.WaitPart = defaultWaitPart
	}
	c.Pool.MaxWait = c.MaxWait
	c.Pool.CrossZoneMaxWait = c.CrossZoneMaxWait
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
