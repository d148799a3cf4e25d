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

// chaos breaks things in a zone at random, several at once.
type chaos struct {
	z      *zone
	rng    *rand.Rand
	frozen map[*entryVM]chan struct{}
	dead   *entryVM
}

func (c *chaos) pick() *entryVM { return c.z.vms[c.rng.IntN(len(c.z.vms))] }

// step does or undoes one thing.
func (c *chaos) step() {
	e := c.pick()
	switch c.rng.IntN(6) {
	case 0:
		c.z.mu.Lock()
		other := c.pick()
		c.z.cut[[2]steering.VM{e.name, other.name}] = e != other && c.rng.IntN(2) == 0
		c.z.mu.Unlock()
	case 1:
		if c.frozen[e] == nil {
			c.frozen[e] = c.z.pause(e)
		}
	case 2:
		c.wake(e)
	case 3:
		state := []seam.MemberState{seam.MemberLive, seam.MemberSuspect, seam.MemberLeaving}[c.rng.IntN(3)]
		c.pick().view.set(e.name, state)
	case 4:
		c.z.mu.Lock()
		c.z.loseReleases = c.rng.IntN(2) == 0
		c.z.mu.Unlock()
	case 5:
		if c.dead == nil && c.frozen[e] == nil {
			c.dead = e
			e.stop()
			c.z.isolate(e.name, true)
		}
	}
}

func (c *chaos) wake(e *entryVM) {
	if frozen := c.frozen[e]; frozen != nil {
		delete(c.frozen, e)
		c.z.resume(e, frozen)
	}
}

// heal undoes everything but a death, which all views show in the end.
func (c *chaos) heal() {
	for _, e := range c.z.vms {
		c.wake(e)
	}
	c.z.mu.Lock()
	clear(c.z.cut)
	c.z.loseReleases = false
	c.z.mu.Unlock()
	for _, e := range c.z.vms {
		for _, other := range c.z.vms {
			state := seam.MemberLive
			if other == c.dead {
				state = seam.MemberGone
			}
			e.view.set(other.name, state)
		}
	}
	if c.dead != nil {
		c.z.isolate(c.dead.name, true)
	}
}

// Symptom: after a bad quarter of an hour, with pauses, cuts, lost messages,
// lagging views and a death at once, targets keep refusing what they are
// offered, or free slots stay unused. Sequence: drawn from the seed. Cause: a
// count that some combination of faults leaves wrong for good.
func TestCountHealsAfterAnyFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, 4, targets, slots)
				defer z.close()
				c := &chaos{z: z, rng: rand.New(rand.NewPCG(seed, 0)), frozen: map[*entryVM]chan struct{}{}}
				time.Sleep(time.Second)
				for _, e := range z.vms {
					z.callers(e, 8, service, 30*time.Second)
				}
				for range 40 {
					time.Sleep(time.Duration(c.rng.IntN(500)) * time.Millisecond)
					c.step()
				}
				c.heal()
				time.Sleep(settle)
				sheds, served := z.sheds(), z.servedSoFar()
				time.Sleep(5 * time.Second)
				assert.Assert(t, z.sheds()-sheds <= targets, "%d sheds after healing", z.sheds()-sheds)
				callers := 8 * len(z.vms)
				if c.dead != nil {
					callers -= 8
				}
				possible := int(5*time.Second/service) * min(capacity, callers)
				assert.Assert(t, z.servedSoFar()-served > possible*6/10, "served %d of %d possible", z.servedSoFar()-served, possible)
				time.Sleep(2 * time.Minute)
				alive := z.vms[0]
				if alive == c.dead {
					alive = z.vms[1]
				}
				owner, _ := alive.admit.Owner(testPlace, testService)
				assert.Equal(t, z.free(z.vm(owner.VM)), capacity)
			})
		})
	}
}
