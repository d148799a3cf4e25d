package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Guards against state that is kept by a target's name alone when the target restarts: the new
// process would stay ejected for failures of the old one, or a late answer to a request of the old
// process would count in favor of the new one. Here a target fails, is ejected and restarts, and
// then late reports for the old process arrive.
func TestRestartedTargetInheritsNoState(t *testing.T) {
	all := targets(2, "centro")
	all[0].Generation = 1
	b := newBalancer("vm", all...)
	for range 4 {
		b.RequestPlaced(start, all[0], "k", false)
		b.RequestEnded(start, all[0], placement.Report{Outcome: placement.Broken}, false, false)
	}
	assert.DeepEqual(t, b.Ejected(), []steering.Target{all[0].Name})
	former := all[0]
	b.RequestPlaced(start, former, "k", false)
	all[0].Generation = 2
	assert.DeepEqual(t, b.SetTargets(all), []steering.Target{all[0].Name})
	assert.Equal(t, len(b.Ejected()), 0)
	for range 4 {
		b.RequestEnded(start, former, placement.Report{Outcome: placement.Broken}, false, false)
	}
	assert.Equal(t, len(b.Ejected()), 0, "reports for the old process must not count")
	assert.Equal(t, len(b.SetTargets(all)), 0, "no target has restarted since the last call")
}

// Guards against a restarted target that seems full forever, because requests of the old process
// are still counted as in flight. If their ends are reported at all, they are reported after the
// restart.
func TestRequestsOfTheOldProcessDoNotOccupySlots(t *testing.T) {
	all := targets(1, "centro")
	all[0].Generation = 1
	b := newBalancer("vm", all...)
	for range 40 {
		b.RequestPlaced(start, all[0], "k", false)
	}
	_, refusal := b.Choose(start, request("k"))
	assert.Assert(t, refusal != nil)
	all[0].Generation = 2
	b.SetTargets(all)
	pick, refusal := b.Choose(start.Add(time.Millisecond), request("k"))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, pick.Target.Generation, steering.Generation(2))
}
