package feed

import (
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

// rewriteWindow is how long after a restore of the store an evacuation that it no longer lists goes on.
// The operator writes it again unless it has ended; a zone that is left out for too long costs room,
// one that is used too soon gets requests that it must not get.
const rewriteWindow = 10 * time.Second

// lasting holds what stays true of targets and zones although the store was restored from a copy that
// says otherwise. It is kept apart from the copy of the store, which follows the store, so that VMs
// agree on that one.
type lasting struct {
	// leaving holds the targets that leave, as of the entries that said so.
	leaving map[steering.Target]leavingEntry
	// relisted holds the targets that were gone and are back only because the store was restored or a
	// peer holds back their removal, with the time by which the store has removed those that are silent.
	relisted map[steering.Target]time.Time
	// evacuated holds the zones whose evacuation the restored store does not list, with the time until
	// which it goes on.
	evacuated map[steering.Zone]time.Time
}

// leavingEntry is an entry that said that its target leaves.
type leavingEntry struct {
	generation steering.Generation
	beat       int64
	at         storepos.Position
}

func newLasting() lasting {
	return lasting{leaving: make(map[steering.Target]leavingEntry), relisted: make(map[steering.Target]time.Time), evacuated: make(map[steering.Zone]time.Time)}
}

// closes reports whether a target gets no requests although its entry allows them.
func (l *lasting) closes(t *Entry) bool {
	left, found := l.leaving[t.Name]
	if found && t.Generation <= left.generation && t.Beat <= left.beat {
		return true
	}
	_, relisted := l.relisted[t.Name]
	_, evacuated := l.evacuated[t.Zone]
	return relisted || evacuated
}

// noteEntry records a changed entry at a position of the store. gone is the removal of the target
// that the entry undoes, if any, and silentUntil the time by which the store has removed the entry of a
// target that does not write it.
//
// Within an epoch the store's order of changes is that of the target, and what it lists last holds. After
// a restore, or if the store does not list the entry, it counts only if the target wrote it after what is
// known. It reports whether it closes a target that is listed again.
func (l *lasting) noteEntry(t *Entry, at storepos.Position, gone removal, silentUntil time.Time) (closed bool) {
	if t.Leaving {
		l.leaving[t.Name] = leavingEntry{t.Generation, t.Beat, at}
		return false
	}
	left := l.leaving[t.Name]
	listedLater := !t.Missing && left.at.Epoch == at.Epoch && at.After(left.at)
	if listedLater || t.Generation > left.generation || t.Beat > left.beat {
		delete(l.leaving, t.Name)
	}
	if (at.Restored(gone.at) || t.Missing && !gone.at.IsZero()) && t.Generation <= gone.generation {
		l.relisted[t.Name] = silentUntil
		return true
	}
	return false
}

// noteWrite records that a target has written its entry. It reports whether that opens the target.
func (l *lasting) noteWrite(name steering.Target) bool {
	_, found := l.relisted[name]
	delete(l.relisted, name)
	return found
}

// forget drops what is recorded of targets that are neither known nor remembered as removed.
func (l *lasting) forget(remembered func(steering.Target) bool) {
	for name := range l.leaving {
		if !remembered(name) {
			delete(l.leaving, name)
		}
	}
	for name := range l.relisted {
		if !remembered(name) {
			delete(l.relisted, name)
		}
	}
}

// holdEvacuations makes evacuations that a restored store does not list go on, those included that
// did so since an earlier restore.
func (l *lasting) holdEvacuations(now time.Time, before, listed map[steering.Zone]bool) {
	for zone := range l.evacuated {
		l.evacuated[zone] = now.Add(rewriteWindow)
	}
	for zone := range before {
		if !listed[zone] {
			l.evacuated[zone] = now.Add(rewriteWindow)
		}
	}
}

// expire ends what goes on until a time by which the store was read. It returns the targets, of those
// that the store lists, and the zones that this opens.
func (l *lasting) expire(readAt time.Time, listed func(steering.Target) bool) (targets []steering.Target, zones []steering.Zone) {
	for name, until := range l.relisted {
		if !readAt.Before(until) && listed(name) {
			delete(l.relisted, name)
			targets = append(targets, name)
		}
	}
	for zone, until := range l.evacuated {
		if !readAt.Before(until) {
			delete(l.evacuated, zone)
			zones = append(zones, zone)
		}
	}
	return targets, zones
}

// EndHolds ends what was held back after an outage or a restore of the store: it drops the targets whose
// entries are still missing now, and opens the targets and zones of which the last read of the store says
// no more. It reports whether anything changed.
func (s *State) EndHolds(now time.Time) bool {
	changed := s.dropMissing(now)
	targets, zones := s.lasting.expire(s.readAt, func(name steering.Target) bool {
		t := s.targets[name]
		return t != nil && !t.Missing
	})
	for _, name := range targets {
		s.unplaced[name] = true
	}
	s.decided.opened = append(s.decided.opened, targets...)
	for _, zone := range zones {
		s.endEvacuation(now, zone)
		s.allUnplaced = true
	}
	return changed || len(targets) > 0 || len(zones) > 0
}

// advance sets the position to which the targets correspond.
func (s *State) advance(now time.Time, at storepos.Position) {
	if at.Restored(s.at) {
		for name := range s.lasting.relisted {
			s.lasting.relisted[name] = s.silentUntil(now)
		}
	}
	s.at = at
}

// silentUntil returns when the store has removed an entry that is listed now and whose target is silent.
func (s *State) silentUntil(now time.Time) time.Time {
	return now.Add(maxMissedHeartbeats*s.heartbeatInterval + reappearWindow)
}

// SetEvacuations replaces the zones under evacuation by those read at a position, and reports whether
// they changed.
func (s *State) SetEvacuations(now time.Time, zones []steering.Zone, at storepos.Position) bool {
	if s.evacuationsAt.Restored(at) {
		return false
	}
	next := make(map[steering.Zone]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	changed := len(next) != len(s.evacuated) || s.evacuationsAt.IsZero()
	restored := at.Restored(s.evacuationsAt)
	if restored {
		s.lasting.holdEvacuations(now, s.evacuated, next)
	}
	for zone := range s.evacuated {
		if !next[zone] {
			changed = true
			if !restored {
				s.endEvacuation(now, zone)
			}
		}
	}
	for zone := range next {
		delete(s.lasting.evacuated, zone)
	}
	s.evacuated, s.evacuationsAt = next, at
	s.allUnplaced = s.allUnplaced || changed
	return changed
}

// ApplyEvacuationChanges applies the changes of evacuations since the last read and reports whether
// there were any.
func (s *State) ApplyEvacuationChanges(now time.Time, changes []platform.EvacuationChange, at storepos.Position) bool {
	if s.evacuationsAt.Restored(at) {
		return false
	}
	for _, c := range changes {
		delete(s.lasting.evacuated, c.Zone)
		if c.Ended {
			delete(s.evacuated, c.Zone)
			s.endEvacuation(now, c.Zone)
			continue
		}
		s.evacuated[c.Zone] = true
	}
	s.evacuationsAt = at
	s.allUnplaced = s.allUnplaced || len(changes) > 0
	return len(changes) > 0
}
