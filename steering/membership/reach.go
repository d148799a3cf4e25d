package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// State is how this observer sees a member now.
type State uint8

// States of a member.
const (
	StateLive State = iota
	StateSuspect
	StateLeaving
	StateGone
)

// Member is a fact with its state and the age of what is known.
type Member struct {
	Fact
	State State
	// Heard is when the newest beat or report that covers it arrived; zero
	// when none has.
	Heard time.Time
	// Reached and Failed are when this observer last called it with and
	// without success.
	Reached time.Time
	Failed  time.Time
	// Failures counts the calls that failed since one succeeded.
	Failures int
}

// Beat is the newest beat the sender knows of a member of its zone.
type Beat struct {
	ID   ID
	Beat uint32
	// Doubted says that the sender's last call to the member failed.
	Doubted       bool
	ConfigVersion int64
}

const (
	// doubtMinAge is the silence below which a relayed doubt is ignored: a
	// member that was heard this recently is at most cut off from the doubter.
	doubtMinAge = 500 * time.Millisecond
	// doubtCheckEach is how often at most a relayed doubt is checked.
	doubtCheckEach = 2 * time.Second
	// retryMin and retryMax bound the time between two calls of a member that
	// could not be reached; it grows with the time since it last could.
	retryMin      = time.Second
	retryMax      = 30 * time.Second
	retryFraction = 4
)

// Hear takes in a beat and tells whether the member's configuration advanced.
// An unknown incarnation is ignored until its fact comes.
func (v *View) Hear(b Beat, now time.Time) (advanced bool) {
	e, ok := v.ids[b.ID]
	if !ok || e.VM == v.self {
		return false
	}
	advanced = b.ConfigVersion > e.ConfigVersion
	e.ConfigVersion = max(e.ConfigVersion, b.ConfigVersion)
	if b.Beat > e.beat {
		e.beat = b.Beat
		e.heard = now
	}
	if b.Doubted && b.Beat >= e.beat && now.Sub(e.heard) >= doubtMinAge {
		e.doubtBeat = e.beat + 1
	}
	return advanced
}

// Retry returns the members of the own zone to call next, ahead of their turn.
//
// A relayed doubt is only a reason to call: taking it for evidence would let
// one member with a broken link take others out of the zone's work. A member
// that this observer could not reach is called again at growing intervals, but
// soon once a beat of it arrives.
func (v *View) Retry(now time.Time) []Member {
	var due []Member
	for _, e := range v.inZone(v.zone) {
		if e.VM != v.self && e.Status != Gone && e.dueForRetry(now) {
			due = append(due, v.member(e, now))
		}
	}
	return due
}

func (e *entry) dueForRetry(now time.Time) bool {
	if !e.unreached() {
		return e.doubted() && now.Sub(e.reached) >= doubtCheckEach
	}
	if e.failures == 1 {
		return true
	}
	since := now.Sub(e.failed)
	pause := min(now.Sub(latest(e.reached, e.learned))/retryFraction, retryMax)
	return since >= retryMin && (e.heard.After(e.failed) || since >= pause)
}

// Direct records how a call of this observer to a member ended.
func (v *View) Direct(vm steering.VM, reachable bool, now time.Time) {
	e, ok := v.entries[vm]
	if !ok || vm == v.self {
		return
	}
	if reachable {
		e.reached = now
		e.doubtBeat = 0
		e.failures = 0
		return
	}
	e.failures++
	e.failed = now
}

// doubted tells whether the member has shown no beat since somebody failed to
// reach it.
func (e *entry) doubted() bool { return e.doubtBeat > e.beat }

// unreached tells whether this observer's own last call to it failed.
func (e *entry) unreached() bool { return e.failed.After(e.reached) }

// Beats returns up to limit members of the own zone, most lately heard first,
// the observer itself left out.
func (v *View) Beats(limit int, now time.Time) []Beat {
	entries := slices.Clone(v.inZone(v.zone))
	slices.SortStableFunc(entries, func(a, b *entry) int { return b.heard.Compare(a.heard) })
	var beats []Beat
	for _, e := range entries {
		if e.VM == v.self || !e.Known() || e.Status == Gone || len(beats) == limit {
			continue
		}
		if now.Sub(e.heard) > v.params.GoneAfter {
			continue
		}
		beats = append(beats, Beat{ID: e.id, Beat: e.beat, Doubted: e.unreached(), ConfigVersion: e.ConfigVersion})
	}
	return beats
}

// Members returns every member in order of name.
func (v *View) Members(now time.Time) []Member {
	members := make([]Member, 0, len(v.entries))
	for _, e := range v.sorted() {
		members = append(members, v.member(e, now))
	}
	return members
}

func (v *View) member(e *entry, now time.Time) Member {
	m := Member{Fact: e.Fact, Heard: e.heard, Reached: e.reached, Failed: e.failed, Failures: e.failures}
	if r := v.reports[e.Place.Zone]; r != nil && e.Place.Zone != v.zone {
		m.Heard = latest(e.heard, r.heard)
	}
	if e.VM == v.self {
		m.Heard = now
	}
	m.State = v.stateOf(e, m, now)
	return m
}

func (v *View) stateOf(e *entry, m Member, now time.Time) State {
	silence := now.Sub(latest(m.Heard, m.Reached, e.learned))
	if e.Status == Gone || silence > v.params.GoneAfter {
		return StateGone
	}
	if e.Status == Leaving {
		return StateLeaving
	}
	if e.VM == v.self {
		return StateLive
	}
	if !e.Known() {
		return StateSuspect // listed, but nobody has heard from it
	}
	if e.Place.Zone == v.zone {
		return v.stateNear(e, silence)
	}
	return v.stateFar(e, m.Heard, silence, now)
}

// stateNear judges a member of the own zone by first-hand evidence and silence.
//
// What can go wrong: on a busy VM one call in many runs into its timeout, and
// the one who made it would see another owner of a pool than everybody else for
// as long as the evidence stands. So one failure counts only while the member's
// beats are missing too; the second counts in any case.
func (v *View) stateNear(e *entry, silence time.Duration) State {
	const enoughFailures = 2
	if e.unreached() && (e.failures >= enoughFailures || silence > lostAfter) {
		return StateSuspect
	}
	if silence > v.params.SuspectAfter {
		return StateSuspect
	}
	return StateLive
}

// stateFar judges a member of another zone by what its zone says of it and by
// first-hand evidence, which fades once its zone is heard again: few members
// ever try it again.
func (v *View) stateFar(e *entry, heard time.Time, silence time.Duration, now time.Time) State {
	if e.unreached() && (now.Sub(e.failed) <= v.params.EvidenceHold || e.failed.After(heard)) {
		return StateSuspect
	}
	if silence > v.params.ZoneSilentAfter {
		return StateSuspect
	}
	r := v.reports[e.Place.Zone]
	if r != nil && slices.Contains(r.Doubted, e.id) && !e.reached.After(r.heard) {
		return StateSuspect
	}
	return StateLive
}

// ZoneMembers returns the members of the own zone in order of name.
func (v *View) ZoneMembers(now time.Time) []Member {
	entries := v.inZone(v.zone)
	members := make([]Member, 0, len(entries))
	for _, e := range entries {
		members = append(members, v.member(e, now))
	}
	return members
}

// Recent returns up to limit facts that changed within the window, newest first.
func (v *View) Recent(window time.Duration, limit int, now time.Time) []Fact {
	if now.Sub(v.lastChange) > window {
		return nil
	}
	var recent []*entry
	for _, e := range v.sorted() {
		if now.Sub(e.changed) <= window {
			recent = append(recent, e)
		}
	}
	slices.SortStableFunc(recent, func(a, b *entry) int { return b.changed.Compare(a.changed) })
	facts := make([]Fact, 0, min(limit, len(recent)))
	for _, e := range recent[:min(limit, len(recent))] {
		facts = append(facts, e.Fact)
	}
	return facts
}

// sorted returns the entries in order of name; the slice must not be changed.
func (v *View) sorted() []*entry {
	if v.order == nil {
		v.order = slices.SortedFunc(maps.Values(v.entries), func(a, b *entry) int { return cmp.Compare(a.VM, b.VM) })
		v.zones = map[steering.Zone][]*entry{}
		for _, e := range v.order {
			v.zones[e.Place.Zone] = append(v.zones[e.Place.Zone], e)
		}
	}
	return v.order
}

// inZone returns a zone's entries in order of name; the slice must not be
// changed.
func (v *View) inZone(zone steering.Zone) []*entry {
	v.sorted()
	return v.zones[zone]
}

// Rank orders members of a zone for a duty: all observers that see the same
// members choose the same ones, and each duty falls on others.
func Rank(duty string, members []steering.VM) []steering.VM {
	score := func(vm steering.VM) uint64 { return xxhash.Sum64String(duty + "\x00" + string(vm)) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b steering.VM) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return ranked
}

// AddressOf returns the peer address of an incarnation.
func (v *View) AddressOf(id ID) (string, bool) {
	e, ok := v.ids[id]
	if !ok {
		return "", false
	}
	return e.Place.PeerAddress, true
}

// ZoneOf returns the zone of an incarnation.
func (v *View) ZoneOf(id ID) (steering.Zone, bool) {
	e, ok := v.ids[id]
	if !ok {
		return "", false
	}
	return e.Place.Zone, true
}
