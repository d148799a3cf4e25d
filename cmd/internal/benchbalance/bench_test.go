package benchbalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A figure that another run of the same seed does not give again cannot decide
// anything.
func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	p := base(Options{Seed: 7, For: time.Second})
	for _, e := range entrants() {
		assert.DeepEqual(t, run(e, p), run(e, p))
		assert.DeepEqual(t, dies(e, p), dies(e, p))
	}
	assert.DeepEqual(t, twoOwners(p), twoOwners(p))
	sc := zonesScenarios()[0]
	first, second := newWorld(Options{Seed: 7}, sc, spreadOrder), newWorld(Options{Seed: 7}, sc, spreadOrder)
	first.run(15 * time.Second)
	second.run(15 * time.Second)
	assert.DeepEqual(t, first.row(sc, ""), second.row(sc, ""))
}

// Every request that arrives ends exactly once, in every way.
func TestEveryRequestEnds(t *testing.T) {
	for _, e := range entrants() {
		p := base(Options{Seed: 3, For: 3 * time.Second})
		p.EntryVM, p.Load = 22, 1.1
		z := newZone(p)
		z.measureFrom = 0
		z.start(e.make(z))
		z.sim.run(p.For)
		ended := z.tally.answered + z.tally.refused + z.tally.lost
		inHand := z.tally.arrived - ended
		most := z.waiting + p.Targets*p.Slots + 40 // and some on their way
		assert.Assert(t, inHand >= 0 && inHand <= most, "%s: %d arrived, %d ended", e.name, z.tally.arrived, ended)
	}
}

// Targets never run more than their slots, and a count without delay never
// meets a full target.
func TestCentralCountMeetsNoFullTarget(t *testing.T) {
	p := base(Options{Seed: 3, For: 3 * time.Second})
	p.Load = 1.1
	r := run(entrants()[0], p)
	assert.Equal(t, r.OverSlots, 0.0)
	assert.Assert(t, r.RefusedPercent > 5, "at 110 %% load something is refused: %v", r)
}
