package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"heatherlock/steering/chart"
	"heatherlock/steering/routing"
)

// Guards against callers whose cached look-up answer names a VM that no longer runs, and
// against cut uploads. Both happen if a stopped daemon exits as soon as it is idle, or
// after a fixed time. It has to run until the answers have expired and no request is in
// flight, and then exit.
func TestEntryVMLeavesAfterAnswersExpireAndRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 5 * time.Second
		e, now := NewEntryVM(), noon
		inFlight, stopped := 0, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			inFlight = rapid.IntRange(0, 2).Draw(t, "in flight")
			if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
				if stopped.IsZero() {
					stopped = now
				}
				e.Stop(now, ttl)
			}
			was := e.State()
			left := e.Update(now, inFlight) == Left && was != Left
			if left {
				assert.Equal(t, inFlight, 0)
				assert.Assert(t, !stopped.IsZero() && now.Sub(stopped) >= ttl)
			}
		}
		if !stopped.IsZero() {
			assert.Equal(t, e.Update(now.Add(ttl), 0), Left)
		}
	})
}

// Guards against a stop that is reported as drained before all VMs have reported that
// nothing is in flight, and against an overdue stop that is not reported as such.
func TestPlannedStopStates(t *testing.T) {
	stop := &routing.Stop{Name: "s", At: noon, Deadline: noon.Add(time.Minute)}
	p := NewPlannedStop()
	look := func(after time.Duration, r Remaining) chart.State {
		p.Update(noon.Add(after), stop, r)
		return p.State()
	}
	all := func(n int) Remaining { return Remaining{InFlight: n, AllReported: true} }
	assert.Equal(t, look(-time.Second, all(0)), Announced)
	assert.Equal(t, look(0, all(3)), Draining)
	assert.Equal(t, look(time.Second, Remaining{}), Draining, "missing reports do not mean that nothing is in flight")
	assert.Equal(t, look(2*time.Second, all(0)), Drained)
	assert.Equal(t, look(3*time.Second, all(1)), Draining, "a late report")
	assert.Equal(t, look(time.Minute, all(1)), Overdue)
	assert.Equal(t, look(2*time.Minute, all(1)), Overdue)
	assert.Equal(t, look(3*time.Minute, all(0)), Drained)
}

func TestChartPagesAreCurrent(t *testing.T) {
	golden.Assert(t, EntryVMChart(), "../../../docs/charts/entryvm.md")
	golden.Assert(t, PlannedStopChart(), "../../../docs/charts/plannedstop.md")
}
