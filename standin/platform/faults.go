package platform

import "time"

// AllReplies makes LoseReplies lose the reply to every write.
const AllReplies = -1

// faults holds the switches; Store.mu guards it.
type faults struct {
	down  bool
	slow  time.Duration
	lose  int
	stale int64
	cut   map[string]bool
}

func newFaults() faults { return faults{cut: map[string]bool{}} }

// set changes the switches and wakes waiting watches, which then notice.
func (s *Store) set(f func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	s.wake()
}

// Down makes every call fail as Unavailable, before any effect.
func (s *Store) Down(on bool) { s.set(func(f *faults) { f.down = on }) }

// Slow holds every call back for d before it takes effect.
func (s *Store) Slow(d time.Duration) { s.set(func(f *faults) { f.slow = d }) }

// LoseReplies drops the replies to the next n writes after they took effect;
// AllReplies drops every one and 0 drops no more.
func (s *Store) LoseReplies(n int) { s.set(func(f *faults) { f.lose = n }) }

// CutOff breaks or heals the connection between a zone and the platform.
func (s *Store) CutOff(zone string, on bool) { s.set(func(f *faults) { f.cut[zone] = on }) }

// StaleReads makes Get and List answer as of n revisions ago.
func (s *Store) StaleReads(n int64) { s.set(func(f *faults) { f.stale = n }) }

// readRevision is the revision that a read sees.
func (s *Store) readRevision() int64 {
	return max(s.compacted, s.revision-s.faults.stale)
}

// loseReply tells whether the reply to the write just made is lost.
func (s *Store) loseReply() bool {
	if s.faults.lose == 0 {
		return false
	}
	if s.faults.lose > 0 {
		s.faults.lose--
	}
	return true
}
