package ownership_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/ownership"
)

// Guards against two entry VMs that both consider themselves the owner of a pool because their
// views list the same members in a different sequence, and against the reassignment of every pool
// when one member leaves. Both come from an order that depends on positions instead of names.
func TestOrderDependsOnTheSetAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) steering.VM {
			return steering.VM(rapid.StringMatching(`[a-z]{1,6}-[0-9]{1,2}`).Draw(t, "name"))
		}), 1, 12, rapid.ID).Draw(t, "vms")
		place := steering.Place(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "place"))
		order := ownership.Order(place, "tickets", vms)

		assert.DeepEqual(t, slices.Sorted(slices.Values(order)), slices.Sorted(slices.Values(vms)))
		shuffled := rapid.Permutation(vms).Draw(t, "shuffled")
		assert.DeepEqual(t, ownership.Order(place, "tickets", shuffled), order)
		n := rapid.IntRange(0, len(vms)).Draw(t, "n")
		assert.DeepEqual(t, ownership.First(place, "tickets", vms, n), order[:n])

		removed := rapid.SampledFrom(vms).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(vms), func(vm steering.VM) bool { return vm == removed })
		expected := slices.DeleteFunc(slices.Clone(order), func(vm steering.VM) bool { return vm == removed })
		assert.DeepEqual(t, ownership.Order(place, "tickets", rest), expected)
	})
}

func TestOwnersAreSpread(t *testing.T) {
	const vmCount, pools = 10, 4000
	var vms []steering.VM
	for i := range vmCount {
		vms = append(vms, steering.VM(fmt.Sprintf("norte-a-%d", i)))
	}
	owned := map[steering.VM]int{}
	for i := range pools {
		owned[ownership.Order(steering.Place(fmt.Sprintf("place-%d", i)), "schedule", vms)[0]]++
	}
	for vm, n := range owned {
		assert.Assert(t, n > pools/vmCount/2 && n < pools/vmCount*2, "%s owns %d of %d pools", vm, n, pools)
	}
	assert.Equal(t, len(owned), vmCount)
}
