package benchfleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// restoredBound is how soon after its confirmation a change has to be known everywhere, in seconds: the
// shorter one of the bounds of leaving targets and configurations.
const restoredBound = 2.5

// Guards against a leaving or a configuration that is known late after restores of the store, and against
// a fleet of which all VMs read the store anew then.
func TestChangesAfterRestoresAreKnownInTime(t *testing.T) {
	for _, vms := range []int{4, 100} {
		r := play(vms, 2, 200, 1, []string{FaultRestore})
		for _, name := range []string{TimeRestoredLeaving, TimeRestoredConfig} {
			assert.Check(t, r.Seconds[name] >= 0 && r.Seconds[name] <= restoredBound, "%d VMs: %s: %.2f s", vms, name, r.Seconds[name])
		}
		assert.Check(t, float64(r.RestoreCalls) <= 3*r.SteadyCalls*restoreTime.Seconds(), "%d VMs: %d calls, %.1f a second without a restore", vms, r.RestoreCalls, r.SteadyCalls)
	}
}
