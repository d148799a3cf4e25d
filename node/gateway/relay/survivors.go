package relay

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// missedBeats is how many heartbeats in a row the store lets a target miss before it
// drops its entry. One that has answered since, and whose entry names the same start
// after so many, has not restarted in between.
const missedBeats = 3

// survivors finds the targets that were taken for lost and have lived on.
//
// What goes wrong without it: a link that resets connections for a second looks like a
// death. Requests that were on it are held against, and refused after the second such
// link, for a quarter of an hour. One would notice refusals that name targets which
// answer others all the while. The answer alone proves nothing, since a target may start
// again under its name: the store must still know the same start of it some time later.
type survivors struct {
	// beat is how often targets write to the store.
	beat time.Duration
	// awaited are the targets that requests are accused of having taken down.
	awaited map[steering.Target]proof
}

// proof is what shows that a target has lived on.
type proof struct {
	generation steering.Generation
	answered   time.Time // first after it was taken for lost; zero before
}

func newSurvivors(beat time.Duration) *survivors {
	return &survivors{beat: beat, awaited: make(map[steering.Target]proof)}
}

// answered notes that a start of a target has answered.
func (s *survivors) answered(now time.Time, target steering.Target, generation steering.Generation) {
	if p, awaited := s.awaited[target]; awaited && (p.answered.IsZero() || p.generation != generation) {
		s.awaited[target] = proof{generation, now}
	}
}

// settle withdraws what is held against requests for targets that have lived on. readAt
// is when the store was read last, and known returns the start of a target as of then.
func (s *survivors) settle(now, readAt time.Time, list *poison.List, known func(steering.Target) (steering.Generation, bool)) (lived []steering.Target) {
	accused := list.Accused(now)
	for target := range s.awaited {
		if !accused[target] {
			delete(s.awaited, target)
		}
	}
	for target := range accused {
		p := s.awaited[target]
		s.awaited[target] = p
		if p.answered.IsZero() || readAt.Before(p.answered.Add(missedBeats*s.beat)) {
			continue
		}
		delete(s.awaited, target)
		if generation, listed := known(target); listed && generation == p.generation {
			list.Survived(now, target, p.answered)
			lived = append(lived, target)
		}
	}
	return lived
}
