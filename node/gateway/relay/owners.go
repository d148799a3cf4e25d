package relay

import (
	"context"
	"time"

	"heatherlock/node/gateway/planted"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/queueowner"
	"heatherlock/steering/reach"
)

// maxOwnerConnections bounds the connections to one owner of targets. Each carries one request at a time, and
// a VM may have several hundred requests in flight.
const maxOwnerConnections = 256

// ownerTable holds the owners of targets, and the requests that were passed on to each.
type ownerTable struct {
	owners *queueowner.Owners
	// lost is closed, by owner, once the VM is no longer live.
	lost map[steering.VM]chan struct{}
}

// SetOwners sets the owners of targets; nil means that each VM sends its callers' requests itself. Requests that
// were passed on to a VM that is no longer live are given up: their connections may hang.
func (f *Relay) SetOwners(o *queueowner.Owners, live func(steering.VM) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o != nil {
		o.TakeOver(f.owners.owners)
		f.cfg.Balancer.SetOwned(func(t placement.Target) bool { return o.Owns(t.Name, t.Zone) })
	} else {
		f.cfg.Balancer.SetOwned(nil)
	}
	f.owners.owners = o
	for vm, lost := range f.owners.lost {
		if !live(vm) {
			close(lost)
			delete(f.owners.lost, vm)
		}
	}
}

// lostOwner returns a channel that is closed once an owner is no longer live. f.mu must be held.
func (t *ownerTable) lostOwner(vm steering.VM) <-chan struct{} {
	if t.lost == nil {
		t.lost = make(map[steering.VM]chan struct{})
	}
	if t.lost[vm] == nil {
		t.lost[vm] = make(chan struct{})
	}
	return t.lost[vm]
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
	o := x.f.owners.owners
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
	x.ownerLost = x.f.owners.lostOwner(owner.Name)
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
	// The context outlives the attempt, because a large response is still read from the owner after it.
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		select {
		case <-x.ownerLost:
			cancel()
		case <-ended:
		case <-ctx.Done():
		}
	}()
	attempts := x.maxAttempts
	runAttempt(ctx, func() {
		defer close(ended)
		x.attemptAtHelper(ctx, reach.Helper{VM: owner.Name, Region: owner.Region, Address: owner.Address}, attempts, maxOwnerConnections)
	})
	return true
}
