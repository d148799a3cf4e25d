package benchcaps

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharesStayWithinTheCap guards against a scheme that admits more than the cap in a
// window: its waste would look small, as waste is computed from the admitted requests. The
// central counter with fixed windows is exempt, as it can exceed the cap across the boundary
// of two windows. Equal seeds must give equal rows.
func TestSharesStayWithinTheCap(t *testing.T) {
	for _, demand := range []Demand{Even, Busy, Moving} {
		s := scenario{requests: 40, window: time.Second, vms: 4, demand: demand, load: 1.5, length: 12 * time.Second, seed: 7}
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
