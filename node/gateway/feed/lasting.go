package feed

import (
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/storepos"
)

// rewriteWindow is how long after a restore of the store an evacuation that it no longer lists goes on.
// The operator writes it again unless it has ended; a zone that is left out for too long costs room,
// one that is used too soon gets requests that it must not get.
const rewriteWindow = 10 * time.Second

// lasting holds what stays true of targets and zones although the store says otherwise: it was restored from an older
// copy, or completes older writes late. It is kept apart from the copy of the store, which follows the store, so that
// VMs agree on that one.
type lasting struct {
	departures departure.Ledger
	// relisted holds the targets that were gone and are listed again although they have said nothing since, with
	// the time by which the store has removed those that are silent.
	relisted map[steering.Target]time.Time
	// evacuated holds the zones whose evacuation the restored store does not list, with the time until
	// which it goes on.
	evacuated map[steering.Zone]time.Time
}

func newLasting() lasting {
	return lasting{departures: departure.NewLedger(), relisted: make(map[steering.Target]time.Time), evacuated: make(map[steering.Zone]time.Time)}
}

// closes reports whether a target gets no requests although its entry allows them.
func (l *lasting) closes(t *Entry) bool {
	if d, known := l.departures.Of(t.Name); known && !d.Gone && !t.Word().After(d.Word()) {
		return true
	}
	_, relisted := l.relisted[t.Name]
	_, evacuated := l.evacuated[t.Zone]
	return relisted || evacuated
}

// noteEntry records a changed entry at a position of the store. gone is the removal of the target
// that the entry undoes, if any, and silentUntil the time by which the store has removed the entry of a
// target that does not write it. It reports whether it closes a target that is listed again.
//
// An entry undoes a departure only if the target wrote it later. After a restore, or if the store does not list the
// entry, that is not enough: what was known of the removed entry may be older than the entry was.
func (l *lasting) noteEntry(t *Entry, at storepos.Position, gone removal, silentUntil time.Time) (closed bool) {
	if t.Leaving {
		l.departures.Note(t.departure(false))
		return false
	}
	d, departed := l.departures.Of(t.Name)
	unsure := at.Restored(gone.at) || t.Missing
	if departed && t.Word().After(d.Word()) && (!unsure || !d.Gone || t.Generation > d.Generation) {
		l.departures.Revoke(t.Name)
		delete(l.relisted, t.Name)
		return false
	}
	if departed && d.Gone && t.Generation <= d.Generation {
		return l.relist(t.Name, silentUntil)
	}
	return false
}

// relist closes a target that is listed again, and reports whether it was open.
func (l *lasting) relist(name steering.Target, silentUntil time.Time) bool {
	if _, found := l.relisted[name]; found {
		return false
	}
	l.relisted[name] = silentUntil
	return true
}

// noteWrite records that a target has written its entry, which opens it unless it departed later.
func (l *lasting) noteWrite(t *Entry) {
	if l.departures.Holds(t.Name, t.Word()) {
		return
	}
	l.departures.Revoke(t.Name)
	delete(l.relisted, t.Name)
}

// departure returns the departure of the target as of the entry.
func (t *Entry) departure(gone bool) departure.Departure {
	return departure.Departure{Target: t.Name, Generation: t.Generation, Beat: t.Beat, Gone: gone}
}

// forget drops what is recorded of targets that are neither known nor remembered as removed.
func (l *lasting) forget(remembered func(steering.Target) bool) {
	l.departures.Trim(remembered)
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
			l.departures.Revoke(name) // the store would have removed it if the target were silent
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
		s.restoredUntil = now.Add(reappearWindow)
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
