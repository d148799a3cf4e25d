package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

var start = time.Unix(1_000_000, 0)

func names(n int) (all []steering.Target) {
	for i := range n {
		all = append(all, steering.Target(fmt.Sprintf("t%02d", i)))
	}
	return all
}

// run sends rounds of one request to each target that gets work; outcome says
// how it ends.
func run(tr *Tracker, now time.Time, d time.Duration, all []steering.Target, outcome func(steering.Target) Outcome) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
		tr.Tick(now)
		for _, name := range all {
			if tr.State(name) != Ejected {
				tr.Observe(now, name, outcome(name))
			}
			if tr.State(name) == Warming {
				tr.Warm(now, name)
			}
		}
	}
	return now
}

// Promise: whatever requests and reports say, and in whatever order, a floor
// of targets gets work, an ejected target is tried again in bounded time, and
// once requests succeed everywhere, everything serves again.
func TestFloorAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 7).Draw(t, "targets"))
		now := start
		tr := New(Config{})
		tr.SetTargets(now, all, rapid.Bool().Draw(t, "cold"))
		unreachable := map[steering.Target]int{}
		ejectedAt := map[steering.Target]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "target")
				o := rapid.SampledFrom([]Outcome{Neutral, Success, Failure, Failure, Unreachable, Unreachable}).Draw(t, "outcome")
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					tr.Observe(now, name, o)
					switch o {
					case Unreachable:
						unreachable[name]++
					case Success, Failure:
						unreachable[name] = 0
					}
				}
			},
			"report": func(t *rapid.T) {
				tr.Report(now, rapid.SampledFrom(all).Draw(t, "target"), rapid.Bool().Draw(t, "well"))
			},
			"answered": func(t *rapid.T) {
				tr.Answered(now, rapid.SampledFrom(all).Draw(t, "target"))
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				tr.Tick(now)
			},
			"": func(t *rapid.T) {
				ejected, reachableEjected := 0, 0
				for _, name := range all {
					if tr.State(name) != Ejected {
						delete(ejectedAt, name)
						continue
					}
					ejected++
					if unreachable[name] < defaultUnreachable {
						reachableEjected++
					}
					if _, known := ejectedAt[name]; !known {
						ejectedAt[name] = now
					}
					assert.Assert(t, now.Sub(ejectedAt[name]) < defaultMaxWait+3*time.Second, "%s is never tried again", name)
				}
				assert.Assert(t, ejected < len(all), "all targets ejected")
				assert.Assert(t, 2*reachableEjected <= len(all), "%d of %d reachable targets ejected", reachableEjected, len(all))
			},
		})
		now = run(tr, now, 2*defaultMaxWait, all, func(steering.Target) Outcome { return Success })
		for _, name := range all {
			assert.Equal(t, tr.State(name), Serving)
		}
	})
}

// Symptom: callers keep getting errors from one target. Sequence: the target
// says that it is well, and fails what it is sent. Cause: its word was taken.
func TestTargetThatLiesAboutHealthIsEjected(t *testing.T) {
	all := names(4)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	now := start
	sent := 0
	for range 40 {
		tr.Report(now, all[0], true)
		now = run(tr, now, 50*time.Millisecond, all, func(name steering.Target) Outcome {
			if name == all[0] {
				sent++
				return Failure
			}
			return Success
		})
	}
	assert.Equal(t, tr.State(all[0]), Ejected)
	assert.Assert(t, sent <= defaultConsecutive+1, "%d requests failed in two seconds", sent)
}

// Symptom: a zone loses half its slots while nothing is wrong. Sequence:
// targets that serve well report sickness. Cause: their word was taken.
func TestTargetThatReportsSicknessButServesStays(t *testing.T) {
	all := names(4)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	now := run(tr, start, time.Second, all, func(steering.Target) Outcome { return Success })
	tr.Report(now, all[0], false)
	assert.Equal(t, tr.State(all[0]), Serving)
	idle := now.Add(time.Minute)
	tr.Report(idle, all[0], false)
	assert.Equal(t, tr.State(all[0]), Trial, "with no recent request, its word calls for care")
}

// Symptom: after a fault in a database that all targets use, the few targets
// left are overloaded. Sequence: two thirds of all requests fail, everywhere.
// Cause: targets were ejected one by one for what was not their fault.
func TestMostLookSick(t *testing.T) {
	all := names(6)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	i := 0
	now := run(tr, start, 10*time.Second, all, func(steering.Target) Outcome {
		i++
		if i%3 == 0 {
			return Success
		}
		return Failure
	})
	assert.Assert(t, tr.Doubting())
	for _, name := range all {
		assert.Equal(t, tr.State(name), Serving)
	}
	run(tr, now, time.Minute, all, func(steering.Target) Outcome { return Success })
	assert.Assert(t, !tr.Doubting())
}

// Symptom: most requests fail their first try after a rack is lost. Sequence:
// four of six targets cannot be reached. Cause: the rule that doubts a signal
// when most look sick sent work to targets that are plainly gone.
func TestMostAreDead(t *testing.T) {
	all := names(6)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	wasted, total := 0, 0
	run(tr, start, time.Minute, all, func(name steering.Target) Outcome {
		total++
		if name < all[4] {
			wasted++
			return Unreachable
		}
		return Success
	})
	assert.Assert(t, !tr.Doubting())
	assert.Assert(t, wasted*20 < total, "%d of %d requests went to dead targets", wasted, total)
}

// The counts that doubt rests on are kept step by step; they have to stay what
// counting afresh gives.
func TestCountsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(5)
		now := start
		tr := New(Config{})
		tr.SetTargets(now, all, false)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			o := rapid.SampledFrom([]Outcome{Success, Failure, Unreachable}).Draw(t, "outcome")
			tr.Observe(now, rapid.SampledFrom(all).Draw(t, "target"), o)
			if rapid.Bool().Draw(t, "tick") {
				tr.Tick(now)
			}
			kept, ejected := tr.looks, tr.ejected
			tr.recount()
			assert.Equal(t, tr.looks, kept)
			assert.Equal(t, tr.ejected, ejected)
		}
	})
}
