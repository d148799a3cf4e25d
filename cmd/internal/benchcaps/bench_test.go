package benchcaps

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A way that lets through more than the cap would look good by its waste.
func TestSharesStayWithinTheCap(t *testing.T) {
	for _, demand := range []Demand{Even, Busy, Moving} {
		s := scene{requests: 40, window: time.Second, vms: 4, demand: demand, load: 1.5, length: 12 * time.Second, seed: 7}
		rows := compare(s)
		for _, row := range rows {
			if row.Way != "central counter, fixed windows" {
				assert.Assert(t, row.Peak <= 40, "%+v", row)
			}
			assert.Assert(t, row.Admitted > 0)
		}
		assert.DeepEqual(t, rows, compare(s))
	}
}
