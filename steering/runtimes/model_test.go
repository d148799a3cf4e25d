package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/runtimes"
)

var start = time.Unix(1000, 0)

var read = runtimes.Class{Service: "clips", Route: "read"}

// observe adds n samples of a class at a target in the second before now, all of the same time.
func observe(m *runtimes.Model, now time.Time, c runtimes.Class, target steering.Target, took time.Duration, n int) {
	for i := range n {
		m.Observe(now.Add(-time.Second+time.Duration(i)*time.Second/time.Duration(n)),
			runtimes.Sample{Class: c, Target: target, Took: took, Warm: runtimes.Warm})
	}
}

func near(t *testing.T, got, want time.Duration, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= tolerance*float64(want), "%v, want %v", got, want)
}

// Guards against one time for routes of different length, against the speed of one target changing the
// prediction for others, and against a slowdown that is applied after it has passed.
func TestPredictionFollowsRouteTargetAndSlowdown(t *testing.T) {
	m := runtimes.New()
	export := runtimes.Class{Service: "clips", Route: "export"}
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		observe(m, now, read, "a", 270*time.Millisecond, 5)
		observe(m, now, export, "a", 820*time.Millisecond, 5)
		observe(m, now, read, "slow", 540*time.Millisecond, 2)
	}
	now := start.Add(time.Minute)
	ask := func(q runtimes.Query) time.Duration { return m.Predict(now, q).Median }
	near(t, ask(runtimes.Query{Class: read, Target: "a"}), 270*time.Millisecond, 0.15)
	near(t, ask(runtimes.Query{Class: export, Target: "a"}), 820*time.Millisecond, 0.15)
	near(t, ask(runtimes.Query{Class: read, Target: "slow"}), 540*time.Millisecond, 0.2)
	near(t, ask(runtimes.Query{Class: read, Target: "new", Warm: runtimes.Cold}), 810*time.Millisecond, 0.2)
	slowed := ask(runtimes.Query{Class: read, Target: "a", Slowdown: 2.5})
	assert.Assert(t, slowed > 500*time.Millisecond, "%v", slowed)
	near(t, ask(runtimes.Query{Class: read, Target: "a", Slowdown: 2.5, SlowdownAge: 10 * time.Second}), 270*time.Millisecond, 0.15)
	m.Forget("slow")
	near(t, ask(runtimes.Query{Class: read, Target: "slow"}), 270*time.Millisecond, 0.15)
}

// Guards against predictions that stay wrong for long after a release changed the run times, and
// against an estimate that vanishes when a route gets no requests for a while.
func TestOldSamplesLoseWeight(t *testing.T) {
	m := runtimes.New()
	observe(m, start, read, "a", 200*time.Millisecond, 500)
	later := start.Add(20 * time.Minute)
	near(t, m.Predict(later, runtimes.Query{Class: read, Target: "a"}).Median, 200*time.Millisecond, 0.05)
	observe(m, later, read, "a", 400*time.Millisecond, 30)
	near(t, m.Predict(later, runtimes.Query{Class: read, Target: "a"}).Median, 400*time.Millisecond, 0.1)
}

// Guards against hedges that are sent too late for the second run to end in time, or for which a second
// run brings nothing: a VM sends one at the 85th to 95th percentile of warm runs or not at all.
func TestHedgeAfter(t *testing.T) {
	m := runtimes.New()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		took := time.Duration((0.5 + 0.3*random.Float64()) * float64(time.Second))
		if i%12 == 0 {
			took *= 7
		}
		m.Observe(start.Add(time.Duration(i)*10*time.Millisecond), runtimes.Sample{Class: read, Target: "a", Took: took, Warm: runtimes.Warm})
	}
	now := start.Add(20 * time.Second)
	q := runtimes.Query{Class: read, Target: "a"}
	warm := m.Predict(now, q)
	after := func(aim, timeout time.Duration, second runtimes.Estimate) time.Duration {
		return m.HedgeAfter(now, q, aim, timeout, second)
	}
	got := after(1500*time.Millisecond, 2500*time.Millisecond, warm)
	assert.Assert(t, got > warm.Median && got < 850*time.Millisecond, "%v, median %v", got, warm.Median)
	cold := runtimes.Estimate{Median: 3 * warm.Median, P90: 3 * warm.P90, Known: true}
	assert.Equal(t, after(1500*time.Millisecond, 2500*time.Millisecond, cold), time.Duration(0))
	assert.Assert(t, after(1500*time.Millisecond, 4*time.Second, cold) > 0) // in time for the timeout
	assert.Equal(t, after(1500*time.Millisecond, 2500*time.Millisecond, runtimes.Estimate{}), time.Duration(0))
	assert.Equal(t, after(time.Minute, time.Minute, warm), time.Duration(0)) // the first run ends in time
}

// Guards against a VM without samples, such as each VM after the loss of all, that predicts anything, or
// that does not use what others report.
func TestReportsReplaceMissingSamples(t *testing.T) {
	m, started := runtimes.New(), runtimes.New()
	assert.Assert(t, !started.Predict(start, runtimes.Query{Class: read}).Known)
	assert.Assert(t, m.Report(start) == nil)
	observe(m, start, read, "a", 270*time.Millisecond, 50)
	assert.NilError(t, started.Merge(start, "vm-1", m.Report(start)))
	near(t, started.Predict(start, runtimes.Query{Class: read}).Median, 270*time.Millisecond, 0.05)
	assert.Assert(t, started.Report(start) == nil, "reported what it was told")
	observe(started, start.Add(time.Second), read, "a", 400*time.Millisecond, 25)
	near(t, started.Predict(start.Add(time.Second), runtimes.Query{Class: read, Target: "a"}).Median, 400*time.Millisecond, 0.05)
	assert.Assert(t, !runtimes.New().Predict(start, runtimes.Query{Class: read}).Known)
}

// Guards against a report that is cut, corrupt, repeated or of an unknown version and still changes the
// predictions, and against one that is used for long after its VM is gone.
func TestDamagedReportsAreDropped(t *testing.T) {
	m := runtimes.New()
	observe(m, start, read, "a", 270*time.Millisecond, 50)
	report := m.Report(start)
	to := runtimes.New()
	for n := range report {
		assert.ErrorIs(t, to.Merge(start, "vm-1", report[:n]), runtimes.ErrUnreadable)
	}
	assert.ErrorIs(t, to.Merge(start, "vm-1", append([]byte{2}, report[1:]...)), runtimes.ErrUnreadable)
	assert.ErrorIs(t, to.Merge(start, "vm-1", append(report[:len(report):len(report)], 0)), runtimes.ErrUnreadable)
	assert.Assert(t, !to.Predict(start, runtimes.Query{Class: read}).Known)
	assert.NilError(t, to.Merge(start, "vm-1", report))
	assert.ErrorIs(t, to.Merge(start, "vm-1", report), runtimes.ErrOld)
	assert.Equal(t, to.Dropped(), len(report)+3)
	assert.Assert(t, m.Report(start.Add(31*time.Second)) == nil, "reported old samples as new")
	assert.Assert(t, to.Predict(start.Add(29*time.Second), runtimes.Query{Class: read}).Known)
	assert.Assert(t, !to.Predict(start.Add(31*time.Second), runtimes.Query{Class: read}).Known)
}

// Guards against reports, state or predictions out of bounds: whatever is observed and merged, a report
// has at most 400 bytes and can be merged, estimates are ordered, and a hedge is never before the median
// of warm runs.
func TestModelStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other := runtimes.New(), runtimes.New()
		now := start
		routes := rapid.IntRange(1, 300).Draw(t, "routes")
		classOf := func(i int) runtimes.Class {
			return runtimes.Class{Service: "s", Route: fmt.Sprint("route-", i)}
		}
		slowdown := rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Float64Range(0.5, 3))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			class := classOf(rapid.IntRange(0, routes-1).Draw(t, "route"))
			target := steering.Target(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target")))
			sample := runtimes.Sample{Class: class, Target: target, Took: time.Duration(rapid.Int64().Draw(t, "took")),
				Warm: runtimes.Warmth(rapid.IntRange(0, 2).Draw(t, "warm")), Slowdown: slowdown.Draw(t, "slowdown")}
			if rapid.Bool().Draw(t, "usual") {
				sample.Took = time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(5*time.Second)).Draw(t, "usual"))
			}
			for range rapid.IntRange(1, 30).Draw(t, "samples") {
				m.Observe(now, sample)
			}
			if report := m.Report(now); report != nil {
				assert.Assert(t, len(report) <= runtimes.MaxReportBytes, "%d bytes", len(report))
				if err := other.Merge(now, "vm", report); err != nil {
					assert.ErrorIs(t, err, runtimes.ErrOld)
				}
			}
			q := runtimes.Query{Class: class, Target: target, Slowdown: slowdown.Draw(t, "asked")}
			for _, model := range []*runtimes.Model{m, other} {
				e := model.Predict(now, q)
				assert.Assert(t, !e.Known && e.Median == 0 || e.Median >= 0 && e.P90 >= e.Median, "%+v", e)
				warm := model.Predict(now, runtimes.Query{Class: class})
				if after := model.HedgeAfter(now, q, time.Second, 3*time.Second, e); after != 0 {
					assert.Assert(t, after >= warm.Median, "%v before %v", after, warm.Median)
				}
			}
		}
		assert.Assert(t, len(m.Errors()) <= 128)
	})
}
