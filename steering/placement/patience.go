package placement

import "time"

const (
	// deadlinesKept bounds the usual deadlines that are learned a route.
	deadlinesKept = 32
	// usualShare is the share of requests that makes a deadline a usual one.
	usualShare = 0.05
	// patienceMemory is how many requests are looked back on.
	patienceMemory = 512
)

// Patience learns how long callers of a route usually wait in all, and from that
// how long the caller of a request has waited already. A caller that comes back
// states the time that it has left; callers of one kind begin with one of a few
// deadlines, so one that is short of the next usual one by some odd time has
// waited that long. Values in between are never usual: they differ by chance.
//
// It is not safe for concurrent use.
type Patience struct {
	counts map[time.Duration]float64
	total  float64
}

// Waited notes a request's deadline and returns how long its caller has waited
// already, 0 if that is not known.
func (p *Patience) Waited(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	p.note(deadline)
	if p.usual(deadline) {
		return 0
	}
	next := time.Duration(0)
	for d := range p.counts {
		if d > deadline && p.usual(d) && (next == 0 || d < next) {
			next = d
		}
	}
	if next == 0 {
		return 0
	}
	return next - deadline
}

func (p *Patience) usual(d time.Duration) bool { return p.counts[d] >= usualShare*p.total }

// note counts a deadline, and forgets what is rare when there are too many.
func (p *Patience) note(deadline time.Duration) {
	if p.counts == nil {
		p.counts = make(map[time.Duration]float64)
	}
	p.counts[deadline]++
	p.total++
	if len(p.counts) > deadlinesKept {
		for d := range p.counts {
			if p.counts[d]--; p.counts[d] <= 0 {
				delete(p.counts, d)
			}
		}
	}
	if p.total > patienceMemory {
		p.total /= 2
		for d := range p.counts {
			p.counts[d] /= 2
		}
	}
}
