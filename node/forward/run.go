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

// run executes the request: in this zone, in another one when this zone
// refuses, and, when no zone takes it at once, by waiting longer here. It returns nil once an answer went to the caller.
func (x *exchange) run() *steering.Refusal {
	refusal := x.runHere()
	if refusal == nil || !x.maySpill(refusal) {
		return refusal
	}
	own := refusal
	refusal = x.spill(own)
	if refusal == nil || !waitingHelps(own.Reason) || !x.maySpill(refusal) {
		return refusal
	}
	x.patient = true
	return x.runHere()
}

// waitingHelps says whether a place that refused for a reason may still serve
// the request a little later.
func waitingHelps(reason steering.Reason) bool {
	return reason == steering.ReasonNoSlot || reason == steering.ReasonQueueFull || reason == steering.ReasonRampLimited
}

// runHere tries targets of this zone.
func (x *exchange) runHere() *steering.Refusal {
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

// tryOnce runs one try on a target of the places; refusal means that there was
// none.
func (x *exchange) tryOnce(places []steering.Place) (result ending, refusal *steering.Refusal) {
	verdict, refusal := x.f.suspects.Enter(x.ctx, x.mark)
	if refusal != nil {
		return ending{}, refusal
	}
	grant, permit, refusal := x.admitAny(x.ctx, places, verdict.Avoid)
	if refusal != nil {
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryNothing)
		return ending{}, refusal
	}
	if !x.fire(request.Send) {
		grant.Done(seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: -1, ReportedSlots: -1})
		permit.Done(false)
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryNothing)
		return ending{}, mayNotSend()
	}
	result = x.tryTarget(grant, permit, verdict)
	x.endTry(result)
	return result, nil
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
		if !passesElsewhere(refusal.Reason) {
			break
		}
	}
	return nil, nil, firstRefusal
}

// admit takes a slot and then the cap permits: a permit counts the start of a
// request, so nothing may wait between the two.
func (x *exchange) admit(ctx context.Context, place steering.Place, avoid []steering.Target) (seam.Grant, seam.CapPermit, *steering.Refusal) {
	grant, err := x.f.admitter.Acquire(ctx, seam.AdmitRequest{
		ID: x.id, Service: x.service.Name, Place: place, Deadline: x.deadline,
		Home: x.home, Foreign: x.origin == fromZone, Patient: x.patient, Avoid: append(avoid, x.tried...),
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
