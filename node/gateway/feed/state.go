package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/node/gateway/planted"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
)

const (
	// returnTime is how long after an outage of the store entries that lapsed
	// meanwhile may take to come back. Until then a missing entry says nothing.
	returnTime = 2200 * time.Millisecond
	// beatsMissed is how many heartbeats the store lets pass before it drops an
	// entry; a longer gap between reads may hide an outage.
	beatsMissed = 3
	// goneKept bounds the targets remembered as gone, so that their end can be told
	// as a difference.
	goneKept = 1024
)

// Entry is a target as known here and told to peers.
type Entry struct {
	platform.Target
	// ColdFor is how much longer it is cold, from the time of telling.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// Missing entries were absent when the store was read right after an outage.
	Missing bool `json:"missing,omitempty"`

	coldUntil time.Time
	// changed is a revision by which the entry was as it is, and before which it
	// differed: what a peer that knows a revision needs are the entries changed
	// after it.
	changed int64
}

// Digest says what an entry VM knows and how fresh it is, in a few bytes.
type Digest struct {
	// Revision of the store as of which the targets are known.
	Revision int64 `json:"rev,omitempty"`
	// Content is a hash of the targets: equal hashes mean equal knowledge.
	Content uint64 `json:"hash,omitempty"`
	// ColdRevision is a revision by which some target had turned cold again. The
	// hash does not tell it, since VMs that start later never saw it.
	ColdRevision int64 `json:"coldRev,omitempty"`
	// Config is the version in force, Newest the newest known to exist, and
	// ConfigRevision where to look for newer ones than that in force.
	Config         uint64 `json:"cfg,omitempty"`
	Newest         uint64 `json:"newest,omitempty"`
	ConfigRevision int64  `json:"cfgRev,omitempty"`
	// Evacuated are the zones under evacuation as of EvacuationRevision.
	Evacuated          []steering.Zone `json:"evac,omitempty"`
	EvacuationRevision int64           `json:"evacRev,omitempty"`
	// AgeMs is how old the read is on which this rests.
	AgeMs int64 `json:"age"`
}

// ending is how a target's entry ended.
type ending struct {
	// revision is one by which it was gone.
	revision int64
	// generation is the target's last that was known.
	generation steering.Generation
}

// State is what is known of the store. It is not safe for concurrent use.
type State struct {
	beat    time.Duration
	regions map[steering.Zone]steering.Region

	targets  map[steering.Target]*Entry
	revision int64
	content  uint64
	gone     map[steering.Target]ending
	// cold is a revision by which some target had turned cold again, and turnedCold
	// is set while a read shows that.
	cold       int64
	turnedCold bool
	// floor is the revision after which all changes are on record.
	floor int64
	// distrusted is set when a difference that was told did not lead to what the
	// peer knows; the next one asked for is the whole.
	distrusted bool
	evacuated  map[steering.Zone]bool
	evacuation int64
	table      *routes.Table
	tableSince time.Time // when table came into force here
	configured int64
	// newest is the newest version known to exist, and behindSince is when this VM
	// first knew of one newer than that in force; zero if it knows of none.
	newest      uint64
	behindSince time.Time
	// coldZones marks zones whose targets may be cold though their entries do
	// not say so yet.
	coldZones map[steering.Zone]time.Time
	// readAt is when the store was read of which this is the state; zero if it
	// never was.
	readAt time.Time
	// doubtUntil is set after an outage: removals are held back until then.
	doubtUntil time.Time
}

// NewState returns an empty state. beat is how often targets write to the store.
func NewState(beat time.Duration, regions map[steering.Zone]steering.Region) *State {
	return &State{beat: beat, regions: regions, targets: make(map[steering.Target]*Entry), gone: make(map[steering.Target]ending),
		evacuated: make(map[steering.Zone]bool), coldZones: make(map[steering.Zone]time.Time)}
}

// Age returns how old the read is on which the state rests; ok is false if there
// was none.
func (s *State) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(s.readAt), !s.readAt.IsZero()
}

// Complete reports whether all of the store that matters is known.
func (s *State) Complete() bool {
	return !s.readAt.IsZero() && s.table != nil && s.evacuation > 0
}

// Table returns the newest configuration, or nil.
func (s *State) Table() *routes.Table { return s.table }

// Fresh notes that the store was read at a time.
func (s *State) Fresh(at time.Time) {
	if at.After(s.readAt) {
		s.readAt = at
	}
}

// noteRead notices an outage before a read.
func (s *State) noteRead(now time.Time) {
	if !s.readAt.IsZero() && now.Sub(s.readAt) > beatsMissed*s.beat {
		s.doubtUntil = now.Add(returnTime)
	}
}

// Listed takes in a whole list of targets. It reports whether anything changed
// that matters.
func (s *State) Listed(now time.Time, all platform.TargetList) bool {
	s.noteRead(now)
	revision := all.Revision
	listed := make(map[steering.Target]bool, len(all.Targets))
	var changed []steering.Target
	for _, t := range all.Targets {
		listed[t.Name] = true
		if s.upsert(now, t) {
			changed = append(changed, t.Name)
		}
	}
	for _, bad := range all.Bad {
		if s.drop(bad.Name) {
			changed = append(changed, bad.Name)
		}
	}
	for name := range s.targets {
		if !listed[name] && s.missing(now, name) {
			changed = append(changed, name)
		}
	}
	if s.revision == 0 || s.distrusted {
		s.floor = revision
	}
	s.revision, s.distrusted = revision, false
	return s.recorded(changed)
}

// Changed takes in changes of targets.
func (s *State) Changed(now time.Time, found platform.TargetChanges) bool {
	s.noteRead(now)
	var changed []steering.Target
	for _, c := range found.Changes {
		if s.change(now, c) {
			changed = append(changed, c.Target.Name)
		}
	}
	s.revision = found.Revision
	return s.recorded(changed)
}

// change takes in one change, and reports whether it says something new.
func (s *State) change(now time.Time, c platform.TargetChange) bool {
	switch {
	case c.Removed:
		return s.missing(now, c.Target.Name)
	case c.Unusable:
		return s.drop(c.Target.Name)
	}
	return s.upsert(now, c.Target)
}

// upsert reports whether the entry says something new.
func (s *State) upsert(now time.Time, t platform.Target) bool {
	old := s.targets[t.Name]
	if old == nil && t.Generation < s.gone[t.Name].generation {
		return false // a late write of a start that ended before the one last known
	}
	if old == nil || t.Generation > old.Generation {
		s.targets[t.Name] = &Entry{Target: t, coldUntil: coldUntil(now, t.ColdLeft)}
		return true
	}
	if t.Before(old.Target) {
		return false // an older state of the entry, seen late
	}
	changed := old.Leaving != t.Leaving || old.Slots != t.Slots || old.Address != t.Address || old.Missing
	if t.Beat > old.Beat {
		turnedCold := t.ColdLeft > 0 && !now.Before(old.coldUntil)
		s.turnedCold = s.turnedCold || turnedCold
		changed = changed || turnedCold
		old.coldUntil = coldUntil(now, t.ColdLeft)
	}
	old.Missing = false
	old.Target = t
	return changed
}

func coldUntil(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// missing notes that an entry is gone. Right after an outage that may only mean
// that the target could not write; it is believed once the time to come back is
// over.
func (s *State) missing(now time.Time, name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	if now.Before(s.doubtUntil) && !t.Leaving {
		changed := !t.Missing
		t.Missing = true
		return changed
	}
	return s.drop(name)
}

// drop forgets a target, and reports whether it was known. Its end is on record once
// recorded has been told.
func (s *State) drop(name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	delete(s.targets, name)
	s.gone[name] = ending{revision: s.gone[name].revision, generation: t.Generation}
	return true
}

// Settle drops entries that did not come back after an outage.
func (s *State) Settle(now time.Time) bool {
	if now.Before(s.doubtUntil) {
		return false
	}
	var changed []steering.Target
	for name, t := range s.targets {
		if t.Missing && s.drop(name) {
			changed = append(changed, name)
		}
	}
	return s.recorded(changed)
}

// recorded marks targets as changed by the revision now known.
func (s *State) recorded(changed []steering.Target) bool {
	if len(changed) == 0 {
		return false
	}
	if s.turnedCold {
		s.cold, s.turnedCold = s.revision, false
	}
	for _, name := range changed {
		if t := s.targets[name]; t != nil {
			t.changed = s.revision
			delete(s.gone, name)
			continue
		}
		s.gone[name] = ending{revision: s.revision, generation: s.gone[name].generation}
	}
	s.forgetGone()
	s.content = s.hash()
	return true
}

// forgetGone drops the oldest half of the targets that are gone, when there are
// too many; a peer that knows less than that needs the whole.
func (s *State) forgetGone() {
	if len(s.gone) <= goneKept {
		return
	}
	revisions := make([]int64, 0, len(s.gone))
	for _, e := range s.gone {
		revisions = append(revisions, e.revision)
	}
	slices.Sort(revisions)
	s.floor = max(s.floor, revisions[len(revisions)/2])
	for name, e := range s.gone {
		if e.revision <= s.floor {
			delete(s.gone, name)
		}
	}
}

// hash sums up what matters of the targets, in any order.
func (s *State) hash() uint64 {
	var sum uint64
	for _, t := range s.targets {
		sum += t.hash()
	}
	return sum
}

func (t *Entry) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(t.Name) + "\x00" + t.Address + "\x00" + string(t.Service)) // a hash takes all
	var flags [11]byte
	binary.BigEndian.PutUint16(flags[:], uint16(t.Slots))
	binary.BigEndian.PutUint64(flags[2:], uint64(t.Generation))
	if t.Leaving {
		flags[10] |= 1
	}
	if t.Missing {
		flags[10] |= 2
	}
	_, _ = d.Write(flags[:])
	return d.Sum64()
}

// Evacuating takes in a whole list of zones under evacuation.
func (s *State) Evacuating(now time.Time, zones []steering.Zone, revision int64) bool {
	next := make(map[steering.Zone]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	changed := len(next) != len(s.evacuated) || s.evacuation == 0
	for zone := range s.evacuated {
		if !next[zone] {
			changed = true
			s.endEvacuation(now, zone)
		}
	}
	s.evacuated, s.evacuation = next, revision
	return changed
}

// EvacuationChanged takes in changes of evacuations.
func (s *State) EvacuationChanged(now time.Time, changes []platform.EvacuationChange, revision int64) bool {
	for _, c := range changes {
		if c.Ended {
			delete(s.evacuated, c.Zone)
			s.endEvacuation(now, c.Zone)
			continue
		}
		s.evacuated[c.Zone] = true
	}
	s.evacuation = revision
	return len(changes) > 0
}

// endEvacuation takes the zone's targets as cold until their entries have had
// time to say otherwise: an idle target may have lost what made it fast, and a
// full load would crash it.
func (s *State) endEvacuation(now time.Time, zone steering.Zone) {
	s.coldZones[zone] = now.Add(2 * s.beat)
}

// Placement returns the targets for placement.
func (s *State) Placement() []placement.Target {
	all := make([]placement.Target, 0, len(s.targets))
	for _, t := range s.targets {
		region, known := s.regions[t.Zone]
		if !known {
			continue // see strangers
		}
		p := placement.Target{Name: t.Name, Generation: t.Generation, Service: t.Service, Address: t.Address, Zone: t.Zone, Region: region,
			Slots: t.Slots, Closed: (t.Leaving || s.evacuated[t.Zone]) && planted.Defect != planted.LeavingIgnored, ColdUntil: t.coldUntil}
		if until := s.coldZones[t.Zone]; until.After(p.ColdUntil) {
			p.ColdUntil = until
		}
		if s.table != nil && s.table.Services[t.Service] != nil {
			p.ColdRate = s.table.Services[t.Service].ColdRate
		}
		all = append(all, p)
	}
	return all
}

// strangers returns the entries whose zone is not one of the settings. They get no
// requests: without a region neither the bounds on where a request may run nor those on
// lending can be kept for them.
func (s *State) strangers(targets []platform.Target) []platform.BadEntry {
	var found []platform.BadEntry
	for _, t := range targets {
		if _, known := s.regions[t.Zone]; !known {
			found = append(found, platform.BadEntry{Name: t.Name, Reason: "its zone is not in the settings"})
		}
	}
	return found
}

// Generation returns the known start of a target; known is false if it is not on record.
func (s *State) Generation(name steering.Target) (generation steering.Generation, known bool) {
	t := s.targets[name]
	if t == nil {
		return 0, false
	}
	return t.Generation, true
}
