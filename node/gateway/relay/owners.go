package relay

import (
	"context"
	"time"

	"heatherlock/node/gateway/planted"
	"heatherlock/steering/placement"
	"heatherlock/steering/queueowner"
	"heatherlock/steering/reach"
)

// maxOwnerConnections bounds the connections to one owner of targets. Each carries one request at a time, and
// a VM may have several hundred requests in flight.
const maxOwnerConnections = 256

// SetOwners sets the owners of targets; nil means that each VM sends its callers' requests itself. Requests that
// were passed on to earlier owners stay there.
func (f *Relay) SetOwners(o *queueowner.Owners) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Balancer.SetOwnersSince(time.Now())
	if o != nil {
		o.TakeOver(f.owners)
		f.cfg.Balancer.SetOwned(func(t placement.Target) bool { return o.Owns(t.Name, t.Zone) })
	} else {
		f.cfg.Balancer.SetOwned(nil)
	}
	f.owners = o
}

// planOwner finds out whether the request is to be passed on to the owner of its target. It must be called
// before the request is counted.
func (x *exchange) planOwner() {
	if x.hop != nil || x.f.cfg.Peers == nil || x.r.BodyRest != nil || planted.Defect == planted.NoHelpers {
		return
	}
	r := x.placementRequest()
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	o := x.f.owners
	if o == nil || !x.f.cfg.Balancer.HasOwners(now, r) {
		return
	}
	target, found := x.f.cfg.Balancer.Locate(now, r)
	if !found {
		return
	}
	owner, elsewhere := o.Elsewhere(now, target.Name, target.Zone)
	if !elsewhere {
		return
	}
	x.owner = &owner
}

// startAtOwner passes the request on to the owner of its target, and reports whether it did. It is tried once;
// then this VM sends the request itself.
func (x *exchange) startAtOwner(ctx context.Context) bool {
	owner := x.owner
	if owner == nil {
		return false
	}
	x.owner, x.passedToOwner = nil, true
	if x.helperResults == nil {
		x.helperResults = make(chan helperResult, maxHelpers+1)
	}
	x.attempts++
	x.running++
	x.atHelper = true
	x.startedAt = time.Now()
	x.helpers = append(x.helpers, owner.Name)
	x.history = append(x.history, tried{Helper: owner.Name, Zone: owner.Zone, AtMs: time.Since(x.r.Received).Milliseconds(), crossRegion: owner.Region != x.f.cfg.Region})
	x.f.cfg.Metrics.PassedToOwner()
	attempts := x.maxAttempts
	runAttempt(ctx, func() {
		x.attemptAtHelper(ctx, reach.Helper{VM: owner.Name, Incarnation: owner.Incarnation, Region: owner.Region, Address: owner.Address}, attempts, maxOwnerConnections)
	})
	return true
}
