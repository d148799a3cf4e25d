package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// faultInjector injects random faults into a zone, several at once.
type faultInjector struct {
	z       *zone
	rng     *rand.Rand
	resumed map[*entryVM]chan struct{} // of paused VMs; closed when they resume
	crashed *entryVM
}

func (c *faultInjector) pick() *entryVM { return c.z.vms[c.rng.IntN(len(c.z.vms))] }

// inject injects or removes one fault.
func (c *faultInjector) inject() {
	e := c.pick()
	switch c.rng.IntN(6) {
	case 0:
		c.z.mu.Lock()
		other := c.pick()
		c.z.partitioned[[2]steering.VM{e.name, other.name}] = e != other && c.rng.IntN(2) == 0
		c.z.mu.Unlock()
	case 1:
		if c.resumed[e] == nil {
			c.resumed[e] = c.z.pause(e)
		}
	case 2:
		c.unpause(e)
	case 3:
		state := []seam.MemberState{seam.MemberLive, seam.MemberSuspect, seam.MemberLeaving}[c.rng.IntN(3)]
		c.pick().view.set(e.name, state)
	case 4:
		c.z.mu.Lock()
		c.z.loseReleases = c.rng.IntN(2) == 0
		c.z.mu.Unlock()
	case 5:
		if c.crashed == nil && c.resumed[e] == nil {
			c.crashed = e
			e.stop()
			c.z.isolate(e.name, true)
		}
	}
}

func (c *faultInjector) unpause(e *entryVM) {
	if resumed := c.resumed[e]; resumed != nil {
		delete(c.resumed, e)
		c.z.resume(e, resumed)
	}
}

// undoFaults removes all faults except a crash, and makes all views show the
// crashed member as gone.
func (c *faultInjector) undoFaults() {
	for _, e := range c.z.vms {
		c.unpause(e)
	}
	c.z.mu.Lock()
	clear(c.z.partitioned)
	c.z.loseReleases = false
	c.z.mu.Unlock()
	for _, e := range c.z.vms {
		for _, other := range c.z.vms {
			state := seam.MemberLive
			if other == c.crashed {
				state = seam.MemberGone
			}
			e.view.set(other.name, state)
		}
	}
	if c.crashed != nil {
		c.z.isolate(c.crashed.name, true)
	}
}

// Guards against a combination of faults that leaves the slot accounting wrong for
// good, so that targets keep shedding or free slots stay unused. Pauses,
// partitions, lost releases, differing views and a crash are drawn from the seed.
func TestAccountingRecoversFromFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, 4, targets, slots)
				defer z.close()
				c := &faultInjector{z: z, rng: rand.New(rand.NewPCG(seed, 0)), resumed: map[*entryVM]chan struct{}{}}
				time.Sleep(time.Second)
				for _, e := range z.vms {
					z.callers(e, 8, service, 30*time.Second)
				}
				for range 40 {
					time.Sleep(time.Duration(c.rng.IntN(500)) * time.Millisecond)
					c.inject()
				}
				c.undoFaults()
				time.Sleep(recoveryTime)
				sheds, served := z.sheds(), z.servedSoFar()
				time.Sleep(5 * time.Second)
				assert.Assert(t, z.sheds()-sheds <= targets, "%d sheds after recovery", z.sheds()-sheds)
				callers := 8 * len(z.vms)
				if c.crashed != nil {
					callers -= 8
				}
				possible := int(5*time.Second/service) * min(capacity, callers)
				assert.Assert(t, z.servedSoFar()-served > possible*6/10, "served %d of %d possible", z.servedSoFar()-served, possible)
				time.Sleep(2 * time.Minute)
				alive := z.vms[0]
				if alive == c.crashed {
					alive = z.vms[1]
				}
				owner, _ := alive.admit.Owner(testPlace, testService)
				assert.Equal(t, z.free(z.vm(owner.VM)), capacity)
			})
		})
	}
}
