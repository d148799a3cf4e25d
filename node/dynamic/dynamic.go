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

// Config holds what a Spread needs.
type Config struct {
	// Platform is the object API, with its call budget.
	Platform objects.API
	Members  seam.Members
	// Peer returns the client of the entry VM at a peer address.
	Peer func(address string) peerpb.Peer
	// Seeds are peer addresses to ask while no member is known.
	Seeds []string
	// Facts returns what the zone's status reports besides the configuration;
	// nil reports the configuration alone.
	Facts func() runtime.ZoneFacts
	// Terms default to config.DefaultTerms.
	Terms config.Terms
	Scope tally.Scope
	Log   log.Logger
}

// Spread keeps the configuration in force on this entry VM and passes it on.
// It implements seam.Configs.
type Spread struct {
	config Config
	self   seam.Member
	log    log.Logger
	scope  tally.Scope

	// adopting serialises changes of the set, so that snapshots are published
	// in order of version.
	adopting    sync.Mutex
	open        bool // snapshots may be published
	compiled    *compiled
	compiledSet *config.Set
	subscribers []func(*routing.Snapshot)

	set      atomic.Pointer[config.Set]
	snapshot atomic.Pointer[routing.Snapshot]

	lease     leaseHolder
	offers    offers
	patience  patience
	announce  chan int64
	confirmed atomic.Int64 // unix nanoseconds of the last word from outside
}

var _ seam.Configs = (*Spread)(nil)

// New returns a Spread with no configuration yet.
func New(c Config) (*Spread, error) {
	switch {
	case c.Platform == nil:
		return nil, errors.New("dynamic: no platform given; set Config.Platform")
	case c.Members == nil:
		return nil, errors.New("dynamic: no members given; set Config.Members")
	case c.Peer == nil:
		return nil, errors.New("dynamic: no peer clients given; set Config.Peer")
	}
	if c.Terms == (config.Terms{}) {
		c.Terms = config.DefaultTerms
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	self := c.Members.Self()
	s := &Spread{
		config:   c,
		self:     self,
		log:      log.With(c.Log, "part", "dynamic"),
		scope:    c.Scope.SubScope("config"),
		announce: make(chan int64, 1),
	}
	s.set.Store(new(config.Set))
	s.lease.lease = config.NewLease(self.VM, self.Incarnation, c.Terms)
	s.offers.init()
	return s, nil
}

// Run starts from peers and platform, then keeps the configuration fresh until
// ctx ends. The reader lease, if held, is given up at the end.
func (s *Spread) Run(ctx context.Context) error {
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
func (s *Spread) Snapshot() *routing.Snapshot { return s.snapshot.Load() }

// Version returns the version in force; 0 before the first.
func (s *Spread) Version() int64 {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// Subscribe implements seam.Configs. f must return soon: it holds up later
// versions.
func (s *Spread) Subscribe(f func(*routing.Snapshot)) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Object returns a stored object of a spread kind, for parts that need more
// than the snapshot carries. Its value must not be changed.
func (s *Spread) Object(kind, name string) (objects.Object, bool) {
	o, ok := s.set.Load().Get(config.ID{Kind: kind, Name: name})
	if !ok {
		return objects.Object{}, false
	}
	return objects.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}, true
}

// Problems returns the stored objects that are left out of the snapshot.
func (s *Spread) Problems() []*Problem {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if s.compiled == nil {
		return nil
	}
	return s.compiled.problems
}

// Leader says whether this entry VM holds its zone's reader lease now, and the
// epoch that must go into what it writes as the holder.
func (s *Spread) Leader() (epoch int64, leading bool) {
	return s.lease.holding(time.Now())
}

// source says where a configuration came from; it tags counters.
type source string

const (
	fromPlatform source = "platform"
	fromZone     source = "zone"
	fromOther    source = "other_zone"
)

// adopt offers a change to the set and publishes what comes of it.
func (s *Spread) adopt(from source, change func(*config.Set) (*config.Set, config.Verdict)) config.Verdict {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	current := s.set.Load()
	next, verdict := change(current)
	s.scope.Tagged(map[string]string{"source": string(from), "verdict": string(verdict)}).Counter("offers").Inc(1)
	if verdict == config.SumMismatch {
		level.Warn(s.log).Log("msg", "configuration offered does not add up; fetching the whole", "source", from, "version", current.Version())
	}
	if next == current {
		return verdict
	}
	s.set.Store(next)
	s.publish()
	if from != fromZone {
		s.tell(next.Version())
	}
	return verdict
}

// publish compiles the set and puts it in force; adopting must be held.
func (s *Spread) publish() {
	set := s.set.Load()
	if !s.open || set.Version() == 0 {
		return
	}
	begun := time.Now()
	s.compiled = compile(set, s.compiledSet, s.compiled)
	s.compiledSet = set
	s.report(time.Since(begun))
	s.snapshot.Store(s.compiled.snapshot)
	for _, f := range s.subscribers {
		f(s.compiled.snapshot)
	}
}

// openUp lets snapshots be published from now on.
func (s *Spread) openUp() {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	s.open = true
	s.publish()
}

func (s *Spread) report(took time.Duration) {
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

// confirm notes that something outside this process vouched for the version.
func (s *Spread) confirm() { s.confirmed.Store(time.Now().UnixNano()) }

// unconfirmedFor returns how long nothing outside vouched for the version.
func (s *Spread) unconfirmedFor() time.Duration {
	return time.Since(time.Unix(0, s.confirmed.Load()))
}

func vmName(vm steering.VM) string { return string(vm) }
