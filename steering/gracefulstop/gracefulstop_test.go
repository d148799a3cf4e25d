package gracefulstop_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/gracefulstop"
)

// Guards against a response that closes a connection in front of a request which runs, so that the caller sends it
// again; against a request that is started behind such a response; and against a connection that is never closed
// although a request always follows.
func TestLastRequestThatIsReadCloses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c gracefulstop.Connection
		draining, reading, closed := false, false, false
		unanswered, readWhileDraining := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"drain": func(*rapid.T) { draining = true },
			"read": func(t *rapid.T) {
				if reading {
					t.Skip("one at a time")
				}
				before := unanswered
				if reading = c.BeginRead(draining); reading {
					assert.Assert(t, !closed)
					if draining {
						readWhileDraining++
						assert.Equal(t, before, 0, "a response that can close is still to come")
					}
				}
			},
			"start": func(t *rapid.T) {
				if !reading {
					t.Skip("nothing is read")
				}
				assert.Assert(t, c.Start(), "nothing is closed while a request is read")
				reading = false
				unanswered++
			},
			"respond": func(t *rapid.T) {
				if unanswered == 0 {
					t.Skip("nothing runs")
				}
				unanswered--
				closes := c.Respond(draining, rapid.IntRange(0, 9).Draw(t, "last") == 0)
				if closes {
					assert.Assert(t, unanswered == 0 && !reading && !closed)
					closed = true
				}
				assert.Assert(t, !draining || unanswered > 0 || reading || closed, "the response to the last request closes")
			},
			"": func(t *rapid.T) {
				assert.Equal(t, c.Idle(), !reading && unanswered == 0)
				assert.Equal(t, c.Closed(), closed)
				assert.Assert(t, readWhileDraining <= 1, "at most one request is read once the VM is draining")
			},
		})
	})
}

// Guards against a stop whose steps overtake each other, or that leaves requests no time to run, whatever the
// settings.
func TestStepsOfAStopFollowEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.IntRange(0, 120_000).Draw(t, "grace ms")) * time.Millisecond
		ttl := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ttl ms")) * time.Millisecond
		s := gracefulstop.Plan(grace, ttl)
		assert.Assert(t, 0 <= s.Keep && s.Keep <= s.Accept && s.Accept <= s.Answer && s.Answer <= s.End && s.End <= grace)
		assert.Assert(t, s.Answer >= min(grace*5/6, s.End), "what a target runs is not broken off before the last sixth")
		assert.Assert(t, s.Accept <= grace/2, "what is accepted last has half of the time to run")
	})
	s := gracefulstop.Plan(6*time.Second, 2*time.Second)
	assert.Equal(t, s, gracefulstop.Schedule{Keep: 2 * time.Second, Accept: 2800 * time.Millisecond, Answer: 5300 * time.Millisecond, End: 5500 * time.Millisecond})
}

// Guards against a step of a stop that is left out, and requests that get no final response, because the VM stood still when it was due.
func TestStepsOfAStopAreDueAfterAStandstill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := gracefulstop.Plan(time.Duration(rapid.IntRange(1, 30).Draw(t, "grace"))*time.Second, 2*time.Second)
		p := gracefulstop.NewProgress(plan)
		answered := time.Duration(-1)
		for since := time.Duration(0); ; since += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond {
			due := p.Next(since)
			assert.Equal(t, due.Close, since >= plan.Keep)
			assert.Equal(t, due.Reject, since > plan.Accept)
			assert.Equal(t, due.Answer, since >= plan.Answer)
			if due.Answer && answered < 0 {
				answered = since
			}
			if due.End {
				assert.Assert(t, due.Close && due.Reject && due.Answer && since >= plan.End && since-answered >= plan.End-plan.Answer)
				return
			}
			assert.Assert(t, since < plan.End || since-answered < plan.End-plan.Answer)
		}
	})
}
