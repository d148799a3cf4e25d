package fleet

import (
	"slices"
	"time"

	"heatherlock/steering"
)

// Member is an entry VM.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Name    steering.VM
	Zone    steering.Zone
	Region  steering.Region
	Peer    string
	Control string
	Callers string
	// Capacity is what it bears, in requests per second.
	Capacity float32
}

const (
	// shortestBeat is the pause between two heartbeats in a small fleet.
	shortestBeat = 300 * time.Millisecond
	// beatPerMate bounds what a VM sends as its zone grows: at most 1 datagram to a
	// VM of its zone in this time.
	beatPerMate = 20 * time.Millisecond
	// shortestNearSilence and missedBeats bound how long nothing may be heard of a live VM
	// of this zone: five heartbeats, fewer in a zone so large that they are rare.
	shortestNearSilence = 5 * shortestBeat
	missedBeats         = 4
	// shortestFarBeat is the pause between two heartbeats that a VM of another zone gets
	// from this zone, whoever sends them: each tells which VMs of its zone live, so
	// few of them need to write.
	shortestFarBeat = 400 * time.Millisecond
	// speakers is how many VMs of a zone write to a VM of another zone. With one the
	// zone would seem gone when that one ends. With all of a large zone each has a
	// turn so seldom that, as turns fall by chance, now and then none writes for
	// longer than farSilences heartbeats, and a live zone is taken for gone.
	speakers = 3
	// speakerBeats is how many heartbeats of a VM of the own zone may be missing
	// until another speaks in its place: sooner than it counts as gone, so that
	// others hear of the zone again before it counts as dark when all its speakers
	// end together.
	speakerBeats = 3
	// farZones is how many zones get a heartbeat in each shortestFarBeat. With more zones all
	// of them get one less often, or what a VM sends would grow with their number.
	farZones = 10
	// farSilences is how many heartbeats of a whole zone may be missing for a VM of
	// it to be live still, and darkSilences for the zone to be in touch.
	farSilences  = 5
	darkSilences = 4
	// forgetAfter is how long a VM that is gone is still written to, now and
	// then, so that both sides of a cut find each other again.
	forgetAfter = 10 * time.Minute
	// slowRetry is how many beats pass between two datagrams to a VM that is
	// gone.
	slowRetry = 6
)

// heard is what is known of a member's life.
type heard struct {
	Member
	id      uint64
	at      time.Time // last heard; zero if never
	since   time.Time // when it became known
	leaving bool
	beat    Beat
	// beatAt is when its own last heartbeat came, and configAt the first that told the
	// configuration that it has in force.
	beatAt   time.Time
	configAt time.Time
	// toldAt is when it last told its demand, or that of its zone.
	toldAt time.Time
	// reads is when it first told of its last read of the store. The time of the last
	// heartbeat that tells it would hold up all others for as long as a read hangs.
	reads time.Time
	// sent is when a heartbeat was last sent to it.
	sent time.Time
}

// Roster holds all entry VMs known. It is not safe for concurrent use.
type Roster struct {
	self    Member
	id      uint64
	members map[steering.VM]*heard
	byID    map[uint64]*heard
	ticked  time.Time
	turn    int
	zones   map[steering.Zone][]*heard // VMs on record without this one
}

// NewRoster returns the roster of a VM that knows only itself.
func NewRoster(self Member) *Roster {
	return &Roster{self: self, id: idOf(self.Name), members: make(map[steering.VM]*heard), byID: make(map[uint64]*heard), zones: make(map[steering.Zone][]*heard)}
}

// Add notes a member that was read of. It reports whether it is new.
func (r *Roster) Add(now time.Time, m Member) bool {
	if m.Name == r.self.Name || m.Name == "" || m.Peer == "" {
		return false
	}
	if old := r.members[m.Name]; old != nil {
		if old.at.IsZero() {
			r.describe(old, m)
		}
		return false
	}
	r.enter(m.Name, &heard{Member: m, since: now})
	return true
}

func (r *Roster) enter(name steering.VM, h *heard) {
	h.id = idOf(name)
	r.members[name] = h
	r.byID[h.id] = h
	r.zones[h.Zone] = append(r.zones[h.Zone], h)
}

// describe notes where a member is; one that starts anew may be in another zone.
func (r *Roster) describe(h *heard, m Member) {
	if h.Zone != m.Zone {
		r.leaveZone(h)
		r.zones[m.Zone] = append(r.zones[m.Zone], h)
	}
	h.Member = m
}

func (r *Roster) forget(name steering.VM, h *heard) {
	delete(r.members, name)
	delete(r.byID, h.id)
	r.leaveZone(h)
}

func (r *Roster) leaveZone(h *heard) {
	left := slices.DeleteFunc(r.zones[h.Zone], func(other *heard) bool { return other == h })
	r.zones[h.Zone] = left
	if len(left) == 0 {
		delete(r.zones, h.Zone)
	}
}

// Heard notes a heartbeat. It reports whether the member was not live before.
func (r *Roster) Heard(now time.Time, b Beat) bool {
	if b.From.Name == r.self.Name {
		return false
	}
	h := r.members[b.From.Name]
	if h == nil {
		h = &heard{Member: b.From, since: now}
		r.enter(b.From.Name, h)
	}
	if h.beat.Incarnation == b.Incarnation && b.Number <= h.beat.Number {
		return false // late or doubled
	}
	fresh := !r.live(now, h) || h.beat.Incarnation != b.Incarnation
	if b.Demand != nil {
		h.toldAt = now
	} else if h.beat.Incarnation == b.Incarnation {
		b.Demand = h.beat.Demand // told before
	}
	if b.Known.Config != h.beat.Known.Config || h.beat.Incarnation != b.Incarnation {
		h.configAt = now
	} else if b.ConfigContent == 0 {
		b.ConfigContent = h.beat.ConfigContent // told before
	}
	h.beatAt = now
	goesOn := h.beat.Reads && h.beat.Incarnation == b.Incarnation
	r.describe(h, b.From)
	h.at, h.leaving, h.beat = now, b.Leaving, b
	if b.Reads && !b.StoreFails && !goesOn {
		h.reads = now
	}
	r.heardOf(now, b)
	return fresh
}

// heardOf notes the VMs of the sender's zone that the sender hears. What a VM of
// one zone says of another zone does not count: it may be older than what is
// known here, and two zones that tell each other of a third would keep it alive.
func (r *Roster) heardOf(now time.Time, b Beat) {
	if b.From.Zone == r.self.Zone {
		return
	}
	for _, h := range r.zones[b.From.Zone] {
		if !h.leaving && !h.at.IsZero() && slices.Contains(b.Mates, shortOf(h.id)) {
			h.at = now
		}
	}
}

// Named returns the member with an id, or false if it is not known.
func (r *Roster) Named(id uint64) (Member, bool) {
	if h := r.byID[id]; h != nil {
		return h.Member, true
	}
	return Member{}, false
}

// Tick says whom to write to now. A gap between ticks means that this VM was
// paused: what it did not hear meanwhile says nothing of the others. With all
// set, every live member is written to.
func (r *Roster) Tick(now time.Time, all bool) []Member {
	if gap := now.Sub(r.ticked) - r.Pause(); !r.ticked.IsZero() && gap > r.Pause() {
		for _, h := range r.members {
			if !h.at.IsZero() {
				h.at = h.at.Add(gap)
			}
		}
	}
	r.ticked = now
	r.turn++
	pause, able := r.Pause(), r.ableMates(now)
	var to []Member
	for name, h := range r.members {
		if now.Sub(maxTime(h.at, h.since)) > forgetAfter {
			r.forget(name, h)
			continue
		}
		due := r.due(now, h, pause, able)
		if due {
			h.sent = now
		}
		// What is sent to all at once must not move the turns: after news that every
		// VM announces, those of a zone would all write together from then on, and
		// be silent in between for longer than a live zone may be.
		if due || all && r.live(now, h) {
			to = append(to, h.Member)
		}
	}
	return to
}

// due reports whether a member is to get a heartbeat now.
func (r *Roster) due(now time.Time, h *heard, pause time.Duration, able []uint64) bool {
	quiet, unsent := now.Sub(maxTime(h.at, h.since)), now.Sub(h.sent)
	switch {
	case !r.live(now, h) && quiet > r.nearSilence():
		return r.turn%slowRetry == 0
	case h.Zone == r.self.Zone:
		return true
	case !r.live(now, h):
		return unsent >= r.farBeat()
	}
	rank, of := r.speakerRank(able, h.id)
	// Half a tick early, since ticks are late by a little.
	return rank < of && unsent >= time.Duration(of)*r.farBeat()-pause/2
}

// ableMates returns the ids of the VMs of this zone that may write to others in its
// name just now.
func (r *Roster) ableMates(now time.Time) []uint64 {
	var able []uint64
	for _, h := range r.members {
		if h.Zone == r.self.Zone && !h.leaving && !h.at.IsZero() && now.Sub(h.at) <= speakerBeats*r.Pause() {
			able = append(able, h.id)
		}
	}
	return able
}

// speakerRank returns this VM's place among those of its zone that may write to a
// member of another zone, and how many of them do. The order differs from one
// receiver to the next, so that the work is spread over the zone.
func (r *Roster) speakerRank(able []uint64, to uint64) (rank, of int) {
	own := mixed(r.id, to)
	for _, id := range able {
		if mixed(id, to) < own {
			rank++
		}
	}
	return rank, min(len(able)+1, speakers)
}

// mixed returns a number of 32 bits that differs for each pair.
func mixed(a, b uint64) uint64 { return (a*0x9e3779b1 ^ b*0x85ebca6b) & (1<<32 - 1) }

// Pause is the time between two ticks.
func (r *Roster) Pause() time.Duration {
	return max(shortestBeat, time.Duration(len(r.zones[r.self.Zone]))*beatPerMate)
}

// Met reports whether a member was ever heard.
func (r *Roster) Met(name steering.VM) bool {
	h := r.members[name]
	return h != nil && !h.at.IsZero()
}

// Crowd returns a number that is the same on two VMs that hear the same VMs; with
// self this VM counts as well.
func (r *Roster) Crowd(now time.Time, self bool) uint32 {
	var crowd uint32
	if self {
		crowd = uint32(r.id)
	}
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving {
			crowd ^= uint32(h.id)
		}
	}
	return crowd
}

// MateIDs returns the short ids of the live VMs of this zone, for VMs of others.
func (r *Roster) MateIDs(now time.Time) []uint32 {
	var ids []uint32
	for _, m := range r.Mates(now) {
		ids = append(ids, shortOf(idOf(m.Name)))
	}
	return ids
}

func (r *Roster) live(now time.Time, h *heard) bool {
	silence := r.nearSilence()
	if h.Zone != r.self.Zone {
		silence = max(silence, farSilences*r.farBeat())
	}
	return !h.at.IsZero() && now.Sub(h.at) < silence
}

func (r *Roster) nearSilence() time.Duration { return max(shortestNearSilence, missedBeats*r.Pause()) }

// farBeat is the pause between two heartbeats of a zone to a VM of another one.
func (r *Roster) farBeat() time.Duration {
	return max(shortestFarBeat, shortestFarBeat*time.Duration(len(r.zones))/farZones)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
