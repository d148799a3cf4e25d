package placement

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

const (
	// overflowRate is the share of a service's requests that may run on the second target of their
	// key's order while the first is full. It must stay small: a target keeps few keys warm, and
	// with more copies of each key than that every request runs cold.
	overflowRate = 0.05
	// overflowBurst is the largest number of such requests that can be saved up.
	overflowBurst = 3
	// maxColdSenders is the largest number of entry VMs that may send to one cold target. Each has
	// an equal part of the target's cold rate and can send a burst of one request, which the slack
	// of the target's limit has to cover.
	maxColdSenders = 3
	// coldRateUse is the part of a cold target's rate that is used, so that entry VMs with
	// different lists of live peers do not exceed the rate by much.
	coldRateUse = 0.75
	// minWaitShare is the wait that is always allowed, as a share of the latency objective; it is
	// about half of a service time for a warm key.
	minWaitShare = 0.3
	// rankWaitFactor shortens the allowed wait for each rank above 0, so that requests of a lower
	// priority are refused before those of a higher one.
	rankWaitFactor = 0.85
	// minRetryAfter and maxRetryAfter limit Retry-After. A caller that retries sooner finds the
	// same queue; after a longer delay most callers have timed out.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// candidate is a target that is considered for a request.
type candidate struct {
	targetState *targetState
	rank        int
	wait        float64 // seconds
	cost        float64 // predicted time until the answer, seconds
	crossRegion bool
	prediction  *runPrediction // nil unless the run time is predicted by route
}

// Choose returns the target for a request, or the reason why there is none.
func (b *Balancer) Choose(now time.Time, r Request) (Pick, *Refusal) {
	v := b.service(r.Service)
	v.setDefaults(r.Aim.Seconds())
	v.routes.record(now, r)
	if r.MaxQueue == 0 {
		r.MaxQueue = b.maxQueue(now, v, r)
	}
	key := r.Key
	if key == "" {
		key = r.ID
	}
	keyHash := rendezvous.Hash(string(r.Service) + "\x00" + key)
	regions := b.regionsFor(r, keyHash, v)
	if len(regions) == 0 {
		return Pick{}, &Refusal{Reason: steering.ReasonNoTarget, RetryAfter: minRetryAfter}
	}
	for _, region := range regions {
		order := b.orderOf(v, r, region, keyHash)
		pick, wait, ok := b.best(now, v, r, order)
		if ok {
			return pick, nil
		}
		if order.passed && order.endsLate {
			return Pick{}, &Refusal{Reason: steering.ReasonShuttingDown, RetryAfter: minRetryAfter, Wait: span(wait), WarmRunTime: b.warmRunTime(now, v, r)}
		}
		if order.passed {
			return Pick{}, &Refusal{Reason: steering.ReasonNoSlot, RetryAfter: b.retryAfter(v, r, order.waitFor(now, wait), keyHash), Wait: span(wait), TooSlow: order.tooSlow,
				WarmRunTime: b.warmRunTime(now, v, r), Room: b.roomAt(now, v, r, order.first, wait)}
		}
	}
	return Pick{}, &Refusal{Reason: steering.ReasonNoTarget, RetryAfter: minRetryAfter}
}

// excluded reports whether a target is ejected or in an unreachable zone.
func (b *Balancer) excluded(v *serviceState, s *targetState) bool {
	return s.ejected || b.unreachable[s.Zone] && s.Zone != ""
}

// probeDue reports whether an ejected target may be probed with this request.
func (b *Balancer) probeDue(now time.Time, s *targetState, r Request) bool {
	return r.Retryable && s.ejected && !s.probing && !now.Before(s.probeAt) && !b.unreachable[s.Zone]
}

// best returns the first target of the order that accepts the request. Cold targets to which this
// entry VM may not send now are skipped. If the first one is full, the second is used if it is idle
// and an overflow token is left. The second result is the predicted wait at the first target, in
// seconds; infinite if no target was considered.
func (b *Balancer) best(now time.Time, v *serviceState, r Request, order *keyOrder) (Pick, float64, bool) {
	shortest := math.Inf(1)
	considered := 0
	var first *candidate
	for c := order.next(now); c != nil; c = order.next(now) {
		if until := b.notices.closedUntil(now, c.targetState, order.key); until.After(now) {
			order.skipUntil(until)
			continue
		}
		if c.targetState.cold(now) && !b.takeColdToken(now, c.targetState) {
			continue
		}
		b.predict(now, v, r, c)
		if considered == 0 {
			b.discountOldReport(now, v, r, c)
			shortest, first, order.first = c.wait, c, c.targetState
			order.tooSlow, order.endsLate = c.tooSlow(r), !c.endsBeforeStop(r)
		}
		probe := c.targetState.ejected && b.probeDue(now, c.targetState, r)
		switch {
		case considered == 0 && (probe || b.fits(now, v, r, c)):
			return b.pick(now, v, r, c, nil, order), shortest, true
		case considered == 1:
			if c.wait == 0 && b.fits(now, v, r, c) && v.overflowTokens >= 1 && !c.endsAtFirst(r, first) {
				v.overflowTokens--
				return b.pick(now, v, r, c, first, order), shortest, true
			}
			return Pick{}, shortest, false
		}
		considered++
	}
	return Pick{}, shortest, false
}

// takeColdToken reports whether one more request may go to a cold target, and counts it.
func (b *Balancer) takeColdToken(now time.Time, s *targetState) bool {
	if b.owned != nil && s.service.hasOwners(now) {
		return b.owned(s.Target) && s.coldTokens.take(now, coldRateUse*s.ColdRate)
	}
	return b.maySendCold(s) && s.coldTokens.take(now, coldRateUse*s.ColdRate/float64(b.coldSenders))
}

func (b *Balancer) pick(now time.Time, v *serviceState, r Request, c, passed *candidate, order *keyOrder) Pick {
	b.noteRank(now, v, c)
	return Pick{Target: c.targetState.Target, Expected: span(c.cost), Wait: span(c.wait), WarmRunTime: b.warmRunTime(now, v, r), HedgeAfter: b.hedgeAfter(now, v, r, c, passed, order), Rank: c.rank, Trial: c.targetState.ejected, Cold: c.targetState.cold(now), OtherRegion: c.crossRegion,
		Limit: b.notices.limitOf(c.targetState.Target)}
}

// predict sets the predicted wait and time until the answer of a candidate.
func (b *Balancer) predict(now time.Time, v *serviceState, r Request, c *candidate) {
	slotTime := b.slotTime(v, c.targetState)
	slots := float64(c.targetState.Slots)
	ahead := math.Max(0, c.targetState.load(now)+1-slots)
	c.wait = ahead / slots * slotTime
	c.cost = c.wait + slotTime
	if c.rank > 0 && !c.targetState.warmFor(now, r.Key) {
		c.cost += v.coldPenalty()
	}
	if v.uneven(now) {
		b.predictRun(now, v, r, c)
	}
}

// fits reports whether the answer is likely to arrive in time. Only the wait is compared with the
// latency objective, not the run itself: the first request for a key runs cold and misses the
// objective anyway, and refusing it would keep the target cold forever.
func (b *Balancer) fits(now time.Time, v *serviceState, r Request, c *candidate) bool {
	if !c.endsBeforeStop(r) {
		return false
	}
	if c.prediction != nil {
		return b.fitsRun(now, v, r, c)
	}
	if r.TimeLeft > 0 && span(c.wait+v.warmTime) > r.TimeLeft {
		return false
	}
	if r.Aim <= 0 {
		return r.MaxQueue <= 0 || c.wait <= r.MaxQueue.Seconds()
	}
	allowed := math.Max(r.Aim.Seconds()-v.warmTime, minWaitShare*r.Aim.Seconds())
	allowed *= math.Pow(rankWaitFactor, float64(r.Rank))
	return c.wait <= b.allowedWait(now, v, r, c, allowed)
}

// endsBeforeStop reports whether a request is likely to end before the VM that has it stops. A run that must not
// be repeated is lost if it is broken off, so that it needs time for the 90th percentile where that is known.
func (c *candidate) endsBeforeStop(r Request) bool {
	if r.StopsIn <= 0 {
		return true
	}
	end := span(c.cost)
	if c.prediction != nil && !r.Retryable {
		end = span(c.wait) + c.prediction.run.P90
	}
	return end <= r.StopsIn
}

// retryAfter returns when the shortest queue is likely to have drained to about half of the allowed
// wait. It is varied by the hash of key and request ID, so that refused callers do not all return
// at the same time.
func (b *Balancer) retryAfter(v *serviceState, r Request, wait float64, keyHash uint64) time.Duration {
	if math.IsInf(wait, 1) {
		wait = v.meanRun()
	}
	spread := 0.75 + 0.5*rendezvous.Unit(rendezvous.Mix(keyHash^rendezvous.Hash(r.ID)))
	return min(max(span(wait*spread), minRetryAfter), maxRetryAfter)
}

// maySendCold reports whether this entry VM is one of those that may send to a cold target.
func (b *Balancer) maySendCold(s *targetState) bool {
	if s.Region != b.region || b.peers[s.Region] == nil {
		return false
	}
	if s.coldSenderVersion != b.peersVersion {
		s.coldSender, s.coldSenderVersion = b.isColdSender(s), b.peersVersion
	}
	return s.coldSender
}

// isColdSender reports whether this entry VM is among the first coldSenders of its region in the
// order of a target.
func (b *Balancer) isColdSender(s *targetState) bool {
	own := rendezvous.Mix(rendezvous.Hash(string(b.vm)) ^ s.hash)
	ahead := 0
	for _, peer := range b.peers[s.Region] {
		if rendezvous.Mix(peer^s.hash) > own {
			ahead++
		}
	}
	return ahead < b.coldSenders
}

func span(seconds float64) time.Duration {
	if math.IsInf(seconds, 1) {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
