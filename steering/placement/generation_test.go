package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Symptom: a target that restarts under its name stays passed over for what its former
// start did, or an answer to a request of the former start makes the new one look well.
// Sequence: it fails, is ejected, restarts; a late report of the former start comes in.
// Cause: keeping what was learned by the name alone.
func TestNothingLearnedOfAStartIsHeldAgainstTheNext(t *testing.T) {
	all := targets(2, "centro")
	all[0].Generation = 1
	b := newBalancer("vm", all...)
	for range 4 {
		b.Began(start, all[0], "k", false)
		b.Ended(start, all[0], placement.Report{Outcome: placement.Broken}, false, false)
	}
	assert.DeepEqual(t, b.Ejected(), []steering.Target{all[0].Name})
	former := all[0]
	b.Began(start, former, "k", false)
	all[0].Generation = 2
	assert.DeepEqual(t, b.SetTargets(all), []steering.Target{all[0].Name})
	assert.Equal(t, len(b.Ejected()), 0)
	for range 4 {
		b.Ended(start, former, placement.Report{Outcome: placement.Broken}, false, false)
	}
	assert.Equal(t, len(b.Ejected()), 0, "reports of the former start do not count")
	assert.Equal(t, len(b.SetTargets(all)), 0, "told again, nothing restarted")
}

// Symptom: a target that restarts seems full for ever. Sequence: requests are in its hands
// when it dies; their ends are reported, if at all, after the restart. Cause: counting
// requests of the former start as running.
func TestRequestsOfAFormerStartDoNotTakeSlots(t *testing.T) {
	all := targets(1, "centro")
	all[0].Generation = 1
	b := newBalancer("vm", all...)
	for range 40 {
		b.Began(start, all[0], "k", false)
	}
	_, refusal := b.Choose(start, request("k"))
	assert.Assert(t, refusal != nil)
	all[0].Generation = 2
	b.SetTargets(all)
	pick, refusal := b.Choose(start.Add(time.Millisecond), request("k"))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, pick.Target.Generation, steering.Generation(2))
}
