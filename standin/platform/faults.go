package platform

import "time"

// AllReplies, passed to LoseReplies, drops the reply to every write.
const AllReplies = -1

// faults holds the injected faults. Store.mu guards it.
type faults struct {
	down           bool
	delay          time.Duration
	loseReplies    int
	staleRevisions int64
	cutOffZones    map[string]bool
}

func newFaults() faults { return faults{cutOffZones: map[string]bool{}} }

// setFaults changes the faults and wakes waiting watches, so that the faults apply
// to them immediately.
func (s *Store) setFaults(f func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	s.wakeWatches()
}

// Down turns an outage on or off: every call fails as Unavailable and takes no effect.
func (s *Store) Down(on bool) { s.setFaults(func(f *faults) { f.down = on }) }

// Slow delays every call by d before it takes effect; zero turns the delay off.
func (s *Store) Slow(d time.Duration) { s.setFaults(func(f *faults) { f.delay = d }) }

// LoseReplies drops the replies to the next n writes, which take effect
// nevertheless. AllReplies drops every reply, 0 none.
func (s *Store) LoseReplies(n int) { s.setFaults(func(f *faults) { f.loseReplies = n }) }

// CutOff turns a network partition between a zone and the platform on or off.
func (s *Store) CutOff(zone string, on bool) {
	s.setFaults(func(f *faults) { f.cutOffZones[zone] = on })
}

// StaleReads makes Get and List return the state of n revisions ago.
func (s *Store) StaleReads(n int64) { s.setFaults(func(f *faults) { f.staleRevisions = n }) }

// readRevision returns the revision that Get and List read.
func (s *Store) readRevision() int64 {
	return max(s.compacted, s.revision-s.faults.staleRevisions)
}

// loseReply reports whether to drop the reply to the write just made, and counts it.
func (s *Store) loseReply() bool {
	if s.faults.loseReplies == 0 {
		return false
	}
	if s.faults.loseReplies > 0 {
		s.faults.loseReplies--
	}
	return true
}
