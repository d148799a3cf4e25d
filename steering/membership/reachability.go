package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// State is the current state of a member as this observer sees it.
type State uint8

// States of a member.
const (
	StateLive State = iota
	StateSuspect
	StateLeaving
	StateGone
)

// Member is a Fact with the member's state and the observations behind it.
type Member struct {
	Fact
	State State
	// LastReceived is when the newest heartbeat of the member, or report of its zone,
	// arrived, or zero if none has.
	LastReceived time.Time
	// LastSuccess and LastFailure are the times of the last successful and the last
	// failed call of this observer to the member.
	LastSuccess time.Time
	LastFailure time.Time
	// Failures is the number of failed calls since the last successful one.
	Failures int
}

// Beat is the newest heartbeat that the sender knows of a member of its zone.
type Beat struct {
	ID   ID
	Beat uint32 // heartbeat number
	// Doubted reports whether the sender's last call to the member failed.
	Doubted       bool
	ConfigVersion int64
}

const (
	// suspicionMinSilence is the time without heartbeats of a member below which a
	// suspicion relayed by a peer is ignored: if a heartbeat arrived this recently,
	// at most the connection between that peer and the member is broken.
	suspicionMinSilence = 500 * time.Millisecond
	// suspicionCheckInterval is the minimum time between a successful call to a
	// member and a call that checks a relayed suspicion.
	suspicionCheckInterval = 2 * time.Second
	// retryMin and retryMax bound the time between two calls to a member that
	// cannot be reached. The time is 1/retryDivisor of the time since the last
	// successful call.
	retryMin     = time.Second
	retryMax     = 30 * time.Second
	retryDivisor = 4
)

// RecordHeartbeat records a heartbeat and reports whether the configuration version of
// the member advanced. Heartbeats of an incarnation are ignored until its Fact has
// been merged.
func (v *View) RecordHeartbeat(b Beat, now time.Time) (advanced bool) {
	e, ok := v.ids[b.ID]
	if !ok || e.VM == v.self {
		return false
	}
	advanced = b.ConfigVersion > e.ConfigVersion
	e.ConfigVersion = max(e.ConfigVersion, b.ConfigVersion)
	if b.Beat > e.heartbeat {
		e.heartbeat = b.Beat
		e.receivedAt = now
	}
	if b.Doubted && b.Beat >= e.heartbeat && now.Sub(e.receivedAt) >= suspicionMinSilence {
		e.suspectedUntil = e.heartbeat + 1
	}
	return advanced
}

// DueForRetry returns the members of the observer's zone that it should call next,
// before the regular rotation.
//
// A suspicion relayed by a peer only causes a call. If it counted as evidence, one
// member with a broken link could take other members out of service in the whole
// zone. After a first failed call the member is called again at once, and then at
// growing intervals, or after retryMin if a heartbeat of it arrives.
func (v *View) DueForRetry(now time.Time) []Member {
	var due []Member
	for _, e := range v.inZone(v.zone) {
		if e.VM != v.self && e.Status != Gone && e.dueForRetry(now) {
			due = append(due, v.member(e, now))
		}
	}
	return due
}

func (e *entry) dueForRetry(now time.Time) bool {
	if !e.lastCallFailed() {
		return e.suspectedByPeer() && now.Sub(e.lastSuccess) >= suspicionCheckInterval
	}
	if e.failures == 1 {
		return true
	}
	since := now.Sub(e.lastFailure)
	pause := min(now.Sub(latest(e.lastSuccess, e.learnedAt))/retryDivisor, retryMax)
	return since >= retryMin && (e.receivedAt.After(e.lastFailure) || since >= pause)
}

// RecordCall records the outcome of a call of this observer to a member.
func (v *View) RecordCall(vm steering.VM, reachable bool, now time.Time) {
	e, ok := v.entries[vm]
	if !ok || vm == v.self {
		return
	}
	if reachable {
		e.lastSuccess = now
		e.suspectedUntil = 0
		e.failures = 0
		return
	}
	e.failures++
	e.lastFailure = now
}

// suspectedByPeer reports whether a peer failed to reach the member and no newer
// heartbeat of the member has arrived.
func (e *entry) suspectedByPeer() bool { return e.suspectedUntil > e.heartbeat }

// lastCallFailed reports whether this observer's last call to the member failed.
func (e *entry) lastCallFailed() bool { return e.lastFailure.After(e.lastSuccess) }

// Heartbeats returns the newest heartbeats of up to limit other members of the
// observer's zone, in order of arrival with the most recent first.
func (v *View) Heartbeats(limit int, now time.Time) []Beat {
	entries := slices.Clone(v.inZone(v.zone))
	slices.SortStableFunc(entries, func(a, b *entry) int { return b.receivedAt.Compare(a.receivedAt) })
	var beats []Beat
	for _, e := range entries {
		if e.VM == v.self || !e.Known() || e.Status == Gone || len(beats) == limit {
			continue
		}
		if now.Sub(e.receivedAt) > v.params.GoneAfter {
			continue
		}
		beats = append(beats, Beat{ID: e.id, Beat: e.heartbeat, Doubted: e.lastCallFailed(), ConfigVersion: e.ConfigVersion})
	}
	return beats
}

// Members returns all members, sorted by VM name.
func (v *View) Members(now time.Time) []Member {
	members := make([]Member, 0, len(v.entries))
	for _, e := range v.sorted() {
		members = append(members, v.member(e, now))
	}
	return members
}

func (v *View) member(e *entry, now time.Time) Member {
	m := Member{Fact: e.Fact, LastReceived: e.receivedAt, LastSuccess: e.lastSuccess, LastFailure: e.lastFailure, Failures: e.failures}
	if r := v.reports[e.Location.Zone]; r != nil && e.Location.Zone != v.zone {
		m.LastReceived = latest(e.receivedAt, r.receivedAt)
	}
	if e.VM == v.self {
		m.LastReceived = now
	}
	m.State = v.stateOf(e, m, now)
	return m
}

func (v *View) stateOf(e *entry, m Member, now time.Time) State {
	silence := now.Sub(latest(m.LastReceived, m.LastSuccess, e.learnedAt))
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
		return StateSuspect // listed, but no incarnation of it is known yet
	}
	if e.Location.Zone == v.zone {
		return v.ownZoneState(e, silence)
	}
	return v.otherZoneState(e, m.LastReceived, silence, now)
}

// ownZoneState returns the state of a member of the observer's zone, from the
// observer's own calls and the time since the last heartbeat.
//
// On a busy VM an occasional call times out. If a single failure counted, the caller
// would assume another owner of a pool than all other members until its next
// successful call. Therefore one failure counts only while the heartbeats of the
// member are missing as well, and a second failure always counts.
func (v *View) ownZoneState(e *entry, silence time.Duration) State {
	const enoughFailures = 2
	if e.lastCallFailed() && (e.failures >= enoughFailures || silence > failedCallMinSilence) {
		return StateSuspect
	}
	if silence > v.params.SuspectAfter {
		return StateSuspect
	}
	return StateLive
}

// otherZoneState returns the state of a member of another zone, from the reports of
// that zone and the observer's own calls. A failed call expires after CallFailureTTL
// if a report of the zone or a heartbeat has arrived since, because few members ever
// call the member again.
func (v *View) otherZoneState(e *entry, receivedAt time.Time, silence time.Duration, now time.Time) State {
	if e.lastCallFailed() && (now.Sub(e.lastFailure) <= v.params.CallFailureTTL || e.lastFailure.After(receivedAt)) {
		return StateSuspect
	}
	if silence > v.params.ZoneSilentAfter {
		return StateSuspect
	}
	r := v.reports[e.Location.Zone]
	if r != nil && slices.Contains(r.Doubted, e.id) && !e.lastSuccess.After(r.receivedAt) {
		return StateSuspect
	}
	return StateLive
}

// ZoneMembers returns the members of the observer's zone, sorted by VM name.
func (v *View) ZoneMembers(now time.Time) []Member {
	entries := v.inZone(v.zone)
	members := make([]Member, 0, len(entries))
	for _, e := range entries {
		members = append(members, v.member(e, now))
	}
	return members
}

// Recent returns up to limit facts that changed within the window, the most recent
// change first.
func (v *View) Recent(window time.Duration, limit int, now time.Time) []Fact {
	if now.Sub(v.lastChange) > window {
		return nil
	}
	var recent []*entry
	for _, e := range v.sorted() {
		if now.Sub(e.changedAt) <= window {
			recent = append(recent, e)
		}
	}
	slices.SortStableFunc(recent, func(a, b *entry) int { return b.changedAt.Compare(a.changedAt) })
	facts := make([]Fact, 0, min(limit, len(recent)))
	for _, e := range recent[:min(limit, len(recent))] {
		facts = append(facts, e.Fact)
	}
	return facts
}

// sorted returns all entries, sorted by VM name. The caller must not modify the slice.
func (v *View) sorted() []*entry {
	if v.byName == nil {
		v.byName = slices.SortedFunc(maps.Values(v.entries), func(a, b *entry) int { return cmp.Compare(a.VM, b.VM) })
		v.byZone = map[steering.Zone][]*entry{}
		for _, e := range v.byName {
			v.byZone[e.Location.Zone] = append(v.byZone[e.Location.Zone], e)
		}
	}
	return v.byName
}

// inZone returns the entries of a zone, sorted by VM name. The caller must not modify
// the slice.
func (v *View) inZone(zone steering.Zone) []*entry {
	v.sorted()
	return v.byZone[zone]
}

// Rank orders members for a duty by rendezvous hashing: observers that see the same
// members get the same order, and the order differs from duty to duty.
func Rank(duty string, members []steering.VM) []steering.VM {
	score := func(vm steering.VM) uint64 { return xxhash.Sum64String(duty + "\x00" + string(vm)) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b steering.VM) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return ranked
}

// AddressOf returns the peer address of an incarnation, and false if the incarnation
// is unknown.
func (v *View) AddressOf(id ID) (string, bool) {
	e, ok := v.ids[id]
	if !ok {
		return "", false
	}
	return e.Location.PeerAddress, true
}

// ZoneOf returns the zone of an incarnation, and false if the incarnation is unknown.
func (v *View) ZoneOf(id ID) (steering.Zone, bool) {
	e, ok := v.ids[id]
	if !ok {
		return "", false
	}
	return e.Location.Zone, true
}
