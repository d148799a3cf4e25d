package fleet

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

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
}

const (
	// shortestBeat is the pause between two heartbeats in a small fleet.
	shortestBeat = 300 * time.Millisecond
	// beatPerMate bounds what a VM sends as its zone grows: at most 1 datagram to a
	// VM of its zone in this time.
	beatPerMate = 12 * time.Millisecond
	// missedBeats is how many heartbeats may be missing from a live VM.
	missedBeats = 5
	// farBeat is the pause between two heartbeats that a VM of another zone gets
	// from this zone, whoever sends them: each tells which VMs of its zone live, so
	// the more a zone has, the more seldom each of them writes.
	farBeat = 400 * time.Millisecond
	// farSilence is how long nothing may be heard of a live VM of another zone. Its
	// own zone has noticed its end by then, and callers keep an old answer of the
	// directory for seconds anyway.
	farSilence = 2500 * time.Millisecond
	// darkSilence is how long nothing may come from a whole zone: four heartbeats.
	darkSilence = 4 * farBeat
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
	at      time.Time // last heard; zero if never
	since   time.Time // when it became known
	leaving bool
	beat    Beat
	// reads is when it last told that it reads the store.
	reads time.Time
	// sent is when a heartbeat was last sent to it.
	sent time.Time
}

// Roster holds all entry VMs known. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[steering.VM]*heard
	byID    map[uint64]*heard
	ticked  time.Time
	turn    int
}

// NewRoster returns the roster of a VM that knows only itself.
func NewRoster(self Member) *Roster {
	return &Roster{self: self, members: make(map[steering.VM]*heard), byID: make(map[uint64]*heard)}
}

// Add notes a member that was read of. It reports whether it is new.
func (r *Roster) Add(now time.Time, m Member) bool {
	if m.Name == r.self.Name || m.Name == "" || m.Peer == "" {
		return false
	}
	if old := r.members[m.Name]; old != nil {
		if old.at.IsZero() {
			old.Member = m
		}
		return false
	}
	r.enter(m.Name, &heard{Member: m, since: now})
	return true
}

func (r *Roster) enter(name steering.VM, h *heard) {
	r.members[name] = h
	r.byID[idOf(name)] = h
}

// Heard notes a heartbeat. It reports whether the member was not live before.
func (r *Roster) Heard(now time.Time, b Beat) bool {
	if b.From.Name == r.self.Name {
		return false
	}
	h := r.members[b.From.Name]
	if h == nil {
		h = &heard{since: now}
		r.enter(b.From.Name, h)
	}
	if h.beat.Incarnation == b.Incarnation && b.Number <= h.beat.Number {
		return false // late or doubled
	}
	fresh := !r.live(now, h) || h.beat.Incarnation != b.Incarnation
	if b.Demand == nil && h.beat.Incarnation == b.Incarnation {
		b.Demand = h.beat.Demand // told before
	}
	h.Member, h.at, h.leaving, h.beat = b.From, now, b.Leaving, b
	if b.Reads && !b.StoreFails {
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
	for _, id := range b.Mates {
		if h := r.byID[id]; h != nil && h.Zone == b.From.Zone && !h.leaving && !h.at.IsZero() {
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
	var to []Member
	for name, h := range r.members {
		if now.Sub(maxTime(h.at, h.since)) > forgetAfter {
			delete(r.members, name)
			delete(r.byID, idOf(name))
			continue
		}
		due := r.due(now, h)
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
func (r *Roster) due(now time.Time, h *heard) bool {
	quiet := now.Sub(maxTime(h.at, h.since))
	if !r.live(now, h) && quiet > missedBeats*r.Pause() {
		return r.turn%slowRetry == 0
	}
	if h.sent.IsZero() {
		// Spread over the pause: those of one zone that began together would all
		// write together too, and leave the rest of it silent.
		part := float64(mixed(idOf(r.self.Name), idOf(h.Name))) / (1 << 32)
		h.sent = now.Add(-time.Duration(part * float64(r.farPause())))
	}
	// Half a tick early, since ticks are late by a little.
	return h.Zone == r.self.Zone || now.Sub(h.sent) >= r.farPause()-r.Pause()/2
}

// mixed returns a number of 32 bits that differs for each pair.
func mixed(a, b uint64) uint64 { return (a*0x9e3779b1 ^ b*0x85ebca6b) & (1<<32 - 1) }

// Pause is the time between two ticks.
func (r *Roster) Pause() time.Duration {
	return max(shortestBeat, time.Duration(r.mates())*beatPerMate)
}

// farPause is the time between two heartbeats to a VM of another zone.
func (r *Roster) farPause() time.Duration { return time.Duration(r.mates()+1) * farBeat }

// mates counts the other VMs of this zone on record.
func (r *Roster) mates() int {
	n := 0
	for _, h := range r.members {
		if h.Zone == r.self.Zone {
			n++
		}
	}
	return n
}

// MateIDs returns the ids of the live VMs of this zone, for VMs of others.
func (r *Roster) MateIDs(now time.Time) []uint64 {
	var ids []uint64
	for _, m := range r.Mates(now) {
		ids = append(ids, idOf(m.Name))
	}
	return ids
}

func (r *Roster) live(now time.Time, h *heard) bool {
	silence := missedBeats * r.Pause()
	if h.Zone != r.self.Zone {
		silence = max(silence, farSilence)
	}
	return !h.at.IsZero() && now.Sub(h.at) < silence
}

// Live returns the live members that are not leaving, this VM included unless
// it leaves, by name.
func (r *Roster) Live(now time.Time, selfLeaves bool) []Member {
	var all []Member
	if !selfLeaves {
		all = append(all, r.self)
	}
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving {
			all = append(all, h.Member)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Mates returns the other live members of this VM's zone.
func (r *Roster) Mates(now time.Time) []Member {
	var mates []Member
	for _, h := range r.members {
		if h.Zone == r.self.Zone && r.live(now, h) && !h.leaving {
			mates = append(mates, h.Member)
		}
	}
	return mates
}

// Serving returns the live members that take requests.
func (r *Roster) Serving(now time.Time, selfServes bool) []Member {
	all := r.Live(now, !selfServes)
	kept := all[:0]
	for _, m := range all {
		if h := r.members[m.Name]; h == nil || h.beat.Serving {
			kept = append(kept, m)
		}
	}
	return kept
}

// Beats returns the newest heartbeats of the live members.
func (r *Roster) Beats(now time.Time) []Beat {
	var all []Beat
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving {
			all = append(all, h.beat)
		}
	}
	return all
}

// ReadRank returns how many live VMs are to read the store before this one.
func (r *Roster) ReadRank(now time.Time, fails bool) int {
	rank := 0
	own := readOrder(r.self.Name)
	for _, h := range r.members {
		if !r.live(now, h) || h.leaving || h.beat.StoreFails && !fails {
			continue
		}
		if fails && !h.beat.StoreFails || readOrder(h.Name) < own {
			rank++
		}
	}
	return rank
}

// ReadBegun returns when a live VM that reads before this one last told that it
// reads the store.
func (r *Roster) ReadBegun(now time.Time) time.Time {
	var last time.Time
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving && readOrder(h.Name) < readOrder(r.self.Name) {
			last = maxTime(last, h.reads)
		}
	}
	return last
}

// readOrder spreads the reading over VMs whatever their names.
func readOrder(name steering.VM) uint64 { return xxhash.Sum64String("read\x00" + string(name)) }

// Known returns all members on record, this VM included.
func (r *Roster) Known() []Member {
	all := []Member{r.self}
	for _, h := range r.members {
		all = append(all, h.Member)
	}
	return all
}

// DarkZones returns the zones whose entry VMs were all heard before and are
// silent now. Targets there are most likely cut off as well.
func (r *Roster) DarkZones(now time.Time) map[steering.Zone]bool {
	dark, lit := make(map[steering.Zone]bool), map[steering.Zone]bool{r.self.Zone: true}
	for _, h := range r.members {
		switch {
		case !h.at.IsZero() && now.Sub(h.at) < darkSilence:
			lit[h.Zone] = true
		case !h.at.IsZero() && !h.leaving:
			dark[h.Zone] = true
		}
	}
	for zone := range lit {
		delete(dark, zone)
	}
	return dark
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
