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

// fullBeatEvery is the number of heartbeats of which one reports demand and repeats facts on
// suspects. That is often enough for demand, which is averaged over seconds.
const fullBeatEvery = 4

// Config configures a Fleet.
type Config struct {
	Self  Member
	Seeds []string // peer addresses of the seeds
	Log   log.Logger
	// FillBeat sets the fields of the next heartbeat that describe this VM.
	FillBeat func(*Beat)
	// Suspects returns the facts on suspects to send; with all set also those that were sent
	// before.
	Suspects func(all bool) []poison.Fact
	// HandleBeat is called for each heartbeat received.
	HandleBeat func(Beat)
	// OnMembersChange is called when members became live or are no longer.
	OnMembersChange func()
	// OnSend, if set, is called for each datagram sent with the receiver, of which only the
	// address may be known, and the number of bytes.
	OnSend func(to Member, bytes int)
}

// Fleet exchanges heartbeats. It is safe for concurrent use.
type Fleet struct {
	cfg         Config
	conn        net.PacketConn
	incarnation uint32

	mu         sync.Mutex
	roster     *Roster
	beatNumber uint64
	lastLive   map[steering.VM]bool // live at the last tick
	wake       chan struct{}
	// announcing is set if the next heartbeat must go to all live members.
	announcing   bool
	queryBackoff queryBackoff
	leaving      bool   // as in the last heartbeat
	liveSetHash  uint32 // as of the last tick
	// size is the number of live VMs as of the last tick, this VM included.
	size atomic.Int64
}

// New returns a fleet that sends and receives on conn. Run starts it.
func New(cfg Config, conn net.PacketConn) *Fleet {
	return &Fleet{cfg: cfg, conn: conn, incarnation: rand.Uint32(), roster: NewRoster(cfg.Self),
		lastLive: make(map[steering.VM]bool), wake: make(chan struct{}, 1)}
}

// Run exchanges heartbeats until ctx is done, and then closes the connection.
func (f *Fleet) Run(ctx context.Context) {
	defer f.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = f.conn.SetReadDeadline(time.Unix(1, 0)) }) // unblocks receiveLoop
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { f.receiveLoop(ctx) })
	all.Go(func() { f.sendLoop(ctx) })
	all.Wait()
}

// Add adds members whose records were read from the store.
func (f *Fleet) Add(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.roster.Add(time.Now(), m)
	}
	f.wakeSender()
}

// RequestRank returns how many live VMs of this VM's zone, and of its region, rank before this VM
// in requesting data from peers.
func (f *Fleet) RequestRank() (zone, region int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.RequestRank(time.Now())
}

// ConfigHolders returns the live VMs whose configuration is newer than the version above.
func (f *Fleet) ConfigHolders(above uint64) []ConfigHolder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ConfigHolders(time.Now(), above)
}

// ConfigStatus returns which configuration each other VM on record uses.
func (f *Fleet) ConfigStatus() []ConfigStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ConfigStatus(time.Now())
}

// Announce sends a heartbeat to all live members without waiting for the next interval, because
// something changed that they need.
func (f *Fleet) Announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcing = true
	f.wakeSender()
}

func (f *Fleet) wakeSender() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Fleet) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendBeats(ctx)
		f.mu.Lock()
		pause := f.roster.Interval()
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

func (f *Fleet) sendBeats(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	to := f.roster.Tick(now, f.announcing)
	f.announcing = false
	f.liveSetHash = f.roster.LiveSetHash(now, !f.leaving)
	live := f.roster.Live(now, true)
	f.size.Store(int64(len(live)) + 1)
	alone := len(live) == 0
	b := f.nextBeat()
	contacted, uncontacted := f.splitByContact(to)
	zone := f.zoneReport(now)
	changed := f.noteChanges(live)
	f.mu.Unlock()
	f.fillBeat(&b)
	full := b.Number%fullBeatEvery == 1
	b.Suspects = f.cfg.Suspects(full)
	far := zone.beatFor(b)
	if !full {
		b.Demand, b.ConfigContent = nil, 0
		far.ConfigContent = 0
	}
	f.sendAll(b, far, contacted, false)
	b.WantsReply, far.WantsReply = true, true
	f.sendAll(b, far, uncontacted, true)
	b.WantsReply = false
	if alone {
		b.WantsMembers = true
		for _, seed := range f.cfg.Seeds {
			if seed != f.cfg.Self.Peer {
				f.send(b, seed)
			}
		}
	}
	if changed && ctx.Err() == nil {
		f.cfg.OnMembersChange()
	}
}

// noteChanges logs which members became live or are no longer since the last tick, and reports
// whether there were any.
func (f *Fleet) noteChanges(members []Member) bool {
	live := make(map[steering.VM]bool, len(members))
	changed := false
	for _, m := range members {
		live[m.Name] = true
		if !f.lastLive[m.Name] {
			changed = true
			_ = f.cfg.Log.Log("msg", "entry VM heard", "peer", m.Name, "zone", m.Zone) // the log writer counts the lines that it drops
		}
	}
	for name := range f.lastLive {
		if !live[name] {
			changed = true
			_ = f.cfg.Log.Log("msg", "entry VM no longer heard", "peer", name) // as above
		}
	}
	f.lastLive = live
	return changed
}

// Live returns the live members that are not leaving, this VM included.
func (f *Fleet) Live() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Live(time.Now(), false)
}

// LiveCount returns the number of VMs that were live at the last tick, this VM included. It is
// called for each try of a request, so it must not list the VMs.
func (f *Fleet) LiveCount() int { return max(int(f.size.Load()), 1) }

// Serving returns the members that take requests. selfServes says whether this VM does.
func (f *Fleet) Serving(selfServes bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Serving(time.Now(), selfServes)
}

// LocationOf returns the location of a member, or the zero value if it is not known.
func (f *Fleet) LocationOf(name steering.VM) volume.Location {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.LocationOf(name)
}

// MemberCount returns the number of VMs on record that have not left, this VM included.
func (f *Fleet) MemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.MemberCount(time.Now())
}

// RecordCount returns the number of members on record, this VM included.
func (f *Fleet) RecordCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.RecordCount()
}

// Demand returns the demand of the callers of all other VMs, by region.
func (f *Fleet) Demand() map[steering.Region]placement.DemandOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Demand(time.Now())
}

// ZoneDemand returns the demand of the callers of a zone without those of this VM.
func (f *Fleet) ZoneDemand(zone steering.Zone) placement.DemandOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ZoneDemand(time.Now(), zone)
}

// ReadRank returns how many live VMs read the store before this one: those whose reads do not fail
// come first, in an order that is the same on all VMs. fails says whether this VM's reads fail.
func (f *Fleet) ReadRank(fails bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ReadRank(time.Now(), fails)
}

// LastReadStart returns when a live VM that reads before this one last reported the start of a
// read of the store.
func (f *Fleet) LastReadStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.LastReadStart(time.Now())
}

// UnreachableZones returns the zones that seem to be unreachable from this VM.
func (f *Fleet) UnreachableZones() map[steering.Zone]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.UnreachableZones(time.Now())
}
