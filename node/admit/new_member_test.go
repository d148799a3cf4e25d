package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
)

// Guards against targets being offered one request more than their slots right after
// entry VMs start or a partition inside a zone ends. Two VMs don't know each other yet
// and both own the pool; once they do, the remaining owner has to ask the other one for
// the grants of its long requests, although its own takeover ended before.
func TestOwnerSurveysMembersThatJoinLater(t *testing.T) {
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
		time.Sleep(recoveryTime)
		assert.Equal(t, z.free(owner), slots)
		taken := owner.count("takeovers")
		time.Sleep(time.Minute)
		assert.Equal(t, owner.count("takeovers"), taken, "takeover repeated without cause")
	})
}
