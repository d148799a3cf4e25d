package dynamic

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"heatherlock/steering"
)

// chaos injects random faults into a fleet, drawn from a seed.
type chaos struct {
	fleet  *fleet
	random *rand.Rand
	paused map[*fleetNode]bool
}

func newChaos(f *fleet, seed uint64) *chaos {
	return &chaos{fleet: f, random: rand.New(rand.NewPCG(seed, 1)), paused: map[*fleetNode]bool{}}
}

func (c *chaos) randomZone() steering.Zone {
	return []steering.Zone{"zone-0", "zone-1", "zone-2"}[c.random.IntN(3)]
}

func (c *chaos) randomBool() bool { return c.random.IntN(2) == 0 }

// randomRunning returns a random node that is not paused. The test cannot kill a
// paused one, because it does not react to the end of its context.
func (c *chaos) randomRunning() *fleetNode {
	members := c.fleet.nodes
	for {
		m := members[[]string{
			"vm-0-0:1", "vm-0-1:1", "vm-0-2:1", "vm-1-0:1", "vm-1-1:1", "vm-1-2:1", "vm-2-0:1", "vm-2-1:1", "vm-2-2:1",
		}[c.random.IntN(len(members))]]
		if !c.paused[m] {
			return m
		}
	}
}

func (c *chaos) step() {
	f := c.fleet
	switch c.random.IntN(10) {
	case 0:
		f.store.Down(c.randomBool())
	case 1:
		f.store.Slow(time.Duration(c.random.IntN(2000)) * time.Millisecond)
	case 2:
		f.store.LoseReplies(c.random.IntN(5))
	case 3:
		f.store.StaleReads(int64(c.random.IntN(6)))
	case 4:
		f.store.CutOff(string(c.randomZone()), c.randomBool())
	case 5:
		f.cutZones(c.randomZone(), c.randomZone(), c.randomBool())
	case 6:
		c.pauseOrResume()
	case 7:
		m := c.randomRunning()
		m.kill()
		m.start()
	default:
		c.raceOperators()
	}
}

func (c *chaos) pauseOrResume() {
	for m := range c.paused {
		m.gate.open()
		delete(c.paused, m)
		return
	}
	m := c.randomRunning()
	m.gate.close()
	c.paused[m] = true
}

// raceOperators writes the same version of an object as two operators would, and
// sometimes deletes it. Any of these calls may fail.
func (c *chaos) raceOperators() {
	api := c.fleet.operator()
	ctx := context.Background()
	value := json.RawMessage(serviceValue(1000 + c.random.IntN(1000)))
	name := []string{"tickets", "passes", "schedule"}[c.random.IntN(3)]
	stored, err := api.Get(ctx, KindService, name)
	if err != nil {
		_, _ = api.Create(ctx, KindService, name, value)
		return
	}
	_, _ = api.Update(ctx, KindService, name, stored.Version, value)
	_, _ = api.Update(ctx, KindService, name, stored.Version, json.RawMessage(serviceValue(5000)))
	if c.randomBool() {
		_, _ = api.Delete(ctx, KindService, name, stored.Version)
	}
}

func (c *chaos) heal() {
	f := c.fleet
	f.store.Down(false)
	f.store.Slow(0)
	f.store.LoseReplies(0)
	f.store.StaleReads(0)
	for _, a := range []steering.Zone{"zone-0", "zone-1", "zone-2"} {
		f.store.CutOff(string(a), false)
		for _, b := range []steering.Zone{"zone-0", "zone-1", "zone-2"} {
			f.cutZones(a, b, false)
		}
	}
	for m := range c.paused {
		m.gate.open()
		delete(c.paused, m)
	}
}
