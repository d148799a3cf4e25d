package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherlock/standin/metastore"
)

const (
	// restoreGap is the shortest time between two restores of the store.
	restoreGap = 1500 * time.Millisecond
	// rewriteDelay is how long after a restore the operator writes the configuration again. Targets
	// write their entries with their heartbeats.
	rewriteDelay = 300 * time.Millisecond
	storeCopied  = "the store is copied"
)

// restoreFaults restore the store from copies that are up to three seconds old, one to three times in a
// row, sometimes after it was away for a moment.
func restoreFaults(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 11))
	var steps []step
	for at := time.Duration(4000+r.IntN(3000)) * time.Millisecond; at < length-recoveryPhase; at += time.Duration(3000+r.IntN(6000)) * time.Millisecond {
		for n := range 1 + r.IntN(3) {
			lost := time.Duration(200+r.IntN(2800)) * time.Millisecond
			away := time.Duration(max(r.IntN(1200)-600, 0)) * time.Millisecond
			when := at + time.Duration(n)*restoreGap
			var copied metastore.Copy
			var copiedAt time.Time
			steps = append(steps,
				step{when - lost, storeCopied, func(s *system) { copiedAt, copied = time.Now(), s.store.Copy() }},
				step{when, fmt.Sprintf("the store is away for %v and comes back from a copy %v old", away, lost), func(s *system) { s.restoreStore(copied, copiedAt, away) }})
		}
	}
	return steps
}

// restoreStore restores the store after it was away for a time. What was lost is written again by those
// who wrote it, and entries of targets that have stopped expire.
func (s *system) restoreStore(copied metastore.Copy, copiedAt time.Time, away time.Duration) {
	if away > 0 {
		s.disturbStore(metastore.Faults{Silent: metastore.All}, Reset, away)
	}
	time.AfterFunc(away, func() {
		if s.versions != nil {
			s.versions.Lost(copiedAt)
		}
		s.store.Restore(copied)
	})
	time.AfterFunc(away+rewriteDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.putConfig()
	})
	time.AfterFunc(away+3*heartbeatInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, t := range s.allTargets {
			if t.heartbeatsStopped {
				s.store.Remove("servers", t.name)
			}
		}
	})
}
