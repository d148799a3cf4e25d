package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load that this answers: callers of a region spread over so many entry VMs that each meets a
// target once in seconds, and knows its load only as it was then. Led to four VMs a region,
// more of them are answered in time, though the targets and the callers are the same.
func TestCallersLedToFewVMsWaitLess(t *testing.T) {
	inAim := func(perRegion int) float64 {
		p := newPlayOf(perRegion, 250)
		p.run(6 * time.Second) // keys warm up
		asked, served := 0, 0
		for _, got := range p.run(12 * time.Second) {
			asked, served = asked+got.asked, served+got.inAim
		}
		return float64(served) / float64(asked)
	}
	few, many := inAim(4), inAim(30)
	t.Logf("answered in time: %.3f by 4 VMs a region, %.3f by 30", few, many)
	assert.Assert(t, few > many)
	assert.Assert(t, few > 0.9, "%.3f", few)
}
