package forward

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/ownership"
)

// Guards against an extra message per request handed over to another zone. If the sender chose an
// entry VM by a hash of its own instead of the pool's owner, that VM would have to ask the owner
// for a grant.
func TestHandOverGoesToPoolOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 22).Draw(t, "entry VMs")
		place := steering.Place(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "place"))
		service := steering.Service(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "service"))
		var members []seam.Member
		var usable []steering.VM
		for i := range count {
			m := seam.Member{VM: steering.VM(fmt.Sprintf("vm-%d", i)), PeerAddress: "127.0.0.1:1"}
			m.State = rapid.SampledFrom([]seam.MemberState{seam.MemberLive, seam.MemberSuspect, seam.MemberLeaving}).Draw(t, "state")
			members = append(members, m)
			if m.State == seam.MemberLive {
				usable = append(usable, m.VM)
			}
		}
		chosen, ok := chooseMember(members, place, service)
		assert.Equal(t, ok, len(usable) > 0)
		if ok {
			assert.Equal(t, chosen.VM, ownership.Order(place, service, usable)[0])
		}
	})
}
