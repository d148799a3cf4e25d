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

// Controller grants the target slots of this entry VM's zone. It is safe for
// concurrent use.
type Controller struct {
	cfg           Config
	self          holder
	zone          steering.Zone
	serial        atomic.Uint64
	lastUpkeep    atomic.Int64 // UnixNano of the last upkeep round
	metrics       metrics
	held          *heldGrants
	releases      *releaser
	headroomCache headroomCache
	reachability  reachability
	ownerCache    ownerCache
	acquireCalls  acquireCalls

	mu           sync.Mutex
	snapshot     *routing.Snapshot
	plannedStops drain.Set
	poolState    map[poolKey]*poolState
	runCtx       context.Context // context of Run; parent of background work
	work         sync.WaitGroup
}

// New returns a Controller that applies every configuration snapshot from now on.
// Run has to be called for its periodic upkeep.
func New(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	self := cfg.Members.Self()
	a := &Controller{
		cfg:       cfg,
		self:      holder{self.VM, self.Incarnation},
		zone:      self.Zone,
		metrics:   newMetrics(cfg.Scope),
		held:      newHeldGrants(),
		poolState: map[poolKey]*poolState{},
		runCtx:    context.Background(),
	}
	a.releases = newReleaser(a)
	a.lastUpkeep.Store(time.Now().UnixNano())
	if s := cfg.Configs.Snapshot(); s != nil {
		a.configure(s)
	}
	cfg.Configs.Subscribe(a.configure)
	return a
}

// Run updates pool ownership, applies planned stops and reconciles old grants
// until ctx ends. It waits for background work before it returns.
func (a *Controller) Run(ctx context.Context) error {
	a.mu.Lock()
	a.runCtx = ctx
	a.mu.Unlock()
	defer a.work.Wait()
	upkeep := time.NewTicker(a.cfg.UpkeepInterval)
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
		if time.Since(lastReconcile) >= reconcileInterval {
			lastReconcile = time.Now()
			a.probeUnreachable(ctx)
			a.reconcile(ctx)
		}
	}
}

// upkeep updates roles from the membership view and applies planned stops that
// are due. It runs every Config.UpkeepInterval.
func (a *Controller) upkeep() {
	a.detectPause()
	a.applyDueStops()
	zonePeers := a.zonePeers()
	for _, p := range a.pools() {
		a.updateRole(p)
		a.surveyNewMembers(p, zonePeers)
		p.tick()
	}
	a.probeSlowOwners()
	a.detectPause() // the process may have been paused during this round
	a.lastUpkeep.Store(time.Now().UnixNano())
}

// detectPause repeats the takeover of every owned pool after this process was
// paused.
//
// During the pause, the membership view went stale and another entry VM may have
// become the owner of its pools; granting more slots would offer targets twice
// their slots. The pause shows as an upkeep round that is late by
// Config.PauseLimit. Requests are granted only after this check, so the process
// grants none on stale state.
func (a *Controller) detectPause() {
	late := time.Since(time.Unix(0, a.lastUpkeep.Load()))
	if late < a.cfg.PauseLimit {
		return
	}
	a.lastUpkeep.Store(time.Now().UnixNano())
	a.metrics.pauses.Inc(1)
	for _, p := range a.pools() {
		if r, _ := p.state(); r == roleOwner {
			a.takeOver(p)
		}
	}
}

func (a *Controller) pools() []*poolState {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*poolState, 0, len(a.poolState))
	for _, p := range a.poolState {
		all = append(all, p)
	}
	return all
}

// updateRoleUnlessOwner updates the role in a pool that this entry VM doesn't
// own. An owner skips the membership check that every request would cost: the
// next upkeep round does it anyway.
func (a *Controller) updateRoleUnlessOwner(p *poolState) {
	if current, _ := p.state(); current != roleOwner {
		a.updateRole(p)
	}
}

// updateRole takes over a pool or hands it over if the membership view names
// another owner than before.
func (a *Controller) updateRole(p *poolState) {
	owner, known := a.lookUpOwner(p.key)
	mine := known && owner.VM == a.self.vm
	current, _ := p.state()
	switch {
	case mine && current == roleNotOwner:
		a.takeOver(p)
	case !mine && current != roleNotOwner:
		a.metrics.handovers.Inc(1)
		p.relinquish()
		a.notifyHandover(p.key, owner)
	}
}

// notifyHandover notifies the owner of a pool that this entry VM granted the
// pool's slots until now.
//
// An owner that doesn't respond for a moment is skipped. When it responds again,
// it still acts as the owner and doesn't know what the interim owner granted;
// it would offer targets that much work beyond their slots. After the
// notification it repeats the takeover of the pool.
func (a *Controller) notifyHandover(key poolKey, owner seam.Member) {
	if owner.PeerAddress == "" || owner.VM == a.self.vm {
		return
	}
	a.runInBackground(func(ctx context.Context) {
		for range maxReleaseAttempts {
			callCtx, cancel := context.WithTimeout(ctx, a.cfg.PeerTimeout)
			_, err := a.cfg.Peers.To(owner.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{
				Place: string(key.place), Service: string(key.service), FromVm: string(a.self.vm), Left: true,
			})
			cancel()
			if err == nil || !sleep(ctx, retryInterval) {
				return
			}
		}
	})
}

// Owner implements seam.Admitter.
func (a *Controller) Owner(place steering.Place, service steering.Service) (seam.Member, bool) {
	return a.owner(poolKey{place, service})
}

// configure applies a new snapshot. It ignores one that is older than the
// current one.
func (a *Controller) configure(s *routing.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot != nil && s.Version < a.snapshot.Version {
		return
	}
	old := a.snapshot
	a.snapshot = s
	a.plannedStops = drain.Stopped(s, time.Now())
	pools := a.applyConfig()
	for key := range poolsReceivingShifts(old, s, pools) {
		a.poolState[key].startPlaceRamp()
	}
}

// applyDueStops applies planned stops whose start time has passed.
func (a *Controller) applyDueStops() {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.plannedStops.Next()
	if next.IsZero() || time.Now().Before(next) {
		return
	}
	a.plannedStops = drain.Stopped(a.snapshot, time.Now())
	a.applyConfig()
}

// applyConfig passes the configured targets to the pools and returns the
// configuration of each pool. The caller holds mu.
func (a *Controller) applyConfig() map[poolKey]poolConfig {
	pools := poolsOf(a.snapshot, a.zone)
	plannedStops := a.plannedStops
	stopped := func(t steering.Target) bool {
		_, is := plannedStops.Target(t)
		return is
	}
	for key, w := range pools {
		if _, ok := a.poolState[key]; !ok {
			a.poolState[key] = newPoolState(key, time.Now(), &a.cfg, a.self.vm, &a.metrics, a.newGrantName)
		}
		a.poolState[key].configure(w, stopped)
	}
	for key, p := range a.poolState {
		if _, ok := pools[key]; !ok {
			p.configure(poolConfig{key: key}, stopped)
		}
	}
	return pools
}

// newGrantName returns a grant name that is unique across entry VMs and process
// restarts.
func (a *Controller) newGrantName() string {
	return fmt.Sprintf("%s/%d", a.self.incarnation, a.serial.Add(1))
}

func (a *Controller) pool(key poolKey) *poolState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.poolState[key]
}

// Pools returns the headroom of the pools that this entry VM owns.
func (a *Controller) Pools() []*peerpb.PoolFact {
	var all []*peerpb.PoolFact
	for _, p := range a.pools() {
		if p.key.isLink() {
			continue
		}
		s, draining, ok := p.stats(nil)
		if !ok {
			continue
		}
		all = append(all, poolFact(p.key, s, draining))
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
		Declared: int32(s.Declared),
	}
	for _, d := range draining {
		fact.Draining = append(fact.Draining, &peerpb.TargetFact{Target: string(d.Target), InFlight: int32(d.InFlight)})
	}
	return fact
}

// ObservePools records the headroom that other members of the zone report for
// the pools they own.
func (a *Controller) ObservePools(reported []*peerpb.PoolFact) {
	for _, fact := range reported {
		key := poolKey{steering.Place(fact.Place), steering.Service(fact.Service)}
		age := time.Duration(fact.AgeMs) * time.Millisecond
		a.headroomCache.put(key, int(fact.Free), time.Now().Add(-age))
	}
}

// Headroom implements seam.Admitter.
func (a *Controller) Headroom(place steering.Place, service steering.Service) (free int, age time.Duration) {
	key := poolKey{place, service}
	if p := a.pool(key); p != nil {
		if s, _, ok := p.stats(nil); ok {
			return s.Free, 0
		}
	}
	return a.headroomCache.get(key, time.Now())
}

// headroomCache holds the headroom that other entry VMs reported for their pools.
type headroomCache struct {
	mu    sync.Mutex
	known map[poolKey]headroomReport
}

type headroomReport struct {
	free int
	at   time.Time
}

func (f *headroomCache) put(key poolKey, free int, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[poolKey]headroomReport{}
	}
	if f.known[key].at.Before(at) {
		f.known[key] = headroomReport{free, at}
	}
}

// get returns the reported free slots and the age of the report. If there is no
// report within headroomTTL, it returns zero slots and the maximum age.
func (f *headroomCache) get(key poolKey, now time.Time) (int, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.known[key]
	if !ok || now.Sub(known.at) > headroomTTL {
		return 0, math.MaxInt64
	}
	return known.free, now.Sub(known.at)
}
