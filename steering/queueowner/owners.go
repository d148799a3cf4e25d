package queueowner

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/presence"
	"heatherlock/steering/rendezvous"
)

// avoidFor is how long a VM that did not take a request is not asked again. It is about the time in
// which a VM that ended is noticed.
const avoidFor = time.Second

// maxCached bounds the cache of owners, since targets come and go while the VMs stay.
const maxCached = 20_000

// VM is an entry VM that may own targets.
type VM struct {
	Name steering.VM
	// Incarnation is that of its process, as far as is known.
	Incarnation presence.Incarnation
	Zone        steering.Zone
	Region      steering.Region
	Address     string // for requests that other VMs pass on
	// Capacity is how many requests per second the VM can forward; 0 if it is not known.
	Capacity float64
}

// Owners are the owners of all targets, as one VM sees them. It is not safe for concurrent use.
type Owners struct {
	self   steering.VM
	byZone map[steering.Zone][]candidate
	avoid  map[steering.VM]time.Time
	// cache holds the owners of the targets that were asked for.
	cache map[steering.Target]VM
}

type candidate struct {
	VM
	hash   uint64
	weight float64
}

// New returns the owners for the VM self, if callers are directed to the given VMs.
func New(self steering.VM, all []VM) *Owners {
	o := &Owners{self: self, byZone: make(map[steering.Zone][]candidate), avoid: make(map[steering.VM]time.Time), cache: make(map[steering.Target]VM)}
	for _, vm := range all {
		c := candidate{VM: vm, hash: rendezvous.Hash(string(vm.Name)), weight: vm.Capacity}
		if c.weight <= 0 {
			c.weight = 1
		}
		o.byZone[vm.Zone] = append(o.byZone[vm.Zone], c)
	}
	return o
}

// TakeOver keeps what earlier owners learned of VMs that did not take requests.
func (o *Owners) TakeOver(earlier *Owners) {
	if earlier != nil {
		o.avoid = earlier.avoid
	}
}

// Of returns the owner of a target in a zone. found is false if no VM of the zone takes requests. The share
// of the targets of a zone that a VM owns is in proportion to its capacity, and the end of a VM changes
// the owners of its own targets only.
func (o *Owners) Of(target steering.Target, zone steering.Zone) (owner VM, found bool) {
	if vm, cached := o.cache[target]; cached && vm.Zone == zone {
		return vm, true
	}
	key, best := rendezvous.Hash(string(target)), 0.0
	for _, c := range o.byZone[zone] {
		if score := rendezvous.Score(key, c.hash, c.weight); !found || score > best {
			owner, best, found = c.VM, score, true
		}
	}
	if len(o.cache) >= maxCached {
		clear(o.cache)
	}
	if found {
		o.cache[target] = owner
	}
	return owner, found
}

// Elsewhere returns the owner of a target if it is another VM that takes requests now.
func (o *Owners) Elsewhere(now time.Time, target steering.Target, zone steering.Zone) (owner VM, found bool) {
	owner, found = o.Of(target, zone)
	if !found || owner.Name == o.self || now.Before(o.avoid[owner.Name]) {
		return VM{}, false
	}
	return owner, true
}

// Owns reports whether this VM owns a target.
func (o *Owners) Owns(target steering.Target, zone steering.Zone) bool {
	owner, found := o.Of(target, zone)
	return found && owner.Name == o.self
}

// Avoid records that a VM did not take a request, for a reason of its own.
func (o *Owners) Avoid(now time.Time, vm steering.VM) { o.avoid[vm] = now.Add(avoidFor) }

// Answered records that a VM has answered a request that it took, so that it gets further ones.
func (o *Owners) Answered(vm steering.VM) { delete(o.avoid, vm) }

// Live reports whether a VM may own targets.
func (o *Owners) Live(vm steering.VM) bool {
	for _, zone := range o.byZone {
		for _, c := range zone {
			if c.Name == vm {
				return true
			}
		}
	}
	return false
}
