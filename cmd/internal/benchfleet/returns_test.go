package benchfleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// returnedBound is how long VMs that come back may use targets that have left, in seconds: as long as a
// target serves after the store has accepted that it leaves.
const returnedBound = 2.5

// Guards against VMs that come back from a cut and go on using targets that the others know to be gone, and against others
// that use these again.
func TestVMsThatReturnUseNoTargetsThatAreGone(t *testing.T) {
	for _, vms := range []int{4, 12, 100} {
		r := play(vms, 2, 200, 1, []string{FaultReturn})
		assert.Check(t, r.Seconds[TimeReturned] >= 0 && r.Seconds[TimeReturned] <= returnedBound, "%d VMs: %.2f s", vms, r.Seconds[TimeReturned])
		assert.Check(t, r.Reopened == 0, "%d VMs: in %d cases", vms, r.Reopened)
	}
}
