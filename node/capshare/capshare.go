package capshare

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/caps"
	"heatherlock/steering/routing"
)

// checkInterval is how often the seats are checked in addition to the check at every new snapshot,
// because members join and leave without one.
const checkInterval = time.Second

// Caps holds this entry VM's permits. It implements seam.CapLimiter.
type Caps struct {
	config     Config
	self       seam.Member
	metrics    metrics
	vms        vmList
	usagePolls usagePolls

	// capTable is the table that Admit reads. It is replaced as a whole.
	capTable atomic.Pointer[routeTable]

	mu    sync.Mutex
	byCap map[string]*share
	// startLoops starts the loops of a share and startTask a short background task. Both are nil
	// unless Run is running.
	startLoops func(*share)
	startTask  func(func(context.Context))
}

var _ seam.CapLimiter = (*Caps)(nil)

// New returns a Caps that holds no permits.
func New(c Config) (*Caps, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	k := &Caps{
		config:  c,
		self:    c.Members.Self(),
		metrics: newMetrics(c.Scope),
		byCap:   map[string]*share{},
	}
	k.vms.firstSeen = map[seatKey]time.Time{}
	k.usagePolls.latest = map[string]*usagePoll{}
	k.capTable.Store(&routeTable{})
	if s := c.Configs.Snapshot(); s != nil {
		k.onSnapshot(s)
	}
	c.Configs.Subscribe(k.onSnapshot)
	return k, nil
}

// Run maintains the seats until ctx ends.
func (k *Caps) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	start := func(s *share) {
		inner, stop := context.WithCancel(ctx)
		s.stop = stop
		group.Go(func() error { k.borrowLoop(inner, s); return nil })
		group.Go(func() error { k.seatLoop(inner, s); return nil })
	}
	group.Go(func() error {
		<-ctx.Done()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.startLoops, k.startTask = nil, nil
		return ctx.Err()
	})
	k.mu.Lock()
	k.startLoops = start
	k.startTask = func(work func(context.Context)) {
		group.Go(func() error { work(ctx); return nil })
	}
	for _, s := range k.byCap {
		start(s)
	}
	k.mu.Unlock()
	return group.Wait()
}

// runInBackground starts a short task under Run and reports whether it did. It returns false if
// Run is not running.
func (k *Caps) runInBackground(work func(context.Context)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.startTask == nil {
		return false
	}
	k.startTask(work)
	return true
}

// onSnapshot applies the caps of a snapshot immediately. The platform is called later, by each
// share's loop.
func (k *Caps) onSnapshot(s *routing.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	names := capNames(s)
	for name, sh := range k.byCap {
		if !slices.Contains(names, name) {
			sh.stop()
			delete(k.byCap, name)
		}
	}
	for _, name := range names {
		if sh := k.shareOf(s, name, now); sh != nil {
			sh.applySnapshot(now, s)
			sh.requestCheck()
		}
	}
	k.capTable.Store(newRouteTable(s, k.byCap, k.self.Zone))
}

// capNames returns the sorted names of the caps of a snapshot, including deleted caps that still
// have seats.
func capNames(s *routing.Snapshot) []string {
	var names []string
	for name := range s.Caps {
		names = append(names, name)
	}
	for name := range s.Seats {
		if s.Caps[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// shareOf returns the share of a cap. It creates one if this entry VM takes part in the cap or
// has a seat from earlier, and returns nil otherwise.
func (k *Caps) shareOf(s *routing.Snapshot, name string, now time.Time) *share {
	if sh := k.byCap[name]; sh != nil {
		return sh
	}
	if !slices.Contains(receivingZones(s, name), k.self.Zone) && !hasSeat(s.Seats[name], k.self.VM) {
		return nil
	}
	sh := newShare(name, k.self, ruleOf(s, name), now)
	sh.applySnapshot(now, s)
	k.byCap[name] = sh
	if k.startLoops != nil {
		k.startLoops(sh)
	}
	return sh
}

func hasSeat(seats *routing.CapSeats, vm steering.VM) bool {
	return seats != nil && slices.ContainsFunc(seats.Seats, func(s routing.CapSeat) bool { return s.VM == vm })
}

// ruleOf returns the version of a cap that a snapshot puts into force. A deleted cap has no
// permits from that version on.
func ruleOf(s *routing.Snapshot, name string) caps.Rule {
	c := s.Caps[name]
	if c == nil {
		return caps.Rule{Version: s.Version, Window: deletedCapWindow}
	}
	return caps.Rule{Version: c.Version, Requests: c.Requests, Window: c.Window}
}

// deletedCapWindow is the window of a deleted cap. Nothing is admitted under it.
const deletedCapWindow = 100 * time.Millisecond

// receivingZones returns the zones of the places that a cap's shift moves requests to.
func receivingZones(s *routing.Snapshot, name string) []steering.Zone {
	c := s.Caps[name]
	if c == nil || s.Shifts[c.Shift] == nil {
		return nil
	}
	var zones []steering.Zone
	for _, to := range s.Shifts[c.Shift].To {
		if place := s.Places[to]; place != nil && !slices.Contains(zones, place.Zone) {
			zones = append(zones, place.Zone)
		}
	}
	return zones
}

// share returns the share of a cap, or nil if there is none.
func (k *Caps) share(name string) *share {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byCap[name]
}

// Usage is the number of permits of a cap that this entry VM holds and uses.
type Usage struct {
	Own   int // permits of the own seat
	InUse int // own and borrowed permits in use
	Free  int
}

// Usage returns this entry VM's usage of a cap. It returns false if this entry VM has no share of
// the cap.
func (k *Caps) Usage(name string) (Usage, bool) {
	sh := k.share(name)
	if sh == nil {
		return Usage{}, false
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return Usage{Own: sh.holder.Own(), InUse: sh.holder.InUse(now), Free: sh.holder.Free(now)}, true
}

// Refused returns the number of requests that this entry VM has refused because of a cap.
func (k *Caps) Refused(name string) int64 {
	if sh := k.share(name); sh != nil {
		return sh.refused.Load()
	}
	return 0
}
