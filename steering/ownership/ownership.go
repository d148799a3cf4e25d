package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"heatherlock/steering"
)

// separator keeps ("ab", "c") and ("a", "bc") from having the same hash. It cannot occur in a
// name.
const separator = "\x00"

// Order returns vms in the order of their preference as owner of the pool (place, service), with
// the owner first. It does not modify vms.
func Order(place steering.Place, service steering.Service, vms []steering.VM) []steering.VM {
	return First(place, service, vms, len(vms))
}

// First returns the first n entry VMs of Order, or all of them if there are fewer than n.
func First(place steering.Place, service steering.Service, vms []steering.VM, n int) []steering.VM {
	remaining := sortedNames(vms)
	n = min(n, len(remaining))
	ordered := make([]steering.VM, 0, n)
	pool := string(place) + separator + string(service)
	for len(ordered) < n {
		winner := rendezvous.New(remaining, xxhash.Sum64String).Lookup(pool)
		ordered = append(ordered, steering.VM(winner))
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == winner })
	}
	return ordered
}

// sortedNames returns the distinct names in sorted order. Ties between equal hashes are broken by
// position, which must not depend on the sequence of the argument.
func sortedNames(vms []steering.VM) []string {
	sorted := make([]string, len(vms))
	for i, vm := range vms {
		sorted[i] = string(vm)
	}
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
