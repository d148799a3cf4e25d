package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Guards against a region that keeps more keys than its slots can serve, because runs with warm keys
// alone were counted: runs that take twice as long occupy twice the slots.
func TestRegionOffloadsByOccupiedSlots(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{"sur": demandFor(60), "norte": demandFor(60)}
	s := situation(demand, placement.Slots{service: {"sur": 100, "norte": 400}})
	settle := func() float64 {
		var split placement.RegionSplit
		for range 120 {
			split = placement.NextRegionSplit(split, s)
		}
		return split.LocalShare(service, "sur")
	}
	assert.Assert(t, settle() > 0.99, "60 of 100 slots are within the utilization limit")
	s.OccupancyFactors = map[steering.Service]float64{service: 2}
	kept := settle()
	assert.Assert(t, kept < 0.6 && kept > 0.5, "120 slots are needed, and the region may use 65: %.2f", kept)
}

// Guards against long runs that count where targets have machines of their own: there the division must
// stay as it is.
func TestOccupancyCountsWhereTargetsShareMachines(t *testing.T) {
	for _, slowdown := range []float64{0, 1} {
		b := placement.NewBalancer("vm", "norte")
		target := placement.Target{Name: "t", Service: service, Region: "norte", Zone: "norte0", Slots: 4}
		b.SetTargets([]placement.Target{target})
		now := start
		for n := range 200 {
			now = now.Add(20 * time.Millisecond)
			took := 100 * time.Millisecond
			if n%4 == 0 {
				took = 700 * time.Millisecond
			}
			b.RequestPlaced(now, target, "", false)
			b.RequestEnded(now, target, placement.Report{Outcome: placement.Served, Latency: took, Slowdown: slowdown}, false, false)
		}
		factor, found := b.OccupancyFactors(now)[service]
		assert.Equal(t, found, slowdown > 0)
		if found {
			assert.Assert(t, factor > 1.5 && factor <= 2, "%.2f", factor)
		}
	}
}
