package benchbalance

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	seq uint64 // events of equal times run in the order of scheduling
	fn  func()
}

// eventHeap is a heap ordered by time.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim is a discrete-event simulation. It runs events in the order of their times.
type sim struct {
	now    time.Duration
	events eventHeap
	seq    uint64
	rng    *rand.Rand
}

// epoch is the instant of simulated time 0. Pools take instants, not durations.
var epoch = time.Unix(0, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// after schedules f to run at d from now.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, fn: f})
}

// run runs all events up to the time until.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = until
}

// seeded returns a separate source of random numbers for each purpose, so that every strategy is
// simulated with the same arrivals and service times.
func seeded(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}
