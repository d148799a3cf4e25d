package feed

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/routes"
	"heatherlock/steering/storepos"
)

const (
	// reappearWindow is how long after an outage of the store targets have to write their entries
	// again if these expired during the outage. Until then a missing entry does not mean that the
	// target is gone.
	reappearWindow = 2200 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats of a target the store waits for before it drops
	// the entry. A longer gap between two reads may hide an outage.
	maxMissedHeartbeats = 3
	// minRemovedTargets is how many removed targets are remembered at least so that updates can
	// report their removal. With more targets than that as many removed ones are remembered as there
	// are targets, so that the loss of a zone is never more than fits.
	minRemovedTargets = 1024
	// maxSharedStrings bounds the names that shareStrings holds, which anyone who writes entries
	// chooses.
	maxSharedStrings = 1024
)

// Entry is a target as this VM knows it and sends it to peers.
type Entry struct {
	platform.Target
	// ColdFor is how much longer the target is cold, counted from when the update was sent.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// Missing is set if the entry was absent when the store was read right after an outage, and MissingFor is how
	// much longer the target is kept, counted from when the update was sent. Builds before this field send none.
	Missing    bool          `json:"missing,omitempty"`
	MissingFor time.Duration `json:"missingFor,omitempty"`

	coldUntil time.Time
	// changed is a position at which the entry was as it is now and before which it differed. A
	// peer at a position needs the entries whose changed is later.
	changed storepos.Position
}

// Digest says in a few bytes what an entry VM knows of the store and how fresh that is.
type Digest struct {
	// Epoch is the epoch of the store's history that all revisions below belong to. What the VM
	// knows only of an earlier epoch has revision 0. Builds before this field send none.
	Epoch uint64 `json:"epoch,omitempty"`
	// Revision is the store revision to which the targets correspond.
	Revision int64 `json:"rev,omitempty"`
	// Content is a hash of the targets. Equal hashes mean equal targets.
	Content uint64 `json:"hash,omitempty"`
	// ColdRevision is a revision at which some target had become cold again. The hash does not
	// cover that, because VMs that start later have never seen the change.
	ColdRevision int64 `json:"coldRev,omitempty"`
	// Config is the configuration version in force, Newest the newest version known to exist, and
	// ConfigRevision the store revision after which to look for configurations newer than Config.
	Config         uint64 `json:"cfg,omitempty"`
	Newest         uint64 `json:"newest,omitempty"`
	ConfigRevision int64  `json:"cfgRev,omitempty"`
	// Evacuated holds the zones under evacuation at EvacuationRevision.
	Evacuated          []steering.Zone `json:"evac,omitempty"`
	EvacuationRevision int64           `json:"evacRev,omitempty"`
	// AgeMs is the age of the read of the store that the digest is based on, in milliseconds.
	AgeMs int64 `json:"age"`
}

// removal records that a target's entry was removed.
type removal struct {
	// at is a position at which the entry was absent.
	at storepos.Position
	// generation is the target's last known generation.
	generation steering.Generation
	// noted is when this VM learned of it.
	noted time.Time
}

// State is an entry VM's copy of what the store holds. It is not safe for concurrent use.
type State struct {
	heartbeatInterval time.Duration
	regions           map[steering.Zone]steering.Region

	targets map[steering.Target]*Entry
	// at is the position of the store to which the targets correspond.
	at storepos.Position
	// contentHash is the sum of hashes, which holds the hash of each target.
	contentHash uint64
	hashes      map[steering.Target]uint64
	removed     map[steering.Target]removal
	history     history
	strings     map[string]string // see shareStrings
	// unplaced holds the targets that changed since TakeChanges was called last. With allUnplaced
	// set, all targets have to be placed anew.
	unplaced    map[steering.Target]bool
	allUnplaced bool
	// coldAt is a position at which some target had become cold again, or got requests again that had departed: the
	// hash covers neither. turnedCold is set while the changes of one read are applied and one of them shows that.
	coldAt     storepos.Position
	turnedCold bool
	// historyStart is the position after which all changes of targets are recorded.
	historyStart storepos.Position
	// inconsistent is set if an update with changes did not lead to the hash in the peer's digest.
	// The next update requested holds all targets.
	inconsistent  bool
	evacuated     map[steering.Zone]bool
	evacuationsAt storepos.Position
	table         *routes.Table
	tableSince    time.Time // when table was put in force here
	configAt      storepos.Position
	// configRejected is set while the newest configuration up to configAt is one that this VM cannot use.
	configRejected bool
	// newest is the newest configuration version known to exist. behindSince is when this VM
	// first knew of a version newer than the one in force, or the zero time if it knows of none.
	newest      uint64
	behindSince time.Time
	// coldZones holds zones whose targets may be cold without their entries saying so yet, with the
	// time until which they are treated as cold.
	coldZones map[steering.Zone]time.Time
	// readAt is when the read of the store began that the state is based on; zero if there was
	// none.
	readAt  time.Time
	lasting lasting
	decided decisions
	// holdRemovalsUntil is set after an outage of the store: until then, targets whose entries are found missing
	// are kept. heldAfter is the read before the outage.
	holdRemovalsUntil, heldAfter time.Time
	// restoredUntil is set after a restore of the store: until then targets have time to write their entries again.
	restoredUntil time.Time
	// missing holds the targets whose entries are missing and that are kept, with the time until which they are.
	missing map[steering.Target]time.Time
	touch   touch
}

// NewState returns an empty state. heartbeatInterval is how often targets write to the store;
// targets in zones that regions does not name are ignored.
func NewState(heartbeatInterval time.Duration, regions map[steering.Zone]steering.Region) *State {
	return &State{heartbeatInterval: heartbeatInterval, regions: regions, targets: make(map[steering.Target]*Entry), removed: make(map[steering.Target]removal),
		hashes: make(map[steering.Target]uint64), unplaced: make(map[steering.Target]bool), strings: make(map[string]string), evacuated: make(map[steering.Zone]bool), coldZones: make(map[steering.Zone]time.Time), lasting: newLasting(), missing: make(map[steering.Target]time.Time)}
}

// Age returns the age of the read of the store that the state is based on. ok is false if there was
// none.
func (s *State) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(s.readAt), !s.readAt.IsZero()
}

// Complete reports whether the targets, the configuration and the evacuations are all known.
func (s *State) Complete() bool {
	return !s.readAt.IsZero() && s.table != nil && !s.evacuationsAt.IsZero()
}

// Table returns the configuration in force, or nil.
func (s *State) Table() *routes.Table { return s.table }

// MarkRead records that a read of the store, or of a peer's state, reflects the store at the given
// time.
func (s *State) MarkRead(at time.Time) {
	if at.After(s.readAt) {
		s.readAt = at
	}
}

// outdated reports whether a read shows no more of the targets than is known. It was overtaken by an update of
// a peer, and what it shows may have changed since.
func (s *State) outdated(at storepos.Position) bool {
	return s.at.Restored(at) || !s.inconsistent && !at.After(s.at)
}

// distrust makes this VM read or request all targets if the store is at an earlier position than was known when a
// read began. It has gone back without a new epoch, and its changes cannot be told from those that were known.
func (s *State) distrust(since, at storepos.Position) {
	if at.Before(since) && !since.Restored(at) {
		s.inconsistent = true
	}
}

// SetTargets applies a complete list of targets and reports whether anything relevant changed. A list
// that shows no later position than the one known is ignored.
func (s *State) SetTargets(now time.Time, all platform.TargetList) bool {
	s.noteGap(now, now)
	s.distrust(all.Since, all.At)
	if s.outdated(all.At) {
		return s.EndHolds(now)
	}
	s.detectOutage(now, all.At)
	listed := make(map[steering.Target]bool, len(all.Targets))
	var changed []steering.Target
	for _, t := range all.Targets {
		listed[t.Name] = true
		if s.upsert(now, t) {
			changed = append(changed, t.Name)
		}
	}
	for _, bad := range all.InvalidEntries {
		if s.drop(now, bad.Name) {
			changed = append(changed, bad.Name)
		}
	}
	for name := range s.targets {
		if !listed[name] && s.entryMissing(now, name) {
			changed = append(changed, name)
		}
	}
	if s.at.IsZero() || s.inconsistent {
		s.historyStart = all.At
	}
	if all.At.Restored(s.at) {
		changed = append(changed, s.coldTargets(now)...)
	}
	s.advance(now, all.At)
	s.inconsistent = false
	return s.endRead(now, changed)
}

// endRead records the changes of a read.
func (s *State) endRead(now time.Time, names []steering.Target) bool {
	changed := s.recordChanges(now, names)
	return s.EndHolds(now) || changed
}

// coldTargets returns the targets that are cold. After a restore of the store they count as having
// become cold again, because peers may have missed that before it.
func (s *State) coldTargets(now time.Time) []steering.Target {
	var cold []steering.Target
	for name, t := range s.targets {
		if now.Before(t.coldUntil) {
			cold = append(cold, name)
		}
	}
	s.turnedCold = s.turnedCold || len(cold) > 0
	return cold
}

// ApplyTargetChanges applies the changes of targets since the last read and reports whether
// anything relevant changed.
func (s *State) ApplyTargetChanges(now time.Time, found platform.TargetChanges) bool {
	s.noteGap(now, now)
	s.distrust(found.Since, found.At)
	if s.inconsistent || s.outdated(found.At) {
		return s.EndHolds(now) // an inconsistent state needs all targets, not changes
	}
	s.detectOutage(now, found.At)
	var changed []steering.Target
	for _, c := range found.Changes {
		if s.applyTargetChange(now, c) {
			changed = append(changed, c.Target.Name)
		}
	}
	s.at = found.At
	return s.endRead(now, changed)
}

// applyTargetChange applies one change and reports whether anything relevant changed.
func (s *State) applyTargetChange(now time.Time, c platform.TargetChange) bool {
	switch {
	case c.Removed:
		return s.entryMissing(now, c.Target.Name)
	case c.Invalid:
		return s.drop(now, c.Target.Name)
	}
	return s.upsert(now, c.Target)
}

// upsert adds or updates a target and reports whether anything relevant changed.
func (s *State) upsert(now time.Time, t platform.Target) bool {
	s.shareStrings(&t)
	old := s.targets[t.Name]
	if old == nil && t.Generation < s.removed[t.Name].generation {
		return false // a late write of an earlier process than the last one known
	}
	if old == nil || t.Generation > old.Generation {
		s.targets[t.Name] = &Entry{Target: t, coldUntil: coldUntil(now, t.ColdLeft)}
		delete(s.missing, t.Name)
		return true
	}
	if old.Word().After(t.Word()) {
		return false // an older state of the entry that arrived late
	}
	changed := old.Leaving != t.Leaving || old.Slots != t.Slots || old.Address != t.Address || old.Service != t.Service || old.Zone != t.Zone || old.Missing
	closed, wrote := s.lasting.closes(old), t.Word().After(old.Word())
	if wrote {
		turnedCold := t.ColdLeft > 0 && !now.Before(old.coldUntil)
		s.turnedCold = s.turnedCold || turnedCold
		changed = changed || turnedCold
		old.coldUntil = coldUntil(now, t.ColdLeft)
	}
	old.Missing, old.Target = false, t
	delete(s.missing, t.Name)
	if wrote && !t.Leaving {
		s.lasting.noteWrite(old)
	}
	opened := closed && !s.lasting.closes(old)
	s.turnedCold = s.turnedCold || opened && !changed
	return changed || opened
}

func coldUntil(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left)
}

// shareStrings replaces the names of services and zones by one copy of each. Thousands of targets
// that were decoded one by one hold a copy each.
func (s *State) shareStrings(t *platform.Target) {
	t.Service, t.Zone = steering.Service(s.shared(string(t.Service))), steering.Zone(s.shared(string(t.Zone)))
}

func (s *State) shared(text string) string {
	if known, found := s.strings[text]; found {
		return known
	}
	if len(s.strings) >= maxSharedStrings {
		clear(s.strings)
	}
	s.strings[text] = text
	return text
}

// recordChanges marks targets as changed at the current position and reports whether there were
// any.
func (s *State) recordChanges(now time.Time, changed []steering.Target) bool {
	if len(changed) == 0 {
		return false
	}
	if s.turnedCold {
		s.coldAt, s.turnedCold = s.at, false
	}
	// A first list of all targets is not held as changes, target by target.
	most := len(changed) > len(s.targets)/2
	if most {
		s.allUnplaced = true
		s.history.reset(s.at)
	}
	for _, name := range changed {
		s.updateHash(name)
		if !most {
			s.unplaced[name] = true
			s.history.add(s.at, name)
		}
		if t := s.targets[name]; t != nil {
			t.changed = s.at
			if s.lasting.noteEntry(t, s.at, s.removed[name], s.silentUntil(now)) {
				s.decided.heldClosed = append(s.decided.heldClosed, name)
			}
			delete(s.removed, name)
			continue
		}
		delete(s.lasting.relisted, name)
		s.removed[name] = removal{at: s.at, generation: s.removed[name].generation, noted: now}
	}
	s.trimRemoved()
	s.history.trim(max(minHistory, len(s.targets)))
	return true
}

// updateHash updates the content hash after a change of a target.
func (s *State) updateHash(name steering.Target) {
	s.contentHash -= s.hashes[name]
	if t := s.targets[name]; t != nil {
		s.hashes[name] = t.hash()
		s.contentHash += s.hashes[name]
		return
	}
	delete(s.hashes, name)
}

// trimRemoved drops the older half of the removed targets if there are too many. A peer at an
// older position than the remaining ones then needs all targets.
func (s *State) trimRemoved() {
	if len(s.removed) <= max(minRemovedTargets, len(s.targets)) {
		return
	}
	positions := make([]storepos.Position, 0, len(s.removed))
	for _, e := range s.removed {
		positions = append(positions, e.at)
	}
	slices.SortFunc(positions, storepos.Position.Compare)
	s.historyStart = storepos.Later(s.historyStart, positions[len(positions)/2])
	for name, e := range s.removed {
		if !e.at.After(s.historyStart) {
			delete(s.removed, name)
		}
	}
	s.lasting.forget(func(name steering.Target) bool {
		_, removed := s.removed[name]
		return removed || s.targets[name] != nil
	})
}

// hash returns the hash of the properties of a target that peers must agree on.
func (t *Entry) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(t.Name) + "\x00" + t.Address + "\x00" + string(t.Service)) // writing to a hash cannot fail
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

// endEvacuation treats the zone's targets as cold until their entries have had time to say whether
// they are: an idle target may no longer be warm, and full load would crash it.
func (s *State) endEvacuation(now time.Time, zone steering.Zone) {
	s.coldZones[zone] = now.Add(2 * s.heartbeatInterval)
}

// inUnknownZones returns the entries whose zone is not in the settings. Such targets get no
// requests: without a region, neither the limits on where a request may run nor those on
// cross-region offloading can be enforced for them.
func (s *State) inUnknownZones(targets []platform.Target) []platform.InvalidEntry {
	var found []platform.InvalidEntry
	for _, t := range targets {
		if _, known := s.regions[t.Zone]; !known {
			found = append(found, platform.InvalidEntry{Name: t.Name, Reason: "its zone is not in the settings"})
		}
	}
	return found
}

// Target returns what is known of a target. found is false if the target is not in the state.
func (s *State) Target(name steering.Target) (e Entry, found bool) {
	t := s.targets[name]
	if t == nil {
		return Entry{}, false
	}
	return *t, true
}

// Generation returns the known generation of a target. known is false if the target is not in the
// state.
func (s *State) Generation(name steering.Target) (generation steering.Generation, known bool) {
	t := s.targets[name]
	if t == nil {
		return 0, false
	}
	return t.Generation, true
}
