package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against late answers where the callers of a region are spread over many entry VMs: each VM
// then sends to a target only once in several seconds, and its load report of the target is out of
// date. With four entry VMs per region, more requests are answered in time by the same targets for
// the same callers.
func TestFewerEntryVMsAnswerMoreRequestsInTime(t *testing.T) {
	inTime := func(perRegion int) float64 {
		p := newSimulationOf(perRegion, 250)
		p.run(6 * time.Second) // until keys are warm
		requests, inTimeCount := 0, 0
		for _, got := range p.run(12 * time.Second) {
			requests, inTimeCount = requests+got.requests, inTimeCount+got.inTime
		}
		return float64(inTimeCount) / float64(requests)
	}
	few, many := inTime(4), inTime(30)
	t.Logf("answered in time: %.3f with 4 VMs per region, %.3f with 30", few, many)
	assert.Assert(t, few > many)
	assert.Assert(t, few > 0.9, "%.3f", few)
}
