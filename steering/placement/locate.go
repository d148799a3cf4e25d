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

// HasOwners reports whether the targets of a request's service have owners, and counts the request's route.
func (b *Balancer) HasOwners(now time.Time, r Request) bool {
	v := b.service(r.Service)
	v.routes.record(now, r)
	return v.hasOwners(now)
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
