package benchfleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// maxHelperLoad is how much more than its share a helper may get when a third of the VMs is cut off.
const maxHelperLoad = 4

// Guards against callers who are not served at VMs that are cut off from all targets, and against helpers
// that get much more than their share, in small and large fleets.
func TestCallersOfVMsCutOffAreServedInFleets(t *testing.T) {
	for _, vms := range []int{4, 12, 100} {
		r := play(vms, 2, 200, 1, []string{FaultCut})
		for _, c := range r.Cuts {
			t.Logf("%d VMs: %+v", vms, c)
			if c.CutOff == vms {
				continue
			}
			assert.Check(t, c.CutOff == 0 || c.Sent > 0)
			assert.Check(t, 3*c.Served >= 2*c.Sent, "%d VMs, %s: %d of %d served", vms, c.Case, c.Served, c.Sent)
			assert.Check(t, c.CutOff < vms/3 || c.BusiestHelper <= maxHelperLoad, "%d VMs, %s: %.1f times the mean", vms, c.Case, c.BusiestHelper)
			assert.Check(t, c.CutOff == 0 || c.KnownSeconds >= 0 && c.KnownSeconds <= cutKnownAfter.Seconds(), "%d VMs, %s: noticed after %.2f s", vms, c.Case, c.KnownSeconds)
		}
	}
}
