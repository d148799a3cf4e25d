package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// staleDirectoryBound is how long after its end a VM may be named to callers.
const staleDirectoryBound = 8 * time.Second

// Guards against a large zone that names an ended VM for ever. Its end is noticed by two delegates
// only, and if they went by each other's reports, it would stay live on all VMs.
func TestEndOfAStandbyIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 100
		c := newTestFleet(ctx, size, 2)
		met, ok := c.waitForLive(15*time.Second, size, -1)
		assert.Assert(t, ok, "not all VMs list each other as live after %s", met)
		ended := -1
		for i, f := range c.fleets {
			if f.Standby() {
				ended = i
			}
		}
		assert.Assert(t, ended >= 0, "no VM is a standby")
		c.stops[ended]()
		gone, ok := c.waitForLive(staleDirectoryBound, size-1, ended)
		assert.Assert(t, ok, "the standby still counts as live after %s", gone)
		t.Logf("one standby gone for all after %s", gone)
		cancel()
		synctest.Wait()
	})
}

// Guards against a fleet that does not come together again after half of its VMs ended at once: a
// restarted VM that most of its zone takes for a standby, and that takes itself for a delegate,
// receives reports only and would consider the rest of its zone gone.
func TestLargeZoneComesTogetherAfterLossOfHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 72
		c := newTestFleet(ctx, size, 2)
		_, ok := c.waitForLive(15*time.Second, size, -1)
		assert.Assert(t, ok)
		for i := range size / 2 {
			c.stops[i]()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for i := range size / 2 {
			old := c.fleets[i]
			f := New(old.cfg, c.network.listen(old.cfg.Self.Peer))
			f.Add(c.members())
			c.fleets[i] = f
			go f.Run(ctx)
		}
		met, ok := c.waitForLive(18*time.Second, size, -1)
		assert.Assert(t, ok, "not all VMs list each other as live after %s", met)
		t.Logf("all live after %s", met)
		cancel()
		synctest.Wait()
	})
}

// Guards against two VMs that keep an ended VM of their zone live by reporting it to each other. Each
// takes the other for a standby and itself for a delegate.
func TestOnlyOneOfTwoVMsGoesByTheReportsOfTheOther(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(name string) Member {
		return Member{Name: steering.VM(name), Zone: "a", Region: "r", Peer: name + ":1"}
	}
	ended := member("ended")
	applies := func(self, other Member) bool {
		r := NewRoster(self)
		for n := range maxDelegates + 5 {
			r.Add(now, member(fmt.Sprint("vm-", n)))
		}
		r.HandleBeat(now, Beat{From: other, Incarnation: 1, Number: 1})
		r.HandleBeat(now, Beat{From: ended, Incarnation: 1, Number: 1})
		later := now.Add(10 * time.Second)
		r.HandleBeat(later, Beat{From: other, Incarnation: 1, Number: 2, ZoneReport: true, Mates: []uint32{shortID(idOf(ended.Name))}})
		return r.live(later, r.members[ended.Name])
	}
	a, b := member("a"), member("b")
	assert.Assert(t, applies(a, b) != applies(b, a))
}
