package feed

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/storepos"
)

// detectOutage is called before the result of a read is applied. If the read before it is so old
// that entries may have expired in an outage, or the store was restored and may lack entries, removals
// are held back for reappearWindow, once for each outage: reads of which another part fails do not prolong that.
func (s *State) detectOutage(now time.Time, at storepos.Position) {
	expired := s.outOfTouch(now) && !s.heldAfter.Equal(s.readAt)
	if expired || at.Restored(s.at) {
		s.holdRemovalsUntil, s.heldAfter = now.Add(reappearWindow), s.readAt
	}
}

// entryMissing handles the absence of a target's entry. Right after an outage of the store it may
// only mean that the target could not write; the target is kept until holdRemovalsUntil, unless it
// has departed.
func (s *State) entryMissing(now time.Time, name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	until, missing := s.missing[name]
	if !missing {
		until = s.holdRemovalsUntil
	}
	if now.Before(until) && !t.Leaving && !s.lasting.departures.Holds(name, t.Word()) {
		t.Missing, s.missing[name] = true, until
		if !missing {
			s.decided.kept = append(s.decided.kept, name)
		}
		return !missing
	}
	return s.remove(now, name)
}

// remove removes a target whose entry is gone, and reports whether it was known.
func (s *State) remove(now time.Time, name steering.Target) bool {
	if t := s.targets[name]; t != nil {
		s.lasting.departures.Note(t.departure(true))
	}
	return s.drop(now, name)
}

// keepMissing keeps a target that a peer keeps although its entry is missing, no longer than the peer does.
func (s *State) keepMissing(now time.Time, e Entry, left time.Duration) {
	if !e.Missing {
		delete(s.missing, e.Name)
		return
	}
	if _, kept := s.missing[e.Name]; kept {
		return
	}
	if left <= 0 {
		left = reappearWindow
	}
	s.missing[e.Name] = now.Add(min(left, reappearWindow))
	s.decided.kept = append(s.decided.kept, e.Name)
}

// goneAmong returns the departures of the entries that another VM keeps although the store does not list them, if this VM
// knows better.
func (s *State) goneAmong(now time.Time, entries []Entry, at storepos.Position) (gone []departure.Departure) {
	if !s.settled(now) || at.Restored(s.at) {
		return nil
	}
	for _, e := range entries {
		if _, kept := s.missing[e.Name]; e.Missing && !kept {
			gone = append(gone, e.departure(true))
		}
	}
	return gone
}

// drop removes a target, which may be back with its next write, and reports whether it was known. The position of the
// removal is set by recordChanges.
func (s *State) drop(now time.Time, name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	delete(s.targets, name)
	delete(s.missing, name)
	s.removed[name] = removal{at: s.removed[name].at, generation: t.Generation, noted: now}
	return true
}

// dropMissing removes the targets whose entries are still missing at the end of the time for which they are kept after
// an outage. It reports whether it removed any.
func (s *State) dropMissing(now time.Time) bool {
	var changed []steering.Target
	for name, until := range s.missing {
		if !now.Before(until) && s.remove(now, name) {
			changed = append(changed, name)
		}
	}
	return s.recordChanges(now, changed)
}
