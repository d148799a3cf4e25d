package platform

import (
	"maps"
	"time"
)

// Counts holds the numbers of received calls, including refused ones. A watch
// counts once, when it starts to wait.
type Counts struct {
	Total    int64
	ByOp     map[string]int64
	ByClient map[string]int64
	// Throttled is the number of calls refused by the rate limits.
	Throttled int64
}

// Second holds the numbers of calls received in one second.
type Second struct {
	At    time.Time
	Total int64
	ByOp  map[string]int64
}

// counters counts calls. Store.mu guards it.
type counters struct {
	counts  Counts
	seconds []Second
}

func newCounters() counters {
	return counters{counts: Counts{ByOp: map[string]int64{}, ByClient: map[string]int64{}}}
}

func (c *counters) countCall(op, client string, now time.Time) {
	c.counts.Total++
	c.counts.ByOp[op]++
	c.counts.ByClient[client]++
	at := now.Truncate(time.Second)
	if n := len(c.seconds); n == 0 || c.seconds[n-1].At.Before(at) {
		c.seconds = append(c.seconds, Second{At: at, ByOp: map[string]int64{}})
	}
	last := &c.seconds[len(c.seconds)-1]
	last.Total++
	last.ByOp[op]++
}

// Counts returns a copy of the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters.counts
	c.ByOp = maps.Clone(c.ByOp)
	c.ByClient = maps.Clone(c.ByClient)
	return c
}

// Seconds returns the counts of each second with at least one call, oldest first.
func (s *Store) Seconds() []Second {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := make([]Second, len(s.counters.seconds))
	for i, second := range s.counters.seconds {
		second.ByOp = maps.Clone(second.ByOp)
		seconds[i] = second
	}
	return seconds
}
