package relay

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// maxMissedHeartbeats is how many heartbeats in a row a target may miss before the store drops its
// entry. If a target has responded, and its entry names the same generation after so many heartbeat
// intervals, it did not restart in between.
const maxMissedHeartbeats = 3

// falseLosses finds targets that were counted as lost but did not crash.
//
// A link that resets connections for a second looks like a crash. Without this correction, the
// requests that were on the link count as causes of the loss, and after the second such link they
// are refused for 15 minutes, while the targets that the refusals name respond to other requests. A
// response alone is no proof, since a target may restart under its name: some time later the store
// must still list the same generation of it.
type falseLosses struct {
	// heartbeatInterval is how often targets write to the store.
	heartbeatInterval time.Duration
	// suspected holds the targets whose loss is attributed to requests.
	suspected map[steering.Target]evidence
}

// evidence is what shows that a target did not crash.
type evidence struct {
	generation steering.Generation
	responded  time.Time // first response after it was counted as lost; zero before
}

func newFalseLosses(heartbeatInterval time.Duration) *falseLosses {
	return &falseLosses{heartbeatInterval: heartbeatInterval, suspected: make(map[steering.Target]evidence)}
}

// responded records that the given generation of a target responded.
func (s *falseLosses) responded(now time.Time, target steering.Target, generation steering.Generation) {
	if p, suspected := s.suspected[target]; suspected && (p.responded.IsZero() || p.generation != generation) {
		s.suspected[target] = evidence{generation, now}
	}
}

// resolve retracts the losses of targets that did not crash from list, and returns those targets.
// readAt is when the store was last read, and generationOf returns the generation of a target as of
// then.
func (s *falseLosses) resolve(now, readAt time.Time, list *poison.List, generationOf func(steering.Target) (steering.Generation, bool)) (running []steering.Target) {
	withLosses := list.TargetsWithLosses(now)
	for target := range s.suspected {
		if !withLosses[target] {
			delete(s.suspected, target)
		}
	}
	for target := range withLosses {
		p := s.suspected[target]
		s.suspected[target] = p
		if p.responded.IsZero() || readAt.Before(p.responded.Add(maxMissedHeartbeats*s.heartbeatInterval)) {
			continue
		}
		delete(s.suspected, target)
		if generation, listed := generationOf(target); listed && generation == p.generation {
			list.RetractLosses(now, target, p.responded)
			running = append(running, target)
		}
	}
	return running
}
