package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Guards against ejecting the only target of a region because its queue is full: it refuses several
// requests in a row and reports its load. A target that refuses with free slots, or without
// reporting its load, has a fault and must be ejected.
func TestRefusalByFullTargetIsNoFailure(t *testing.T) {
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
			b.RequestPlaced(start, all[0], "k", false)
			b.RequestEnded(start, all[0], c.report, false, false)
		}
		assert.Equal(t, len(b.Ejected()) == 1, c.ejected, "%+v", c.report)
		if c.ejected {
			assert.DeepEqual(t, b.Ejected(), []steering.Target{all[0].Name})
		}
	}
}
