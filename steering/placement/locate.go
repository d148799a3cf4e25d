package placement

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// Locate returns the target at which a request would be placed if all targets had room: the first of its
// key's order that takes requests. found is false if there is none.
func (b *Balancer) Locate(now time.Time, r Request) (t Target, found bool) {
	v := b.service(r.Service)
	key := r.Key
	if key == "" {
		key = r.ID
	}
	keyHash := rendezvous.Hash(string(r.Service) + "\x00" + key)
	for _, region := range b.regionsFor(r, keyHash, v) {
		order := b.orderOf(v, r, region, keyHash)
		for c := order.next(now); c != nil; c = order.next(now) {
			if !b.notices.closedUntil(now, c.targetState, order.key).After(now) {
				return c.targetState.Target, true
			}
		}
	}
	return Target{}, false
}

// settledOwners is how long the owners of targets have to be the same before they are used for a service of which only few
// requests are known. A VM that has just started hears the others one after another, and what it passes on to one
// that is the owner for a moment may be broken off.
const settledOwners = 2 * time.Second

// SetOwnersSince sets since when the owners of targets are the same as seen by this VM.
func (b *Balancer) SetOwnersSince(at time.Time) { b.ownersSince = at }

// HasOwners reports whether the targets of a request's service have owners, and counts the request's route.
//
// The first requests go through owners as well, as soon as routes that differ are seen. A VM that sends them itself knows no
// load by others until runs have ended, so that all VMs together overfill a region with few targets; once they change to
// owners, these refuse nearly all for as long as the queues last, and many requests change their region.
func (b *Balancer) HasOwners(now time.Time, r Request) bool {
	v := b.service(r.Service)
	v.routes.record(now, r)
	settled := !b.ownersSince.IsZero() && now.Sub(b.ownersSince) >= settledOwners
	return v.hasOwners(now) || settled && v.routes.mixedFromFirst() && !v.sharesMachines(now)
}

// hasOwners reports whether one VM has to decide what reaches a target of the service: its callers compete for
// slots (see Mixed), and its targets have machines of their own. Where machines are slow by turns, the time of
// the runs varies more than the wait, and an owner gains callers less than the bytes of the way through it
// cost.
func (v *serviceState) hasOwners(now time.Time) bool { return v.routes.mixed && !v.sharesMachines(now) }

// SetOwned sets which targets this VM owns; nil means that targets have no owners. Only the owner of a
// cold target of an uneven service sends requests to it.
func (b *Balancer) SetOwned(owned func(Target) bool) {
	b.owned = owned
	b.peersVersion++
}

// holds reports whether requests of a service wait in this VM for room. They do where targets have owners: a VM
// that sends a target one request in many holds requests by outdated loads, and refuses many after a wait.
func (b *Balancer) holds(now time.Time, v *serviceState) bool {
	return b.owned != nil && v.hasOwners(now)
}

// Holds is holds for a service by name.
func (b *Balancer) Holds(now time.Time, service steering.Service) bool {
	v := b.services[service]
	return v != nil && b.holds(now, v)
}
