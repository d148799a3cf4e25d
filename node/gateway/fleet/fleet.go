package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
	"heatherlock/steering/presence"
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
	// Incarnation distinguishes this process from earlier ones; 0 draws one at random.
	Incarnation uint32
	// RequestPeers, if set, returns the VMs for which this one has requests, and those that have requests for it.
	// While it leaves, it sends them heartbeats itself, since its zone does not list it any more.
	RequestPeers func() []steering.VM
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// OnSend, if set, is called for each datagram sent with the receiver, of which only the
	// address may be known, and the number of bytes.
	OnSend func(to Member, bytes int)
}

// Fleet exchanges heartbeats. It is safe for concurrent use.
type Fleet struct {
	cfg         Config
	conn        net.PacketConn
	incarnation uint32

	mu         lock.Mutex
	roster     *Roster
	beatNumber uint64
	wake       chan struct{}
	// announcing is set if the next heartbeat must go to all live members.
	announcing   bool
	queryBackoff queryBackoff
	leaving      bool   // as in the last heartbeat
	liveSetHash  uint32 // as of the last tick
	startedAt    time.Time
	// introductions is how many more VMs may be introduced to others until the next tick.
	introductions int
	// size is the number of live VMs as of the last tick, this VM included.
	size atomic.Int64
	// answering is the same with the VMs that leave.
	answering atomic.Int64
}

// New returns a fleet that sends and receives on conn. Run starts it.
func New(cfg Config, conn net.PacketConn) *Fleet {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = rand.Uint32()
	}
	return &Fleet{cfg: cfg, conn: conn, incarnation: cfg.Incarnation, roster: NewRoster(cfg.Self), wake: make(chan struct{}, 1), startedAt: cfg.Clock()}
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
		f.roster.Add(f.cfg.Clock(), m)
	}
	f.wakeSender()
}

// RequestRank returns how many live VMs of this VM's zone, and of its region, rank before this VM
// in requesting data from peers.
func (f *Fleet) RequestRank() (zone, region int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.RequestRank(f.cfg.Clock())
}

// StartView returns what this VM knows of the others at its start, but for RecordsKnown.
func (f *Fleet) StartView() feed.StartView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.startView(f.cfg.Clock())
}

// ConfigHolders returns the live VMs whose configuration is newer than the version above.
func (f *Fleet) ConfigHolders(above uint64) []ConfigHolder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ConfigHolders(f.cfg.Clock(), above)
}

// ConfigStatus returns which configuration each other VM on record uses.
func (f *Fleet) ConfigStatus() []ConfigStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ConfigStatus(f.cfg.Clock())
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
		changed, pause := f.Tick()
		if changed && ctx.Err() == nil {
			f.cfg.OnMembersChange()
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.wake:
		}
		timer.Stop()
	}
}

// Tick sends the heartbeats that are due. It returns whether the set of live VMs has changed since
// the last call, and the time until the next one.
func (f *Fleet) Tick() (changed bool, pause time.Duration) {
	now := f.cfg.Clock()
	f.mu.Lock()
	to := f.roster.Tick(now, f.announcing)
	f.announcing = false
	changes := f.roster.Scan(now)
	f.liveSetHash = f.roster.fullSetHash(!f.leaving)
	f.size.Store(int64(changes.Live) + 1)
	f.answering.Store(int64(changes.Live+changes.Leaving) + 1)
	f.introductions = maxIntroductions
	askSeeds := changes.Live == 0 && now.Sub(f.startedAt) >= seedDelay
	b := f.nextBeat()
	f.mu.Unlock()
	f.logChanges(changes)
	f.fillBeat(&b)
	full := b.Number%fullBeatEvery == 1
	b.Suspects = f.cfg.Suspects(full)
	f.sendAll(f.formsOf(now, b, full, to))
	if b.Leaving {
		f.sendToWaiting(b, to)
	}
	if askSeeds {
		f.askSeeds(b)
	}
	return len(changes.Heard)+len(changes.Lost)+len(changes.Ended) > 0, f.Interval()
}

// sendToWaiting sends a heartbeat that says nothing of other VMs to those that wait for responses of this one,
// but for those that were sent one already.
func (f *Fleet) sendToWaiting(b Beat, sent []Member) {
	if f.cfg.RequestPeers == nil {
		return
	}
	b.Suspects = nil
	for _, name := range f.cfg.RequestPeers() {
		if slices.ContainsFunc(sent, func(m Member) bool { return m.Name == name }) {
			continue
		}
		if address := f.peerAddress(name); address != "" {
			f.send(b, address)
		}
	}
}

// peerAddress returns the address for heartbeats of a member, or "" if it is not known.
func (f *Fleet) peerAddress(name steering.VM) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.roster.members[name]; h != nil {
		return h.Peer
	}
	return ""
}

// Interval returns the time between two ticks.
func (f *Fleet) Interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Interval()
}

// seedDelay is how long a VM that starts waits for the records of the others before it asks the
// seeds for them. If each VM of a fleet that starts asked at once, the seeds would do little else.
const seedDelay = 250 * time.Millisecond

// askSeeds asks the seeds for all members.
func (f *Fleet) askSeeds(b Beat) {
	b.WantsMembers, b.Mates = true, nil
	for _, seed := range f.cfg.Seeds {
		if seed != f.cfg.Self.Peer {
			f.send(b, seed)
		}
	}
}

// maxLoggedChanges is how many VMs are named in the log when many become live, or are no longer, at
// the same time.
const maxLoggedChanges = 4

// logChanges logs which VMs became live or are no longer.
func (f *Fleet) logChanges(c Changes) {
	f.logNames("entry VM heard", c.Heard)
	f.logNames("entry VM no longer heard", c.Lost)
	f.logNames("entry VM that left is no longer heard", c.Ended)
}

func (f *Fleet) logNames(msg string, names []steering.VM) {
	for _, name := range names[:min(len(names), maxLoggedChanges)] {
		_ = f.cfg.Log.Log("msg", msg, "peer", name, "zone", f.LocationOf(name).Zone, "of", len(names)) // the log writer counts the lines that it drops
	}
}

// Process returns what is known of the process of another VM.
func (f *Fleet) Process(name steering.VM) presence.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Process(f.cfg.Clock(), name)
}

// Live returns the live members that are not leaving, this VM included. Members that leave still answer the
// requests that they have; see Process.
func (f *Fleet) Live() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Live(f.cfg.Clock(), false)
}

// ReadOrder returns the live VMs that are not leaving in the order in which VMs read the store.
func (f *Fleet) ReadOrder(selfLeaves bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ReadOrder(f.cfg.Clock(), selfLeaves)
}

// Left returns the VMs that announced that they leave and are no longer live.
func (f *Fleet) Left() map[steering.VM]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Left(f.cfg.Clock())
}

// LiveCount returns the number of VMs that were live at the last tick, this VM included. It is
// called for each try of a request, so it must not list the VMs.
func (f *Fleet) LiveCount() int { return max(int(f.size.Load()), 1) }

// AnsweringCount returns the number of VMs that were live or leaving at the last tick, this VM included.
// All of these use connections to targets. It is called for each try of a request.
func (f *Fleet) AnsweringCount() int { return max(int(f.answering.Load()), 1) }

// Serving returns the members that take requests. selfServes says whether this VM does.
func (f *Fleet) Serving(selfServes bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Serving(f.cfg.Clock(), selfServes)
}

// ServingIn returns the members of a zone that take requests. selfServes says whether this VM does.
func (f *Fleet) ServingIn(zone steering.Zone, selfServes bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ServingIn(f.cfg.Clock(), zone, selfServes)
}

// LeavingIn returns the number of other members of a zone that are heard and leave.
func (f *Fleet) LeavingIn(zone steering.Zone) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.LeavingIn(f.cfg.Clock(), zone)
}

// WithoutCutOff returns the members that are not known to be cut off from all targets. selfCutOff says
// whether this VM is.
func (f *Fleet) WithoutCutOff(all []Member, selfCutOff bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.WithoutCutOff(all, selfCutOff)
}

// Standby reports whether this VM exchanges heartbeats with delegates of its zone only.
func (f *Fleet) Standby() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.standby
}

// IsLive reports whether a member is live and not leaving.
func (f *Fleet) IsLive(name steering.VM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.roster.members[name]
	return h != nil && f.roster.live(f.cfg.Clock(), h) && !h.leaving
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
	return f.roster.MemberCount(f.cfg.Clock())
}

// AgreeingShare estimates the share of the live VMs that see the same set of live VMs as this one.
func (f *Fleet) AgreeingShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.AgreeingShare(f.cfg.Clock())
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
	return f.roster.Demand(f.cfg.Clock())
}

// ZoneDemand returns the demand of the callers of a zone without those of this VM.
func (f *Fleet) ZoneDemand(zone steering.Zone) placement.DemandOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ZoneDemand(f.cfg.Clock(), zone)
}

// ReadRank returns how many live VMs read the store before this one: those whose reads do not fail
// come first, in an order that is the same on all VMs. fails says whether this VM's reads fail.
func (f *Fleet) ReadRank(fails bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.ReadRank(f.cfg.Clock(), fails)
}

// LastReadStart returns when a live VM that reads before this one last reported the start of a
// read of the store.
func (f *Fleet) LastReadStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.LastReadStart(f.cfg.Clock())
}

// UnreachableZones returns the zones that seem to be unreachable from this VM.
func (f *Fleet) UnreachableZones() map[steering.Zone]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.UnreachableZones(f.cfg.Clock())
}
