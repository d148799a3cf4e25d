package benchbalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against results that differ between runs of the same seed. Strategies couldn't be compared by
// such results.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	p := baseParams(Options{Seed: 7, For: time.Second})
	for _, e := range strategySpecs() {
		assert.DeepEqual(t, run(e, p), run(e, p))
		assert.DeepEqual(t, runCrash(e, p), runCrash(e, p))
	}
	assert.DeepEqual(t, runTwoOwners(p), runTwoOwners(p))
	sc := zonesScenarios()[0]
	first, second := newMultiZone(Options{Seed: 7}, sc, spreadOrder), newMultiZone(Options{Seed: 7}, sc, spreadOrder)
	first.run(15 * time.Second)
	second.run(15 * time.Second)
	assert.DeepEqual(t, first.row(sc, ""), second.row(sc, ""))
}

// Guards against requests that a strategy loses or counts twice: each one that arrives ends once, as
// answered, refused or lost.
func TestEveryRequestEnds(t *testing.T) {
	for _, e := range strategySpecs() {
		p := baseParams(Options{Seed: 3, For: 3 * time.Second})
		p.EntryVM, p.Load = 22, 1.1
		z := newZone(p)
		z.measureFrom = 0
		z.start(e.make(z))
		z.sim.run(p.For)
		ended := z.results.answered + z.results.refused + z.results.lost
		outstanding := z.results.arrived - ended
		most := z.waiting + p.Targets*p.Slots + 40 // up to 40 in transit
		assert.Assert(t, outstanding >= 0 && outstanding <= most, "%s: %d arrived, %d ended", e.name, z.results.arrived, ended)
	}
}

// A target never runs more requests than it has slots. The central pool counts slots without delay,
// so it never sends a request to a full target.
func TestCentralPoolSendsToNoFullTarget(t *testing.T) {
	p := baseParams(Options{Seed: 3, For: 3 * time.Second})
	p.Load = 1.1
	r := run(strategySpecs()[0], p)
	assert.Equal(t, r.OverSlots, 0.0)
	assert.Assert(t, r.RefusedPercent > 5, "more than 5 %% should be refused at a load of 110 %%: %v", r)
}
