package forward

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// run executes the request: in this zone, and in another one when this zone
// refuses. It returns nil once an answer went to the caller.
func (x *exchange) run() *steering.Refusal {
	if refusal := x.f.suspects.Check(x.key, x.fingerprint, x.started); refusal != nil {
		return refusal
	}
	refusal := x.runHere()
	if refusal == nil || !x.maySpill(refusal) {
		return refusal
	}
	return x.spill(refusal)
}

// runHere tries targets of this zone.
func (x *exchange) runHere() *steering.Refusal {
	places, refusal := x.localPlaces()
	if refusal != nil {
		return refusal
	}
	if x.origin != fromZone {
		x.f.retries.FirstTry(x.service, x.started)
	}
	for {
		grant, permit, refusal := x.admitAny(places)
		if refusal != nil {
			return refusal
		}
		result := x.tryTarget(grant, permit)
		if result.relayed() {
			return nil
		}
		x.worsen(result.refusal.Ran)
		if !x.mayRetry(result.refusal) {
			return result.refusal
		}
	}
}

// localPlaces returns the places of this zone that serve the request, the one
// to ask first in front.
func (x *exchange) localPlaces() ([]steering.Place, *steering.Refusal) {
	known := x.f.local.places(x.snapshot, x.service.Name)
	if x.origin == fromZone {
		if !slices.Contains(known, x.place) {
			return nil, steering.Refuse(steering.ReasonNoTarget, 0, "place "+string(x.place)+" has no target for the service in this zone")
		}
		return []steering.Place{x.place}, nil
	}
	switch len(known) {
	case 0:
		return nil, steering.Refuse(steering.ReasonNoTarget, 0, "no place of this zone has a target for the service")
	case 1:
		return known, nil
	}
	return x.byPreference(known), nil
}

// byPreference puts the caller's home first and orders the rest by free slots.
func (x *exchange) byPreference(known []steering.Place) []steering.Place {
	ordered := slices.Clone(known)
	rank := func(p steering.Place) int {
		if p == x.home {
			return int(^uint(0) >> 1)
		}
		free, _ := x.f.admitter.Headroom(p, x.service.Name)
		return free
	}
	slices.SortStableFunc(ordered, func(a, b steering.Place) int { return rank(b) - rank(a) })
	return ordered
}

// admitAny asks the places in turn and returns the first one's refusal when
// none admits.
func (x *exchange) admitAny(places []steering.Place) (seam.Grant, seam.CapPermit, *steering.Refusal) {
	var firstRefusal *steering.Refusal
	for _, place := range places {
		grant, permit, refusal := x.admit(place)
		if refusal == nil {
			return grant, permit, nil
		}
		if firstRefusal == nil {
			firstRefusal = refusal
		}
		if !passesElsewhere(refusal.Reason) {
			break
		}
	}
	return nil, nil, firstRefusal
}

// admit takes a slot and then the cap permits: a permit counts the start of a
// request, so nothing may wait between the two.
func (x *exchange) admit(place steering.Place) (seam.Grant, seam.CapPermit, *steering.Refusal) {
	grant, err := x.f.admitter.Acquire(x.ctx, seam.AdmitRequest{
		ID: x.id, Service: x.service.Name, Place: place, Deadline: x.deadline,
		Home: x.home, Foreign: x.origin == fromZone, Avoid: x.tried,
	})
	if err != nil {
		return nil, nil, asRefusal(err)
	}
	permit, err := x.f.caps.Admit(x.ctx, x.service.Name, x.home, place)
	if err != nil {
		grant.Done(seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: -1, ReportedSlots: -1})
		return nil, nil, asRefusal(err)
	}
	return grant, permit, nil
}

// asRefusal returns the refusal in err. Any other error of a part that admits
// means that nothing was sent.
func asRefusal(err error) *steering.Refusal {
	var refusal *steering.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return steering.Refuse(steering.ReasonNoSlot, time.Second, err.Error())
}

// passesElsewhere reports the reasons that speak about one place and not about
// the request.
func passesElsewhere(reason steering.Reason) bool {
	switch reason {
	case steering.ReasonNoTarget, steering.ReasonStopped, steering.ReasonQueueFull, steering.ReasonNoSlot,
		steering.ReasonLinkFull, steering.ReasonCapReached, steering.ReasonRampLimited, steering.ReasonShed,
		steering.ReasonTargetFailed, steering.ReasonPeerDown:
		return true
	}
	return false
}

// mayRetry decides whether a try that brought no answer is followed by another
// one. Only the entry VM that first got the request retries, once.
func (x *exchange) mayRetry(refusal *steering.Refusal) bool {
	if x.retryAhead {
		x.retryAhead = false
		return true
	}
	switch refusal.Reason {
	case steering.ReasonShed, steering.ReasonTargetFailed, steering.ReasonTargetDied,
		steering.ReasonAnswerCut, steering.ReasonAnswerCrossed:
	default:
		return false
	}
	if refusal.Ran != steering.RanNo && x.atMostOnce {
		return false
	}
	return x.allowRetry(refusal.Reason)
}

// worthRepeating reports a failure answer for which another target is tried
// instead; the retry is then taken out of the budget.
func (x *exchange) worthRepeating(status int) bool {
	switch status {
	case 502, 503, 504:
	default:
		return false
	}
	x.retryAhead = !x.atMostOnce && x.allowRetry(steering.ReasonTargetFailed)
	return x.retryAhead
}

func (x *exchange) allowRetry(reason steering.Reason) bool {
	if x.origin == fromZone || x.retried || !x.bodyUntouched() || x.remaining() <= 0 {
		return false
	}
	if !x.f.retries.Allow(x.service, time.Now()) {
		x.f.counters.retry(steering.ReasonRetryBudget)
		return false
	}
	x.retried = true
	x.f.counters.retry(reason)
	return true
}

func (x *exchange) bodyUntouched() bool {
	return x.body == nil || x.body.ahead || !x.body.begun.Load()
}
