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

// stepEvery is how often seats are looked at besides every new snapshot:
// members come and go without one.
const stepEvery = time.Second

// Caps holds this entry VM's permits. It implements seam.CapLimiter.
type Caps struct {
	config  Config
	self    seam.Member
	metrics metrics
	vms     vmList
	surveys surveys

	// bound is what Admit reads; it is replaced whole.
	bound atomic.Pointer[boundTable]

	mu    sync.Mutex
	byCap map[string]*share
	// running starts the loops of a share, spawn a short piece of work; both are
	// nil unless Run runs.
	running func(*share)
	spawn   func(func(context.Context))
}

var _ seam.CapLimiter = (*Caps)(nil)

// New returns a Caps without permits.
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
	k.surveys.known = map[string]*survey{}
	k.bound.Store(&boundTable{})
	if s := c.Configs.Snapshot(); s != nil {
		k.onSnapshot(s)
	}
	c.Configs.Subscribe(k.onSnapshot)
	return k, nil
}

// Run keeps the seats until ctx ends.
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
		k.running, k.spawn = nil, nil
		return ctx.Err()
	})
	k.mu.Lock()
	k.running = start
	k.spawn = func(work func(context.Context)) {
		group.Go(func() error { work(ctx); return nil })
	}
	for _, s := range k.byCap {
		start(s)
	}
	k.mu.Unlock()
	return group.Wait()
}

// background runs a short piece of work beside Run, and reports whether it does.
func (k *Caps) background(work func(context.Context)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spawn == nil {
		return false
	}
	k.spawn(work)
	return true
}

// onSnapshot puts the caps of a snapshot into force at once; the platform is
// called later, by each share's loop.
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
			sh.follow(now, s)
			sh.wake()
		}
	}
	k.bound.Store(newBoundTable(s, k.byCap, k.self.Zone))
}

// capNames lists the caps of a snapshot, with those that only their seats
// remind of.
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

// shareOf returns the share of a cap in which this entry VM takes part, or did.
func (k *Caps) shareOf(s *routing.Snapshot, name string, now time.Time) *share {
	if sh := k.byCap[name]; sh != nil {
		return sh
	}
	if !slices.Contains(receivingZones(s, name), k.self.Zone) && !hasSeat(s.Seats[name], k.self.VM) {
		return nil
	}
	sh := newShare(name, k.self, ruleOf(s, name), now)
	sh.follow(now, s)
	k.byCap[name] = sh
	if k.running != nil {
		k.running(sh)
	}
	return sh
}

func hasSeat(seats *routing.CapSeats, vm steering.VM) bool {
	return seats != nil && slices.ContainsFunc(seats.Seats, func(s routing.CapSeat) bool { return s.VM == vm })
}

// ruleOf returns the version of a cap that a snapshot puts into force. A cap
// that was deleted has no permits from that version on.
func ruleOf(s *routing.Snapshot, name string) caps.Rule {
	c := s.Caps[name]
	if c == nil {
		return caps.Rule{Version: s.Version, Window: minWindow}
	}
	return caps.Rule{Version: c.Version, Requests: c.Requests, Window: c.Window}
}

// minWindow stands for the window of a deleted cap; nothing is admitted by it.
const minWindow = 100 * time.Millisecond

// receivingZones lists the zones of the places that a cap's shift moves work to.
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

// share returns the share of a cap, nil when there is none.
func (k *Caps) share(name string) *share {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byCap[name]
}

// Use is what this entry VM holds of a cap.
type Use struct {
	Own   int // permits of the own seat
	InUse int // own and borrowed permits that are taken
	Free  int
}

// Use returns what this entry VM holds of a cap.
func (k *Caps) Use(name string) (Use, bool) {
	sh := k.share(name)
	if sh == nil {
		return Use{}, false
	}
	now := time.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return Use{Own: sh.holder.Own(), InUse: sh.holder.InUse(now), Free: sh.holder.Free(now)}, true
}

// Refused returns how many requests a cap refused here so far.
func (k *Caps) Refused(name string) int64 {
	if sh := k.share(name); sh != nil {
		return sh.refused.Load()
	}
	return 0
}
