package benchbalance

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64 // equal times happen in order of scheduling
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].order < h[b].order
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim runs events in order of time.
type sim struct {
	now    time.Duration
	events eventHeap
	order  uint64
	rng    *rand.Rand
}

// epoch turns simulated time into the instants that pools take.
var epoch = time.Unix(0, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// after schedules f.
func (s *sim) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + d, order: s.order, do: f})
}

// run runs events until the time is up.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// seeded returns a source of random numbers of its own for each purpose, so
// that every way meets the same arrivals and service times.
func seeded(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}
