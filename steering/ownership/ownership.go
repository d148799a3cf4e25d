package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"heatherlock/steering"
)

// separator keeps ("ab", "c") and ("a", "bc") from hashing alike; it cannot
// occur in a name.
const separator = "\x00"

// Order returns vms in order of their claim on the pool (place, service),
// owner first. The argument is not changed.
func Order(place steering.Place, service steering.Service, vms []steering.VM) []steering.VM {
	return First(place, service, vms, len(vms))
}

// First returns the n entry VMs with the strongest claim on the pool, owner
// first, or all of them when there are fewer than n.
func First(place steering.Place, service steering.Service, vms []steering.VM, n int) []steering.VM {
	left := names(vms)
	n = min(n, len(left))
	ordered := make([]steering.VM, 0, n)
	pool := string(place) + separator + string(service)
	for len(ordered) < n {
		top := rendezvous.New(left, xxhash.Sum64String).Lookup(pool)
		ordered = append(ordered, steering.VM(top))
		left = slices.DeleteFunc(left, func(name string) bool { return name == top })
	}
	return ordered
}

// names returns the distinct names, sorted: equal hashes are resolved by
// position, which must not depend on the sequence of the argument.
func names(vms []steering.VM) []string {
	sorted := make([]string, len(vms))
	for i, vm := range vms {
		sorted[i] = string(vm)
	}
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
