package forward

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/request"
	"heatherlock/steering/routing"
)

// run executes the request in this zone and, if this zone refuses, in another one. If no zone
// accepts it at once, run waits longer for a slot in this zone. It returns nil once a response was
// sent to the caller.
func (x *exchange) run() *steering.Refusal {
	refusal := x.runInZone()
	if refusal == nil || !x.maySpillOver(refusal) {
		return refusal
	}
	own := refusal
	refusal = x.spillOver(own)
	if refusal == nil || !waitingHelps(own.Reason) || !x.maySpillOver(refusal) {
		return refusal
	}
	x.waitLonger = true
	return x.runInZone()
}

// waitingHelps reports whether a place that refused for a reason may be able to serve the request a
// little later.
func waitingHelps(reason steering.Reason) bool {
	return reason == steering.ReasonNoSlot || reason == steering.ReasonQueueFull || reason == steering.ReasonRampLimited
}

// runInZone tries targets of this zone, with a retry if it is allowed.
func (x *exchange) runInZone() *steering.Refusal {
	places, refusal := x.localPlaces()
	if refusal != nil {
		return refusal
	}
	for {
		result, refusal := x.tryOnce(places)
		if refusal != nil {
			return refusal
		}
		if result.relayed() {
			return nil
		}
		if !x.mayRetry(result.refusal) {
			return result.refusal
		}
	}
}

// tryOnce runs one try on a target of the places. If refusal is not nil, no try was made.
func (x *exchange) tryOnce(places []steering.Place) (result tryResult, refusal *steering.Refusal) {
	verdict, refusal := x.f.suspects.Begin(x.ctx, x.mark)
	if refusal != nil {
		return tryResult{}, refusal
	}
	grant, permit, refusal := x.admitAny(x.ctx, places, verdict.Avoid)
	if refusal != nil {
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryInconclusive)
		return tryResult{}, refusal
	}
	if !x.fire(request.Send) {
		grant.Done(seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: -1, ReportedSlots: -1})
		permit.Done(false)
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryInconclusive)
		return tryResult{}, noFurtherTry()
	}
	result = x.tryTarget(grant, permit, verdict)
	x.recordTryEnd(result)
	return result, nil
}

// localPlaces returns the places of this zone that serve the request, in the order in which to ask
// them.
func (x *exchange) localPlaces() ([]steering.Place, *steering.Refusal) {
	known := x.f.local.places(x.snapshot, x.service.Name)
	if x.origin == originSpillover {
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

// byPreference puts the caller's home first and orders the other places by free slots, most first.
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

// admitAny asks the places in order until one admits the request. If none does, it returns the
// refusal of the first place.
func (x *exchange) admitAny(ctx context.Context, places []steering.Place, avoid []steering.Target) (seam.Grant, seam.CapPermit, *steering.Refusal) {
	var firstRefusal *steering.Refusal
	for _, place := range places {
		grant, permit, refusal := x.admit(ctx, place, avoid)
		if refusal == nil {
			return grant, permit, nil
		}
		if firstRefusal == nil {
			firstRefusal = refusal
		}
		if !isPlaceSpecific(refusal.Reason) {
			break
		}
	}
	return nil, nil, firstRefusal
}

// admit acquires a slot and then a cap permit, in this order, because a permit counts the start of
// a request: nothing may wait between permit and start.
func (x *exchange) admit(ctx context.Context, place steering.Place, avoid []steering.Target) (seam.Grant, seam.CapPermit, *steering.Refusal) {
	grant, err := x.f.admitter.Acquire(ctx, seam.AdmitRequest{
		ID: x.id, Service: x.service.Name, Place: place, Deadline: x.deadline,
		Home: x.home, CrossZone: x.origin == originSpillover, NoAlternative: x.waitLonger, Avoid: append(avoid, x.tried...),
	})
	if err != nil {
		return nil, nil, asRefusal(err)
	}
	permit, err := x.f.caps.Admit(ctx, x.service.Name, x.home, place)
	if err != nil {
		grant.Done(seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: -1, ReportedSlots: -1})
		return nil, nil, asRefusal(err)
	}
	return grant, permit, nil
}

// asRefusal returns the refusal in err. Any other error of a component that admits requests means
// that nothing was sent.
func asRefusal(err error) *steering.Refusal {
	var refusal *steering.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return steering.Refuse(steering.ReasonNoSlot, time.Second, err.Error())
}

// isPlaceSpecific reports whether a refusal reason concerns one place and not the request itself.
func isPlaceSpecific(reason steering.Reason) bool {
	switch reason {
	case steering.ReasonNoTarget, steering.ReasonStopped, steering.ReasonQueueFull, steering.ReasonNoSlot,
		steering.ReasonLinkFull, steering.ReasonCapReached, steering.ReasonRampLimited, steering.ReasonShed,
		steering.ReasonTargetFailed, steering.ReasonPeerUnreachable:
		return true
	}
	return false
}
