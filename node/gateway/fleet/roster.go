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
	// beatPerMember bounds what a VM sends as the fleet grows: at most 1 datagram
	// in this time.
	beatPerMember = 12 * time.Millisecond
	// missedBeats is how many heartbeats may be missing from a live VM.
	missedBeats = 5
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
}

// Roster holds all entry VMs known. It is not safe for concurrent use.
type Roster struct {
	self    Member
	members map[steering.VM]*heard
	ticked  time.Time
	turn    int
}

// NewRoster returns the roster of a VM that knows only itself.
func NewRoster(self Member) *Roster {
	return &Roster{self: self, members: make(map[steering.VM]*heard)}
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
	r.members[m.Name] = &heard{Member: m, since: now}
	return true
}

// Heard notes a heartbeat. It reports whether the member was not live before.
func (r *Roster) Heard(now time.Time, b Beat) bool {
	if b.From.Name == r.self.Name {
		return false
	}
	h := r.members[b.From.Name]
	if h == nil {
		h = &heard{since: now}
		r.members[b.From.Name] = h
	}
	if h.beat.Boot == b.Boot && b.Number <= h.beat.Number {
		return false // late or doubled
	}
	fresh := !r.live(now, h) || h.beat.Boot != b.Boot
	if b.Demand == nil && h.beat.Boot == b.Boot {
		b.Demand = h.beat.Demand // told before
	}
	h.Member, h.at, h.leaving, h.beat = b.From, now, b.Leaving, b
	return fresh
}

// Named returns the member with an id, or false if it is not known.
func (r *Roster) Named(id uint64) (Member, bool) {
	for name, h := range r.members {
		if idOf(name) == id {
			return h.Member, true
		}
	}
	return Member{}, false
}

// Tick says whom to write to now. A gap between ticks means that this VM was
// paused: what it did not hear meanwhile says nothing of the others.
func (r *Roster) Tick(now time.Time) []Member {
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
		quiet := now.Sub(maxTime(h.at, h.since))
		switch {
		case quiet > forgetAfter:
			delete(r.members, name)
		case r.live(now, h) || quiet < missedBeats*r.Pause() || r.turn%slowRetry == 0:
			to = append(to, h.Member)
		}
	}
	return to
}

// Pause is the time between two ticks.
func (r *Roster) Pause() time.Duration {
	return max(shortestBeat, time.Duration(len(r.members))*beatPerMember)
}

func (r *Roster) live(now time.Time, h *heard) bool {
	return !h.at.IsZero() && now.Sub(h.at) < missedBeats*r.Pause()
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
		case r.live(now, h):
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
