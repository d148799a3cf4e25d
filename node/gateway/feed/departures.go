package feed

import (
	"time"

	"heatherlock/steering/departure"
)

// OutOfTouchAfter returns how old what a VM knows may become before entries may have expired and departures been
// missed since; heartbeat is how often targets write theirs.
func OutOfTouchAfter(heartbeat time.Duration) time.Duration { return maxMissedHeartbeats * heartbeat }

func (s *State) outOfTouch(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) > OutOfTouchAfter(s.heartbeatInterval)
}

// noteDepartures records departures that another VM knows.
func (s *State) noteDepartures(now time.Time, all []departure.Departure) {
	for _, d := range all {
		t := s.targets[d.Target]
		if t != nil && t.Missing && d.Gone && d.Generation == t.Generation {
			// The store does not list the target, so that a word of it which the other VM lacks is from before.
			d.Beat = max(d.Beat, t.Beat)
		}
		if t != nil && t.Word().After(d.Word()) {
			continue
		}
		noted := s.lasting.departures.Note(d)
		if t == nil {
			if _, removed := s.removed[d.Target]; !removed {
				s.removed[d.Target] = removal{generation: d.Generation, noted: now}
			}
			continue
		}
		if d.Gone && s.lasting.relist(d.Target, s.silentUntil(now)) {
			s.decided.heldClosed = append(s.decided.heldClosed, d.Target)
			noted = true
		}
		if noted {
			s.unplaced[d.Target] = true
		}
	}
	s.trimRemoved()
}
