package placement

import (
	"math"
	"sort"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

const (
	// overflowShare is the part of a service's requests that may run on the second
	// of their key's order while the first is full. It must stay small: a target
	// keeps few keys warm, and more copies of each key than that make every run a
	// cold one.
	overflowShare = 0.05
	// overflowBurst bounds what is saved of that share.
	overflowBurst = 3
	// mostColdOwners is how many entry VMs may send to one cold target, where the
	// slack of its bound covers their bursts of one request. Each has an equal part
	// of its rate.
	mostColdOwners = 3
	// coldUse is the part of a cold target's rate that is used, so that two views
	// of who lives may differ without exceeding it by much.
	coldUse = 0.75
	// minWait is the wait that is always allowed, as a share of the aim: about
	// half a warm service time.
	minWait = 0.3
	// urgentOnly is the part of the allowed wait that a kind of lower rank has
	// for each rank above 0, so that it is refused before a more urgent one is.
	urgentOnly = 0.85
	// shortestRetry and longestRetry bound Retry-After: a caller that comes back
	// sooner finds the same queue, and later it has mostly given up.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 2 * time.Second
)

// candidate is a target weighed for a request.
type candidate struct {
	state *state
	score float64
	rank  int
	wait  float64 // seconds
	cost  float64 // predicted time to the answer, seconds
	away  bool
}

// Choose returns the target of a request, or why there is none.
func (b *Balancer) Choose(now time.Time, r Request) (Pick, *Refusal) {
	v := b.service(r.Service)
	v.guess(r.Aim.Seconds())
	key := r.Key
	if key == "" {
		key = r.ID
	}
	keyHash := rendezvous.Hash(string(r.Service) + "\x00" + key)
	regions := b.regionsFor(r, keyHash, v)
	if len(regions) == 0 {
		return Pick{}, &Refusal{Reason: steering.ReasonNoTarget, RetryAfter: shortestRetry}
	}
	for _, region := range regions {
		found := b.order(now, v, r, region, keyHash)
		if len(found) == 0 {
			continue
		}
		pick, wait, ok := b.best(now, v, r, found)
		if ok {
			return pick, nil
		}
		return Pick{}, &Refusal{Reason: steering.ReasonNoSlot, RetryAfter: b.retryAfter(v, r, wait, keyHash), Wait: span(wait), Warm: v.warm()}
	}
	return Pick{}, &Refusal{Reason: steering.ReasonNoTarget, RetryAfter: shortestRetry}
}

// order returns the open targets of a region in the key's order, the ejected
// ones only when they are due a trial or when most look ejected.
func (b *Balancer) order(now time.Time, v *serviceState, r Request, region steering.Region, keyHash uint64) []candidate {
	var open []candidate
	ejected := 0
	for _, s := range v.targets {
		if s.Region != region || s.Closed || contains(r.Tried, s.Name) {
			continue
		}
		if b.passedOver(v, s) {
			ejected++
		}
		open = append(open, candidate{state: s, score: rendezvous.Score(keyHash, s.hash, float64(s.Slots)), away: region != b.region})
	}
	// With more than half in doubt the fault is more likely on the way there, or
	// in the evidence, than in all of them.
	trusting := ejected*2 > len(open)
	sort.Slice(open, func(i, j int) bool { return open[i].score > open[j].score })
	kept := open[:0]
	for rank, c := range open {
		c.rank = rank
		if trusting || !b.passedOver(v, c.state) || b.trialDue(now, c.state, r) {
			kept = append(kept, c)
		}
	}
	return kept
}

// passedOver reports whether a target is ejected or in a zone that is cut off.
func (b *Balancer) passedOver(v *serviceState, s *state) bool {
	return s.ejected || b.dark[s.Zone] && s.Zone != ""
}

// trialDue reports whether an ejected target is to be tried with this request.
func (b *Balancer) trialDue(now time.Time, s *state, r Request) bool {
	return r.Repeatable && s.ejected && !s.trying && !now.Before(s.tryAt) && !b.dark[s.Zone]
}

// best takes the first of the order that may be sent to, or the second where
// the first is full, the second idle and the share for that not used up.
func (b *Balancer) best(now time.Time, v *serviceState, r Request, order []candidate) (Pick, float64, bool) {
	shortest := math.Inf(1)
	weighed := 0
	for i := range order {
		c := &order[i]
		if c.state.cold(now) && !b.takesCold(now, c.state) {
			continue
		}
		b.predict(now, v, r, c)
		if weighed == 0 {
			shortest = c.wait
		}
		trial := c.state.ejected && b.trialDue(now, c.state, r)
		switch {
		case weighed == 0 && (trial || b.fits(v, r, c)):
			return c.pick(v), shortest, true
		case weighed == 1:
			if c.wait == 0 && b.fits(v, r, c) && v.overflow >= 1 {
				v.overflow--
				return c.pick(v), shortest, true
			}
			return Pick{}, shortest, false
		}
		weighed++
	}
	return Pick{}, shortest, false
}

// takesCold reports whether one more request may go to a cold target, and counts
// it.
func (b *Balancer) takesCold(now time.Time, s *state) bool {
	return b.ownsCold(s) && s.coldSpent.take(now, coldUse*s.ColdRate/float64(b.coldOwners))
}

func (c *candidate) pick(v *serviceState) Pick {
	return Pick{Target: c.state.Target, Expected: span(c.cost), Wait: span(c.wait), Warm: v.warm(), Rank: c.rank, Trial: c.state.ejected, Away: c.away}
}

// predict sets the wait and the time to the answer.
func (b *Balancer) predict(now time.Time, v *serviceState, r Request, c *candidate) {
	pace := b.pace(v, c.state)
	slots := float64(c.state.Slots)
	ahead := math.Max(0, c.state.load(now)+1-slots)
	c.wait = ahead / slots * pace
	c.cost = c.wait + pace
	if c.rank > 0 && !c.state.warmFor(now, r.Key) {
		c.cost += v.coldPenalty()
	}
}

// fits reports whether the answer is likely to come in time. The wait counts,
// not the run itself: a key's first run is cold and late by itself, and refusing
// it would keep the target cold for ever.
func (b *Balancer) fits(v *serviceState, r Request, c *candidate) bool {
	if r.Left > 0 && span(c.wait+v.fast) > r.Left {
		return false
	}
	if r.Aim <= 0 {
		return true
	}
	allowed := math.Max(r.Aim.Seconds()-v.fast, minWait*r.Aim.Seconds())
	allowed *= math.Pow(urgentOnly, float64(r.Rank))
	return c.wait <= allowed
}

// retryAfter says when the shortest queue is likely to have drained to half of
// what is allowed, spread by the key so that refused callers do not return
// together.
func (b *Balancer) retryAfter(v *serviceState, r Request, wait float64, keyHash uint64) time.Duration {
	if math.IsInf(wait, 1) {
		wait = v.mean
	}
	spread := 0.75 + 0.5*rendezvous.Unit(rendezvous.Mix(keyHash^rendezvous.Hash(r.ID)))
	return min(max(span(wait*spread), shortestRetry), longestRetry)
}

// ownsCold reports whether this entry VM may send to a cold target.
func (b *Balancer) ownsCold(s *state) bool {
	peers := b.peers[s.Region]
	if s.Region != b.region || len(peers) == 0 {
		return false
	}
	own := rendezvous.Score(rendezvous.Hash(string(b.vm)), s.hash, 1)
	ahead := 0
	for _, vm := range peers {
		if vm != b.vm && rendezvous.Score(rendezvous.Hash(string(vm)), s.hash, 1) > own {
			ahead++
		}
	}
	return ahead < b.coldOwners
}

func span(seconds float64) time.Duration {
	if math.IsInf(seconds, 1) {
		return longestRetry
	}
	return time.Duration(seconds * float64(time.Second))
}
