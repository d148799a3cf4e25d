package admit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/drain"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// Admit grants the target slots of this entry VM's zone.
type Admit struct {
	cfg     Config
	self    holder
	zone    steering.Zone
	serial  atomic.Uint64
	ticked  atomic.Int64 // UnixNano of the last upkeep
	metrics metrics
	held    *registry
	back    *releaser
	facts   facts
	reach   reach
	owners  owners
	asks    asks

	mu       sync.Mutex
	snapshot *routing.Snapshot
	stops    drain.Set
	hosted   map[poolKey]*hosted
	run      context.Context // ends with Run
	work     sync.WaitGroup
}

// New returns an Admit that follows the configuration from now on; Run does
// its upkeep.
func New(cfg Config) *Admit {
	cfg = cfg.withDefaults()
	self := cfg.Members.Self()
	a := &Admit{
		cfg:     cfg,
		self:    holder{self.VM, self.Incarnation},
		zone:    self.Zone,
		metrics: newMetrics(cfg.Scope),
		held:    newRegistry(),
		hosted:  map[poolKey]*hosted{},
		run:     context.Background(),
	}
	a.back = newReleaser(a)
	a.ticked.Store(time.Now().UnixNano())
	if s := cfg.Configs.Snapshot(); s != nil {
		a.configure(s)
	}
	cfg.Configs.Subscribe(a.configure)
	return a
}

// Run keeps roles, stops and old grants up to date until ctx ends.
func (a *Admit) Run(ctx context.Context) error {
	a.mu.Lock()
	a.run = ctx
	a.mu.Unlock()
	defer a.work.Wait()
	upkeep := time.NewTicker(a.cfg.Upkeep)
	defer upkeep.Stop()
	lastReconcile := time.Now()
	a.upkeep()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-upkeep.C:
		}
		a.upkeep()
		if time.Since(lastReconcile) >= reconcileEvery {
			lastReconcile = time.Now()
			a.probeDown(ctx)
			a.reconcile(ctx)
		}
	}
}

// upkeep brings roles and stops in line with view, snapshot and time.
func (a *Admit) upkeep() {
	a.noticePause()
	a.restop()
	mates := a.mates()
	for _, h := range a.pools() {
		a.follow(h)
		a.greet(h, mates)
		h.tick()
	}
	a.probeSlow()
	a.noticePause() // this very round may have been interrupted
	a.ticked.Store(time.Now().UnixNano())
}

// noticePause takes every pool afresh after this process was paused.
//
// While it was paused, its view went stale and another entry VM may have
// begun to count its pools; granting on would offer targets twice their slots.
// A late upkeep shows the pause, before any request of the paused process is
// granted.
func (a *Admit) noticePause() {
	late := time.Since(time.Unix(0, a.ticked.Load()))
	if late < a.cfg.PauseLimit {
		return
	}
	a.ticked.Store(time.Now().UnixNano())
	a.metrics.pauses.Inc(1)
	for _, h := range a.pools() {
		if r, _ := h.state(); r == roleOwner {
			a.take(h)
		}
	}
}

func (a *Admit) pools() []*hosted {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*hosted, 0, len(a.hosted))
	for _, h := range a.hosted {
		all = append(all, h)
	}
	return all
}

// followUnlessOwner spares the owner a look at the view for each request: the
// next round of upkeep looks anyway.
func (a *Admit) followUnlessOwner(h *hosted) {
	if current, _ := h.state(); current != roleOwner {
		a.follow(h)
	}
}

// follow makes this entry VM's role in a pool what its view says.
func (a *Admit) follow(h *hosted) {
	owner, known := a.lookUpOwner(h.key)
	mine := known && owner.VM == a.self.vm
	current, _ := h.state()
	switch {
	case mine && current == roleOther:
		a.take(h)
	case !mine && current != roleOther:
		a.metrics.handovers.Inc(1)
		h.leave()
		a.tellLeft(h.key, owner)
	}
}

// tellLeft tells a pool's owner that this entry VM counted the pool until now.
//
// An owner that is silent for a moment is passed over, and when it answers again
// it has counted on without knowing what was granted in its place; targets
// would be offered that much beyond their slots. Told, it takes the pool afresh.
func (a *Admit) tellLeft(key poolKey, owner seam.Member) {
	if owner.PeerAddress == "" || owner.VM == a.self.vm {
		return
	}
	a.goWork(func(ctx context.Context) {
		for range releaseTries {
			callCtx, cancel := context.WithTimeout(ctx, a.cfg.PeerTimeout)
			_, err := a.cfg.Peers.To(owner.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{
				Place: string(key.place), Service: string(key.service), FromVm: string(a.self.vm), Left: true,
			})
			cancel()
			if err == nil || !sleep(ctx, settleRetry) {
				return
			}
		}
	})
}

// Owner implements seam.Admitter.
func (a *Admit) Owner(place steering.Place, service steering.Service) (seam.Member, bool) {
	return a.owner(poolKey{place, service})
}

// configure follows a new snapshot.
func (a *Admit) configure(s *routing.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot != nil && s.Version < a.snapshot.Version {
		return
	}
	old := a.snapshot
	a.snapshot = s
	a.stops = drain.Stopped(s, time.Now())
	pools := a.applyConfig()
	for key := range receiving(old, s, pools) {
		a.hosted[key].receive()
	}
}

// restop applies planned stops whose time has come.
func (a *Admit) restop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.stops.Next()
	if next.IsZero() || time.Now().Before(next) {
		return
	}
	a.stops = drain.Stopped(a.snapshot, time.Now())
	a.applyConfig()
}

// applyConfig declares targets to the pools and returns what it declared. The
// caller holds mu.
func (a *Admit) applyConfig() map[poolKey]wanted {
	pools := poolsOf(a.snapshot, a.zone)
	stops := a.stops
	stopped := func(t steering.Target) bool {
		_, is := stops.Target(t)
		return is
	}
	for key, w := range pools {
		if _, ok := a.hosted[key]; !ok {
			a.hosted[key] = newHosted(key, time.Now(), &a.cfg, a.self.vm, &a.metrics, a.newName)
		}
		a.hosted[key].configure(w, stopped)
	}
	for key, h := range a.hosted {
		if _, ok := pools[key]; !ok {
			h.configure(wanted{key: key}, stopped)
		}
	}
	return pools
}

// newName returns a name that no entry VM gives twice.
func (a *Admit) newName() string {
	return fmt.Sprintf("%s/%d", a.self.incarnation, a.serial.Add(1))
}

func (a *Admit) pool(key poolKey) *hosted {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hosted[key]
}

// Pools returns the headroom of the pools that this entry VM counts.
func (a *Admit) Pools() []*peerpb.PoolFact {
	var all []*peerpb.PoolFact
	for _, h := range a.pools() {
		if h.key.isLink() {
			continue
		}
		s, draining, ok := h.stats(nil)
		if !ok {
			continue
		}
		all = append(all, poolFact(h.key, s, draining))
	}
	return all
}

func poolFact(key poolKey, s pool.Stats, draining []pool.Draining) *peerpb.PoolFact {
	fact := &peerpb.PoolFact{
		Place:    string(key.place),
		Service:  string(key.service),
		Free:     int32(s.Free),
		InFlight: int32(s.InFlight),
		Slots:    int32(s.Slots),
		Queued:   int32(s.Queued),
	}
	for _, d := range draining {
		fact.Draining = append(fact.Draining, &peerpb.TargetFact{Target: string(d.Target), InFlight: int32(d.InFlight)})
	}
	return fact
}

// ObservePools takes what other members of the zone say of the pools they
// count.
func (a *Admit) ObservePools(told []*peerpb.PoolFact) {
	for _, fact := range told {
		key := poolKey{steering.Place(fact.Place), steering.Service(fact.Service)}
		age := time.Duration(fact.AgeMs) * time.Millisecond
		a.facts.note(key, int(fact.Free), time.Now().Add(-age))
	}
}

// Headroom implements seam.Admitter.
func (a *Admit) Headroom(place steering.Place, service steering.Service) (free int, age time.Duration) {
	key := poolKey{place, service}
	if h := a.pool(key); h != nil {
		if s, _, ok := h.stats(nil); ok {
			return s.Free, 0
		}
	}
	return a.facts.headroom(key, time.Now())
}

// facts remembers the headroom that others told.
type facts struct {
	mu    sync.Mutex
	known map[poolKey]fact
}

type fact struct {
	free int
	at   time.Time
}

func (f *facts) note(key poolKey, free int, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[poolKey]fact{}
	}
	if f.known[key].at.Before(at) {
		f.known[key] = fact{free, at}
	}
}

// headroom returns no free slots of unbounded age when nothing recent is known.
func (f *facts) headroom(key poolKey, now time.Time) (int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.known[key]
	if !ok || now.Sub(known.at) > factFor {
		return 0, math.MaxInt64
	}
	return known.free, now.Sub(known.at)
}
