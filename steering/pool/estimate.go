package pool

import (
	"time"

	"heatherlock/steering"
)

// serviceTimes estimates how long requests hold a slot.
type serviceTimes struct {
	mean   float64 // nanoseconds; determines the throughput
	median float64 // nanoseconds; estimates the duration of a single request
}

const (
	meanWeight = 1.0 / 32
	// medianStep is the fraction by which one sample moves the median.
	medianStep = 1.0 / 32
	minMedian  = float64(10 * time.Microsecond)
)

func newServiceTimes(first time.Duration) serviceTimes {
	return serviceTimes{mean: float64(first), median: float64(first)}
}

// add records one sample. The median is tracked in addition to the mean, because with the mean
// alone, a few uploads that take a minute would cause every short request of the same service to be
// refused if its deadline is shorter than the mean.
func (s *serviceTimes) add(d time.Duration) {
	x := float64(d)
	s.mean += (x - s.mean) * meanWeight
	step := s.median * medianStep
	if x > s.median {
		s.median += step
	} else {
		s.median = max(minMedian, s.median-step)
	}
}

func (s *serviceTimes) typical() time.Duration {
	return time.Duration(min(s.median, s.mean))
}

// targetMeanWeight is larger than meanWeight, because one target gets fewer samples than the whole
// pool.
const targetMeanWeight = 1.0 / 8

// failurePenalty is how many mean service times a failed request counts as. A target that fails
// every request at once always has the fewest requests in flight and would look like the fastest,
// so that it would get most requests and the failure rate would rise. With the penalty, it looks
// slow.
const failurePenalty = 10

func (t *target) addServiceTime(d time.Duration) {
	t.serviceTime += (float64(d) - t.serviceTime) * targetMeanWeight
}

const (
	// decayInterval and decayWeight move the mean service time of a target towards that of the
	// pool, so that a target that was slow once is tried again.
	decayInterval = time.Second
	decayWeight   = 1.0 / 16
)

// decayServiceTimes moves the targets' mean service times towards that of the pool, once every
// decayInterval.
func (p *Pool) decayServiceTimes(at instant) {
	if at < p.nextDecayAt {
		return
	}
	p.nextDecayAt = at + decayInterval
	for i := range p.targets {
		t := &p.targets[i]
		t.serviceTime += (p.times.mean - t.serviceTime) * decayWeight
	}
}

// waitFor estimates how long a new request of a rank would wait for a slot: the time in which the
// pool serves all requests queued ahead of it and the request itself.
func (p *Pool) waitFor(rank int) time.Duration {
	ahead := 0
	for r := 0; r <= rank; r++ {
		ahead += len(p.queues[r])
	}
	return time.Duration(float64(ahead+1) * p.times.mean / float64(p.workingSlots()))
}

// workingSlots returns how many requests can run at once, at least one.
func (p *Pool) workingSlots() int {
	return max(1, min(p.slots, p.ceiling))
}

// maxWait returns the bound on a request's wait, or zero if only the deadline bounds it.
func (p *Pool) maxWait(at instant, r *Request) time.Duration {
	bound := p.cfg.MaxWait
	if r.CrossZone {
		bound = p.cfg.CrossZoneMaxWait
	}
	if p.cfg.WaitPart == 0 || r.NoAlternative && !p.standing(at) {
		return bound
	}
	relative := max(p.cfg.MinWait, time.Duration(p.cfg.WaitPart*p.times.mean))
	if bound == 0 {
		return relative
	}
	return min(bound, relative)
}

// standing reports whether the queue is a standing queue; see Config.StandingAfter.
func (p *Pool) standing(at instant) bool {
	return p.queued > 0 && at-p.lastEmptyAt > p.cfg.StandingAfter
}

func (p *Pool) queueLimit() int {
	return int(p.cfg.QueuePerSlot * float64(p.workingSlots()))
}

func (p *Pool) refuse(at instant, reason steering.Reason, wait time.Duration) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: p.retryAfter(at, wait)}
}

// retryAfter returns when a refused caller should retry.
//
// If all refused callers got the same time, they would retry in one burst and be refused again.
// Each refusal therefore delays the next caller's time by what the pool needs to serve one request,
// so that callers return at the rate at which the pool can serve them.
func (p *Pool) retryAfter(at instant, wait time.Duration) time.Duration {
	interval := time.Duration(p.times.mean / float64(p.workingSlots()))
	earliest := at + max(wait, minRetryAfter)
	p.lastRetryAt = max(p.lastRetryAt+interval, earliest)
	if p.lastRetryAt > at+p.cfg.RetryAfterMax {
		p.lastRetryAt = earliest
	}
	return min(p.lastRetryAt-at, p.cfg.RetryAfterMax)
}

// refuseUnservable refuses a request because every target is stopped or none is declared.
func (p *Pool) refuseUnservable() Decision {
	reason := steering.ReasonNoTarget
	for i := range p.targets {
		if p.targets[i].declared {
			reason = steering.ReasonStopped
		}
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: p.cfg.RetryAfterMax}
}
