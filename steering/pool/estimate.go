package pool

import (
	"time"

	"heatherlock/steering"
)

// serviceTimes tracks how long slots are held.
type serviceTimes struct {
	mean   float64 // nanoseconds; decides throughput
	median float64 // nanoseconds; decides what one request will take
}

const (
	meanWeight = 1.0 / 32
	// medianStep moves the median by this part of itself per sample.
	medianStep = 1.0 / 32
	minMedian  = float64(10 * time.Microsecond)
)

func newServiceTimes(first time.Duration) serviceTimes {
	return serviceTimes{mean: float64(first), median: float64(first)}
}

// add takes one sample. The median is kept apart from the mean: a few uploads
// of a minute would otherwise refuse every short request of the same service
// whose deadline is shorter than the mean.
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

// targetWeight is larger than meanWeight, because one target gets fewer
// samples than the pool.
const targetWeight = 1.0 / 8

// failurePenalty is how many mean service times a failure counts for. A target
// that fails each request at once always has the fewest in flight and looks
// fastest; most requests would go to it, and the rate of failures would show
// it. The penalty makes it look slow.
const failurePenalty = 10

func (t *target) addServiceTime(d time.Duration) {
	t.serviceTime += (float64(d) - t.serviceTime) * targetWeight
}

const (
	// leanEvery and leanWeight pull what is known of a target's speed towards
	// the pool's mean, so that one that was slow once is tried again.
	leanEvery  = time.Second
	leanWeight = 1.0 / 16
)

// lean lets what is known of the targets' speeds fade.
func (p *Pool) lean(at instant) {
	if at < p.leanAt {
		return
	}
	p.leanAt = at + leanEvery
	for i := range p.targets {
		t := &p.targets[i]
		t.serviceTime += (p.times.mean - t.serviceTime) * leanWeight
	}
}

// waitFor estimates how long a new request of a rank would wait for a slot:
// everything queued ahead of it and itself, at the pool's throughput.
func (p *Pool) waitFor(rank int) time.Duration {
	ahead := 0
	for r := 0; r <= rank; r++ {
		ahead += len(p.queues[r])
	}
	return time.Duration(float64(ahead+1) * p.times.mean / float64(p.workingSlots()))
}

// workingSlots is how many requests can run at once, at least one.
func (p *Pool) workingSlots() int {
	return max(1, min(p.slots, p.ceiling))
}

// maxWait returns the bound on the wait, or zero when there is none but the
// deadline.
func (p *Pool) maxWait(at instant, r *Request) time.Duration {
	bound := p.cfg.MaxWait
	if r.Foreign {
		bound = p.cfg.ForeignMaxWait
	}
	if p.cfg.WaitPart == 0 || r.Patient && !p.standing(at) {
		return bound
	}
	part := max(p.cfg.MinWait, time.Duration(p.cfg.WaitPart*p.times.mean))
	if bound == 0 {
		return part
	}
	return min(bound, part)
}

// standing says whether the queue has not been empty for long.
func (p *Pool) standing(at instant) bool {
	return p.queued > 0 && at-p.emptyAt > p.cfg.StandingAfter
}

func (p *Pool) queueLimit() int {
	return int(p.cfg.QueuePerSlot * float64(p.workingSlots()))
}

func (p *Pool) refuse(at instant, reason steering.Reason, wait time.Duration) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: p.comeBack(at, wait)}
}

// comeBack returns when a refused caller should try again.
//
// If all refused callers were told the same time, they would return as one
// burst and be refused again. Each refusal therefore pushes the next caller's
// time on by what one slot needs, so that they return at the pool's own pace.
func (p *Pool) comeBack(at instant, wait time.Duration) time.Duration {
	pace := time.Duration(p.times.mean / float64(p.workingSlots()))
	earliest := at + max(wait, minRetryAfter)
	p.returns = max(p.returns+pace, earliest)
	if p.returns > at+p.cfg.RetryAfterMax {
		p.returns = earliest
	}
	return min(p.returns-at, p.cfg.RetryAfterMax)
}

// refuseUnservable refuses a request that no declared target may serve.
func (p *Pool) refuseUnservable() Decision {
	reason := steering.ReasonNoTarget
	for i := range p.targets {
		if p.targets[i].declared {
			reason = steering.ReasonStopped
		}
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: p.cfg.RetryAfterMax}
}
