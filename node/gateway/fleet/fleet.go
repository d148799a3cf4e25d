package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

const (
	// introduced is how many members one datagram introduces.
	introduced = 8
	// fullEvery is how many beats pass between two that tell demand and old
	// suspects: demand is averaged over seconds anyway.
	fullEvery = 4
)

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

// sendAll sends near to VMs of this zone, and far, which speaks for the zone, to
// those of others. Addresses are for VMs that were never heard; whoever lacks them
// asks.
func (f *Fleet) sendAll(near, far Beat, to []Member, addresses bool) {
	forNear, err := encode(near, addresses)
	if err == nil {
		var forFar []byte
		forFar, err = encode(far, addresses)
		for _, m := range to {
			if m.Zone == f.cfg.Self.Zone {
				f.write(forNear, m.Peer)
				continue
			}
			f.write(forFar, m.Peer)
		}
	}
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the writer counts what it drops
	}
}

// zoneNews is what a VM tells other zones of the others of its own.
type zoneNews struct {
	mates  []uint32
	demand placement.DemandOf
}

func (f *Fleet) zoneNews(now time.Time) zoneNews {
	return zoneNews{mates: f.roster.MateIDs(now), demand: f.roster.MatesDemand(now)}
}

// spoken returns a beat as other zones get it.
func (z zoneNews) spoken(b Beat) Beat {
	own := b.Demand
	b.Mates, b.Demand = z.mates, maps.Clone(z.demand)
	b.Demand.AddAll(own)
	return b
}

// AnnounceInZone sends a heartbeat to the VMs of this zone.
func (f *Fleet) AnnounceInZone() {
	f.mu.Lock()
	b := f.next()
	mates := f.roster.Mates(time.Now())
	f.mu.Unlock()
	f.own(&b)
	b.Demand = nil
	f.sendAll(b, b, mates, false)
}

// ZoneRank returns how many live VMs of this zone come before this one, in an
// order that is the same on all.
func (f *Fleet) ZoneRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, m := range f.roster.Mates(time.Now()) {
		if m.before(f.cfg.Self) {
			rank++
		}
	}
	return rank
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
	alone := len(f.roster.Live(now, true)) == 0
	b := f.next()
	met, unmet := f.split(to)
	zone := f.zoneNews(now)
	changed := f.noteChanges(now)
	f.mu.Unlock()
	f.own(&b)
	full := b.Number%fullEvery == 1
	b.Suspects = f.cfg.Suspects(full)
	far := zone.spoken(b)
	if !full {
		b.Demand = nil
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

// split parts members that were heard before from those that were not.
func (f *Fleet) split(all []Member) (met, unmet []Member) {
	for _, m := range all {
		if f.roster.Met(m.Name) {
			met = append(met, m)
		} else {
			unmet = append(unmet, m)
		}
	}
	return met, unmet
}

// own fills in what a heartbeat says of this VM and of whom it hears.
func (f *Fleet) own(b *Beat) {
	f.cfg.Own(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving, b.Crowd = b.Leaving, f.crowd
}

func (f *Fleet) next() Beat {
	f.number++
	return Beat{From: f.cfg.Self, Incarnation: f.incarnation, Number: f.number}
}

// noteChanges compares who lives with the last tick.
func (f *Fleet) noteChanges(now time.Time) bool {
	live := make(map[steering.VM]bool)
	changed := false
	for _, m := range f.roster.Live(now, true) {
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

// send sends a beat with all that it holds.
func (f *Fleet) send(b Beat, address string) {
	raw, err := encode(b, true)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // as above
		return
	}
	f.write(raw, address)
}

func (f *Fleet) write(raw []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "to", address, "err", err)
		return
	}
	// A datagram that cannot be sent counts as lost: the other side notices a
	// missing heartbeat, whatever the reason.
	_, _ = f.conn.WriteTo(raw, net.UDPAddrFromAddrPort(to))
}

func (f *Fleet) read(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, sender, err := f.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		b, id, err := decode(buffer[:n])
		if err != nil {
			_ = f.cfg.Log.Log("msg", "heartbeat not understood", "err", err) // as above
			continue
		}
		if b.From.Name == "" && !f.complete(&b, id) {
			f.askBack(sender.String())
			continue
		}
		f.heard(b)
	}
}

// complete fills in the sender of a short beat, if it is known.
func (f *Fleet) complete(b *Beat, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, found := f.roster.Named(id)
	b.From = m
	return found
}

// askBack asks a sender that is not known here to introduce itself.
func (f *Fleet) askBack(address string) {
	f.mu.Lock()
	b := f.next()
	f.mu.Unlock()
	f.own(&b)
	b.Meets = true
	f.send(b, address)
}

func (f *Fleet) heard(b Beat) {
	now := time.Now()
	f.mu.Lock()
	met := f.roster.Met(b.From.Name)
	fresh := f.roster.Heard(now, b)
	for _, m := range b.Members {
		if f.roster.Add(now, m) {
			f.inquiry.learned()
		}
	}
	var known []Member
	reply := f.next()
	if b.Asks {
		known = f.roster.Live(now, f.leaving)
	}
	reply.Asks = f.inquiry.heard(now, b.Crowd == f.crowd)
	f.mu.Unlock()
	f.cfg.Heard(b)
	switch {
	case b.Asks:
		f.own(&reply)
		f.introduce(reply, known, b.From.Peer)
	case b.Meets || fresh && met || reply.Asks:
		f.own(&reply)
		f.send(reply, b.From.Peer)
	}
	if fresh {
		f.cfg.Changed()
	}
}

// introduce tells a VM of the others that live, a few a datagram.
func (f *Fleet) introduce(b Beat, known []Member, to string) {
	for from := 0; from < len(known); from += introduced {
		b.Members = known[from:min(from+introduced, len(known))]
		f.send(b, to)
		f.mu.Lock()
		b.Number = f.next().Number
		f.mu.Unlock()
	}
}

// Live returns the live members that are not leaving, this VM included.
func (f *Fleet) Live() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Live(time.Now(), false)
}

// Serving returns the members that take requests.
func (f *Fleet) Serving(selfServes bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Serving(time.Now(), selfServes)
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
