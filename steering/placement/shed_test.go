package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Symptom: the only target of a region is passed over though it serves all it can.
// Sequence: its queue is full, it refuses several requests in a row and says how full it
// is. Cause: taking want of room for a fault. A target that refuses with slots free, or
// does not say how full it is, does have a fault.
func TestRefusalForWantOfRoomIsNoFailure(t *testing.T) {
	full := placement.Report{Outcome: placement.Shed, LoadKnown: true, Running: 4, Waiting: 12}
	idle := placement.Report{Outcome: placement.Shed, LoadKnown: true, Running: 2}
	silent := placement.Report{Outcome: placement.Shed}
	for _, c := range []struct {
		report  placement.Report
		ejected bool
	}{{full, false}, {idle, true}, {silent, true}} {
		all := targets(3, "centro")
		b := newBalancer("vm", all...)
		for range 8 {
			b.Began(start, all[0], "k", false)
			b.Ended(start, all[0], c.report, false, false)
		}
		assert.Equal(t, len(b.Ejected()) == 1, c.ejected, "%+v", c.report)
		if c.ejected {
			assert.DeepEqual(t, b.Ejected(), []steering.Target{all[0].Name})
		}
	}
}
