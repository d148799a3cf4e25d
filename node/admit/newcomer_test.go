package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
)

// Symptom: right after entry VMs start, or a cut inside a zone heals, targets
// are offered one request more than their slots. Sequence: two entry VMs of a
// zone do not know each other yet, and each counts the pool; one grants work
// that runs on; then they learn of each other, and the owner by their common
// view goes on granting. Cause: an owner that asks what others hold only when
// it begins to count, not when a member appears later.
func TestOwnerAsksThoseItLearnsOfLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 2, 1, slots)
		defer z.close()
		owner := z.owner()
		other := z.others(owner)[0]
		owner.view.set(other.name, seam.MemberGone)
		other.view.set(owner.name, seam.MemberGone)
		time.Sleep(time.Second)
		for range slots - 1 {
			z.work.Go(func() { z.call(other, 10*time.Second) })
		}
		time.Sleep(time.Second)
		z.setState(owner.name, seam.MemberLive)
		z.setState(other.name, seam.MemberLive)
		time.Sleep(time.Second)
		assert.Equal(t, z.free(owner), 1)
		z.callers(owner, 2*slots, service, 5*time.Second)
		time.Sleep(6 * time.Second)
		assert.Equal(t, z.sheds(), 0)
		time.Sleep(settle)
		assert.Equal(t, z.free(owner), slots)
		taken := owner.count("takeovers")
		time.Sleep(time.Minute)
		assert.Equal(t, owner.count("takeovers"), taken, "taken again without cause")
	})
}
