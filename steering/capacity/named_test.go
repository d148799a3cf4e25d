package capacity_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/capacity"
)

func largeAndSmallVMs(large, small int) []float64 {
	all := slices.Repeat([]float64{capacity.Of(0.8, 200)}, large)
	return append(all, slices.Repeat([]float64{capacity.Of(0.16, 10)}, small)...)
}

func TestFewLargeVMsAreNamedWhileTheyCarryTheZone(t *testing.T) {
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(2, 13), 330, 2), 2)
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(2, 13), 0, 2), 2, "the demand is unknown")
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(3, 20), 800, 2), 3)
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(2, 13), 900, 2), 15, "the large VMs cannot serve the demand with headroom")
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(1, 13), 330, 2), 9, "one large VM is gone")
	assert.Equal(t, capacity.DirectorySize(largeAndSmallVMs(0, 12), 60, 2), 2)
	assert.Equal(t, capacity.DirectorySize([]float64{0, 0, 0}, 100, 2), 3, "the capacities are unknown")
	assert.Equal(t, capacity.DirectorySize(nil, 100, 2), 0)
}

// Guards against directing callers to a VM that cannot serve its share of the demand while others
// could serve part of it.
func TestEachNamedVMCarriesItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.Float64Range(0, 3000), 0, 40).Draw(t, "capacities")
		slices.Sort(capacities)
		slices.Reverse(capacities)
		demand := rapid.Float64Range(0.1, 5000).Draw(t, "demand")
		k := capacity.DirectorySize(capacities, demand, 2)
		assert.Assert(t, k >= min(2, len(capacities)) && k <= len(capacities))
		if k < len(capacities) {
			assert.Assert(t, capacities[k-1]*float64(k) >= 4*demand, "%d of %v for %f", k, capacities, demand)
		}
		more := capacity.DirectorySize(capacities, demand*1.5, 2)
		assert.Assert(t, more >= k, "a higher demand returns fewer VMs")
	})
}
