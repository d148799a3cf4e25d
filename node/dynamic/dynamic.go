package dynamic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"heatherlock/node/runtime"
	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/config"
	"heatherlock/steering/routing"
)

// Config holds what a Syncer needs.
type Config struct {
	// Platform is the platform's object API, limited by the call budget.
	Platform objects.API
	Members  seam.Members
	// Peer returns a client for the entry VM at a peer address.
	Peer func(address string) peerpb.Peer
	// Seeds are the peer addresses to fetch from while no other member is known.
	Seeds []string
	// StatusContents returns what the zone's status reports besides the
	// configuration version. If it is nil, the status reports the version alone.
	StatusContents func() runtime.ZoneFacts
	// LeaseTiming is the timing of the reader lease; zero means
	// config.DefaultLeaseTiming.
	LeaseTiming config.LeaseTiming
	Scope       tally.Scope
	Log         log.Logger
}

// Syncer keeps the configuration of this entry VM up to date and serves it to
// peers. It implements seam.Configs and is safe for concurrent use.
type Syncer struct {
	config Config
	self   seam.Member
	log    log.Logger
	scope  tally.Scope

	// adoptMu serializes changes of the set, so that snapshots are published in
	// order of version. It guards the fields up to subscribers.
	adoptMu     sync.Mutex
	publishing  bool // sets are compiled and published
	compiled    *compiled
	compiledSet *config.Set
	subscribers []func(*routing.Snapshot)

	set      atomic.Pointer[config.Set]
	snapshot atomic.Pointer[routing.Snapshot]

	lease        guardedLease
	peerVersions peerVersions
	deltaTimeout deltaTimeout
	announce     chan int64
	confirmed    atomic.Int64 // Unix time in nanoseconds of the last confirm
}

var _ seam.Configs = (*Syncer)(nil)

// New returns a Syncer that has no configuration until Run has obtained one.
func New(c Config) (*Syncer, error) {
	switch {
	case c.Platform == nil:
		return nil, errors.New("dynamic: no platform given; set Config.Platform")
	case c.Members == nil:
		return nil, errors.New("dynamic: no members given; set Config.Members")
	case c.Peer == nil:
		return nil, errors.New("dynamic: no peer clients given; set Config.Peer")
	}
	if c.LeaseTiming == (config.LeaseTiming{}) {
		c.LeaseTiming = config.DefaultLeaseTiming
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	self := c.Members.Self()
	s := &Syncer{
		config:   c,
		self:     self,
		log:      log.With(c.Log, "part", "dynamic"),
		scope:    c.Scope.SubScope("config"),
		announce: make(chan int64, 1),
	}
	s.set.Store(new(config.Set))
	s.lease.lease = config.NewLease(self.VM, self.Incarnation, c.LeaseTiming)
	s.peerVersions.init()
	return s, nil
}

// Run obtains a first configuration from peers and the platform, then keeps it
// up to date until ctx ends. It releases the reader lease, if held, at the end.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.fetchLoop(ctx) })
	group.Go(func() error { return s.announceLoop(ctx) })
	group.Go(func() error {
		if err := s.start(ctx); err != nil {
			return err
		}
		inner, innerCtx := errgroup.WithContext(ctx)
		inner.Go(func() error { return s.leaseLoop(innerCtx) })
		inner.Go(func() error { return s.readLoop(innerCtx) })
		inner.Go(func() error { return s.auditLoop(innerCtx) })
		inner.Go(func() error { return s.statusLoop(innerCtx) })
		return inner.Wait()
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "dynamic")
	}
	return nil
}

// Snapshot implements seam.Configs.
func (s *Syncer) Snapshot() *routing.Snapshot { return s.snapshot.Load() }

// Version returns the version of the snapshot in force, or 0 before the first.
func (s *Syncer) Version() int64 {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// Subscribe implements seam.Configs. The function f must return quickly, because
// it delays later versions.
func (s *Syncer) Subscribe(f func(*routing.Snapshot)) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Object returns a stored object of a kind in SyncedKinds, for callers that need
// more than the snapshot contains. The value must not be modified.
func (s *Syncer) Object(kind, name string) (objects.Object, bool) {
	o, ok := s.set.Load().Get(config.ID{Kind: kind, Name: name})
	if !ok {
		return objects.Object{}, false
	}
	return objects.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}, true
}

// Problems returns the stored objects, and parts of objects, that are left out
// of the snapshot.
func (s *Syncer) Problems() []*Problem {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	if s.compiled == nil {
		return nil
	}
	return s.compiled.problems
}

// Leader reports whether this entry VM holds its zone's reader lease, and the
// epoch of the lease, which must be part of everything that the holder writes.
func (s *Syncer) Leader() (epoch int64, leading bool) {
	return s.lease.holding(time.Now())
}

// source is the origin of a configuration, used as a metric tag.
type source string

const (
	sourcePlatform  source = "platform"
	sourceZone      source = "zone"
	sourceOtherZone source = "other_zone"
)

// adopt applies a change to the set and publishes the result, if it differs. A
// change that came from outside the zone is announced to the zone.
func (s *Syncer) adopt(from source, change func(*config.Set) (*config.Set, config.Verdict)) config.Verdict {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	current := s.set.Load()
	next, verdict := change(current)
	s.scope.Tagged(map[string]string{"source": string(from), "verdict": string(verdict)}).Counter("offers").Inc(1)
	if verdict == config.ChecksumMismatch {
		level.Warn(s.log).Log("msg", "configuration from a peer does not match its checksum", "source", from, "version", current.Version())
	}
	if next == current {
		return verdict
	}
	s.set.Store(next)
	s.publish()
	if from != sourceZone {
		s.queueAnnouncement(next.Version())
	}
	return verdict
}

// publish compiles the set and puts the snapshot in force. adoptMu must be held.
func (s *Syncer) publish() {
	set := s.set.Load()
	if !s.publishing || set.Version() == 0 {
		return
	}
	start := time.Now()
	s.compiled = compile(set, s.compiledSet, s.compiled)
	s.compiledSet = set
	s.report(time.Since(start))
	s.snapshot.Store(s.compiled.snapshot)
	for _, f := range s.subscribers {
		f(s.compiled.snapshot)
	}
}

// startPublishing publishes the current set and, from then on, every later one.
// Until it is called, a set fetched from a peer is not put in force, because the
// platform may have a higher version.
func (s *Syncer) startPublishing() {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.publishing = true
	s.publish()
}

func (s *Syncer) report(took time.Duration) {
	set := s.compiledSet
	s.scope.Gauge("version").Update(float64(set.Version()))
	s.scope.Gauge("objects").Update(float64(set.Len()))
	s.scope.Gauge("objects_left_out").Update(float64(len(s.compiled.problems)))
	s.scope.Timer("compile").Record(took)
	level.Info(s.log).Log("msg", "configuration in force", "version", set.Version(), "objects", set.Len(),
		"blocks", s.compiled.snapshot.Blocks.Len(), "leftOut", len(s.compiled.problems), "ms", took.Milliseconds())
	for _, p := range s.compiled.problems {
		level.Warn(s.log).Log("msg", "object left out", "kind", p.Kind, "name", p.Name, "version", p.Version, "detail", p.Detail, "remedy", p.Remedy)
	}
}

// confirm records that the platform or a peer has just answered, or that a peer has
// reported a version that is not lower than the current one.
func (s *Syncer) confirm() { s.confirmed.Store(time.Now().UnixNano()) }

// unconfirmedFor returns the time since the last confirm.
func (s *Syncer) unconfirmedFor() time.Duration {
	return time.Since(time.Unix(0, s.confirmed.Load()))
}

func vmName(vm steering.VM) string { return string(vm) }
