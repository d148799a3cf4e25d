package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/presence"
)

// Guards against a VM that leaves and is taken for ended, while it still runs requests for VMs of other zones: its
// own zone does not list it any more.
func TestLeavingVMIsHeardByThoseThatWaitForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestFleet(ctx, 30, 3)
		time.Sleep(5 * time.Second)
		c.leaving.Store(steering.VM("vm-0"))
		c.fleets[0].Announce()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			for _, n := range []int{3, 4, 29} { // the VMs that wait for it
				assert.Equal(t, c.fleets[n].Process("vm-0").State, presence.Leaving)
				assert.Assert(t, !c.fleets[n].IsLive("vm-0"))
				assert.Equal(t, c.fleets[n].AnsweringCount(), 30)
			}
		}
		c.stops[0]()
		time.Sleep(2500 * time.Millisecond)
		for _, f := range c.fleets[1:] {
			assert.Equal(t, f.Process("vm-0").State, presence.Ended)
			assert.Equal(t, f.AnsweringCount(), 29)
		}
		cancel()
		synctest.Wait()
	})
}
