package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

// fullEvery is how many beats pass between two that tell demand and old suspects:
// demand is averaged over seconds anyway.
const fullEvery = 4

// Config holds what a Fleet needs.
type Config struct {
	Self  Member
	Seeds []string // peer addresses of seeds
	Log   log.Logger
	// Own fills in what the next heartbeat says of this VM.
	Own func(*Beat)
	// Suspects returns the facts on suspects to tell; all asks also for those that
	// were told before.
	Suspects func(all bool) []poison.Fact
	// Heard is called for each heartbeat.
	Heard func(Beat)
	// Changed is called when members came or went.
	Changed func()
	// Sent, when set, is told of each heartbeat sent: to whom, as far as that is known
	// here, and how many bytes it has.
	Sent func(to Member, bytes int)
}

// Fleet exchanges heartbeats. It is safe for concurrent use.
type Fleet struct {
	cfg         Config
	conn        net.PacketConn
	incarnation uint32

	mu     sync.Mutex
	roster *Roster
	number uint64
	last   map[steering.VM]bool // live at the last tick
	wake   chan struct{}
	// announcing is set when the next beat has to go to all.
	announcing bool
	inquiry    inquiry
	leaving    bool   // as the last heartbeat told
	crowd      uint32 // as of the last tick
	// size is the number of live VMs as of the last tick, this one included.
	size atomic.Int64
}

// New returns a fleet that listens on conn.
func New(cfg Config, conn net.PacketConn) *Fleet {
	return &Fleet{cfg: cfg, conn: conn, incarnation: rand.Uint32(), roster: NewRoster(cfg.Self),
		last: make(map[steering.VM]bool), wake: make(chan struct{}, 1)}
}

// Run exchanges heartbeats until ctx ends, and then closes the connection.
func (f *Fleet) Run(ctx context.Context) {
	defer f.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = f.conn.SetReadDeadline(time.Unix(1, 0)) }) // ends the reader
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { f.read(ctx) })
	all.Go(func() { f.beatOn(ctx) })
	all.Wait()
}

// Add notes members that were read of.
func (f *Fleet) Add(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.roster.Add(time.Now(), m)
	}
	f.wakeUp()
}

// AskRank returns how many live VMs of this VM's zone, and of its region, ask others
// before it.
func (f *Fleet) AskRank() (zone, region int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.AskRank(time.Now())
}

// Holders returns the live VMs that have a newer configuration than a version.
func (f *Fleet) Holders(above uint64) []Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Holders(time.Now(), above)
}

// Following returns which configuration each other VM on record follows.
func (f *Fleet) Following() []Following {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Following(time.Now())
}

// Announce sends a heartbeat now, since something changed that others need.
func (f *Fleet) Announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcing = true
	f.wakeUp()
}

func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Fleet) beatOn(ctx context.Context) {
	for ctx.Err() == nil {
		f.beat(ctx)
		f.mu.Lock()
		pause := f.roster.Pause()
		f.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wake:
		}
		timer.Stop()
	}
}

func (f *Fleet) beat(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	to := f.roster.Tick(now, f.announcing)
	f.announcing = false
	f.crowd = f.roster.Crowd(now, !f.leaving)
	live := f.roster.Live(now, true)
	f.size.Store(int64(len(live)) + 1)
	alone := len(live) == 0
	b := f.next()
	met, unmet := f.split(to)
	zone := f.zoneNews(now)
	changed := f.noteChanges(live)
	f.mu.Unlock()
	f.own(&b)
	full := b.Number%fullEvery == 1
	b.Suspects = f.cfg.Suspects(full)
	far := zone.spoken(b)
	if !full {
		b.Demand, b.ConfigContent = nil, 0
		far.ConfigContent = 0
	}
	f.sendAll(b, far, met, false)
	b.Meets, far.Meets = true, true
	f.sendAll(b, far, unmet, true)
	b.Meets = false
	if alone {
		b.Asks = true
		for _, seed := range f.cfg.Seeds {
			if seed != f.cfg.Self.Peer {
				f.send(b, seed)
			}
		}
	}
	if changed && ctx.Err() == nil {
		f.cfg.Changed()
	}
}

// noteChanges compares who lives with the last tick.
func (f *Fleet) noteChanges(members []Member) bool {
	live := make(map[steering.VM]bool, len(members))
	changed := false
	for _, m := range members {
		live[m.Name] = true
		if !f.last[m.Name] {
			changed = true
			_ = f.cfg.Log.Log("msg", "entry VM heard", "peer", m.Name, "zone", m.Zone) // the writer counts what it drops
		}
	}
	for name := range f.last {
		if !live[name] {
			changed = true
			_ = f.cfg.Log.Log("msg", "entry VM no longer heard", "peer", name) // as above
		}
	}
	f.last = live
	return changed
}

// Live returns the live members that are not leaving, this VM included.
func (f *Fleet) Live() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Live(time.Now(), false)
}

// Size returns how many VMs lived at the last heartbeat, this VM included.
//
// Each try of a request asks for it, so that it must not list the VMs.
func (f *Fleet) Size() int { return max(int(f.size.Load()), 1) }

// Serving returns the members that take requests.
func (f *Fleet) Serving(selfServes bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Serving(time.Now(), selfServes)
}

// PlaceOf returns where a member is, empty if it is not known.
func (f *Fleet) PlaceOf(name steering.VM) volume.Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.PlaceOf(name)
}

// Standing returns how many VMs there are: those on record that have not left.
func (f *Fleet) Standing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Standing(time.Now())
}

// Known returns the number of members on record.
func (f *Fleet) Known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Known()
}

// Demand returns what the callers of other VMs ask, by region.
func (f *Fleet) Demand() map[steering.Region]placement.DemandOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Demand(time.Now())
}

// ZoneDemand returns what the callers of a zone ask, this VM's own left out.
func (f *Fleet) ZoneDemand(zone steering.Zone) placement.DemandOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ZoneDemand(time.Now(), zone)
}

// ReadRank returns how many live VMs are to read the store before this one: those
// whose reads do not fail, in an order that is the same on all.
func (f *Fleet) ReadRank(fails bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ReadRank(time.Now(), fails)
}

// ReadBegun returns when a live VM that reads before this one last told that it
// reads the store.
func (f *Fleet) ReadBegun() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ReadBegun(time.Now())
}

// DarkZones returns the zones that seem cut off from this VM.
func (f *Fleet) DarkZones() map[steering.Zone]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.DarkZones(time.Now())
}
