package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

var start = time.Unix(1_000_000, 0)

func names(n int) (all []steering.Target) {
	for i := range n {
		all = append(all, steering.Target(fmt.Sprintf("t%02d", i)))
	}
	return all
}

// sendRounds sends one request every 50 ms to each target that is not ejected, and
// returns the time after the last round. The function outcome returns the results.
func sendRounds(tr *Tracker, now time.Time, d time.Duration, all []steering.Target, outcome func(steering.Target) Outcome) time.Time {
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

// Guards against a pool without usable targets: for any sequence of outcomes and
// reports, the ejected targets that are reachable are at most half of all targets, one
// target always stays in service, every ejected target is tried again in bounded time,
// and all targets serve again once requests succeed.
func TestMinimumInServiceAndRecovery(t *testing.T) {
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
				tr.ObserveReachable(now, rapid.SampledFrom(all).Draw(t, "target"))
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
					if unreachable[name] < defaultConsecutiveUnreachable {
						reachableEjected++
					}
					if _, known := ejectedAt[name]; !known {
						ejectedAt[name] = now
					}
					assert.Assert(t, now.Sub(ejectedAt[name]) < defaultMaxEjectionTime+3*time.Second, "%s is never tried again", name)
				}
				assert.Assert(t, ejected < len(all), "all targets ejected")
				assert.Assert(t, 2*reachableEjected <= len(all), "%d of %d reachable targets ejected", reachableEjected, len(all))
			},
		})
		now = sendRounds(tr, now, 2*defaultMaxEjectionTime, all, func(steering.Target) Outcome { return Success })
		for _, name := range all {
			assert.Equal(t, tr.State(name), Serving)
		}
	})
}

// Guards against callers that keep getting errors from one target: a target that
// reports that it is healthy while it fails its requests has to be ejected.
func TestFailingTargetThatReportsHealthyIsEjected(t *testing.T) {
	all := names(4)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	now := start
	sent := 0
	for range 40 {
		tr.Report(now, all[0], true)
		now = sendRounds(tr, now, 50*time.Millisecond, all, func(name steering.Target) Outcome {
			if name == all[0] {
				sent++
				return Failure
			}
			return Success
		})
	}
	assert.Equal(t, tr.State(all[0]), Ejected)
	assert.Assert(t, sent <= defaultConsecutiveFailures+1, "%d requests failed in two seconds", sent)
}

// Guards against a zone that loses half its slots without a fault: targets that
// serve requests but report that they are unhealthy have to stay in service.
func TestServingTargetThatReportsUnhealthyStays(t *testing.T) {
	all := names(4)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	now := sendRounds(tr, start, time.Second, all, func(steering.Target) Outcome { return Success })
	tr.Report(now, all[0], false)
	assert.Equal(t, tr.State(all[0]), Serving)
	idle := now.Add(time.Minute)
	tr.Report(idle, all[0], false)
	assert.Equal(t, tr.State(all[0]), Trial, "without a recent success, an unhealthy report starts a trial")
}

// Guards against overload of the targets that are left when a fault in a shared
// database fails two thirds of the requests on all targets: ejecting targets one by
// one for a fault that is not theirs moves their load to the others.
func TestPanicModeWhenMostTargetsFail(t *testing.T) {
	all := names(6)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	i := 0
	now := sendRounds(tr, start, 10*time.Second, all, func(steering.Target) Outcome {
		i++
		if i%3 == 0 {
			return Success
		}
		return Failure
	})
	assert.Assert(t, tr.PanicMode())
	for _, name := range all {
		assert.Equal(t, tr.State(name), Serving)
	}
	sendRounds(tr, now, time.Minute, all, func(steering.Target) Outcome { return Success })
	assert.Assert(t, !tr.PanicMode())
}

// Guards against most requests failing their first try after the loss of a rack,
// when four of six targets are unreachable: panic mode must not send requests to
// unreachable targets.
func TestUnreachableMajorityIsEjected(t *testing.T) {
	all := names(6)
	tr := New(Config{})
	tr.SetTargets(start, all, false)
	wasted, total := 0, 0
	sendRounds(tr, start, time.Minute, all, func(name steering.Target) Outcome {
		total++
		if name < all[4] {
			wasted++
			return Unreachable
		}
		return Success
	})
	assert.Assert(t, !tr.PanicMode())
	assert.Assert(t, wasted*20 < total, "%d of %d requests went to unreachable targets", wasted, total)
}

// The counts that panic mode is based on are updated incrementally. They have to
// equal a full recount after every event.
func TestIncrementalCountsMatchRecount(t *testing.T) {
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
			kept, ejected := tr.classCount, tr.ejected
			tr.recount()
			assert.Equal(t, tr.classCount, kept)
			assert.Equal(t, tr.ejected, ejected)
		}
	})
}

// Guards against a target that stays on trial for as long as nobody sends the requests that would end it, and
// against one that returns without requests although it does not answer or says that it is unhealthy.
func TestTrialWithoutRequestsEnds(t *testing.T) {
	for name, c := range map[string]struct {
		answers, healthy bool
		want             chart.State
	}{"answers": {true, true, Serving}, "silent": {false, true, Trial}, "unhealthy": {true, false, Trial}} {
		t.Run(name, func(t *testing.T) {
			all := names(4)
			tr := New(Config{})
			tr.SetTargets(start, all, false)
			for range defaultConsecutiveFailures {
				tr.Observe(start, all[0], Failure)
			}
			assert.Equal(t, tr.State(all[0]), Ejected)
			now, triedAt := start, start.Add(defaultBaseEjectionTime)
			for end := triedAt.Add(defaultUntriedAfter); now.Before(end); now = now.Add(100 * time.Millisecond) {
				tr.Tick(now)
				if c.answers {
					tr.Report(now, all[0], c.healthy)
					tr.ObserveReachable(now, all[0])
				}
				assert.Assert(t, tr.State(all[0]) != Serving, "after %v", now.Sub(start))
			}
			if c.answers {
				tr.Report(now, all[0], c.healthy)
				tr.ObserveReachable(now, all[0])
			}
			assert.Equal(t, tr.State(all[0]), c.want)
		})
	}
}
