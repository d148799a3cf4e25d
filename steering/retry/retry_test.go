package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// TestExtraTries checks every extra try against the rules: it is covered by the budget from first
// tries, it is the only one for its request, the request is replayable and in time, this is the
// first entry VM, and a non-idempotent request is retried only if it did not run.
func TestExtraTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudgets()
		pool := Pool{"tickets", "centro"}
		percent := rapid.IntRange(0, 30).Draw(t, "percent")
		firsts, extras, hedges := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.RecordRequest(pool, percent)
			firsts++
			r := Request{
				Pool:       pool,
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				FromCaller: rapid.IntRange(0, 3).Draw(t, "hop") > 0,
				Replayable: rapid.IntRange(0, 3).Draw(t, "body") > 0,
				Deadline:   start.Add(time.Duration(rapid.IntRange(-5, 50).Draw(t, "ms")) * time.Millisecond),
			}
			ran := steering.Ran(rapid.IntRange(0, 2).Draw(t, "ran"))
			tries := Tries{Targets: []steering.Target{"a"}}
			for range 3 {
				hedge := rapid.Bool().Draw(t, "hedge")
				denial := DenyNotIdempotent
				if hedge {
					denial = b.Hedge(start, r, tries)
				} else {
					denial = b.Retry(start, r, tries, ran)
				}
				if denial != Allowed {
					continue
				}
				assert.Assert(t, !tries.ExtraSent && r.FromCaller && r.Replayable)
				assert.Assert(t, r.Deadline.Sub(start) >= MinRemaining)
				assert.Assert(t, r.Idempotent || !hedge && ran == steering.RanNo)
				tries.ExtraSent = true
				extras++
				if hedge {
					hedges++
				}
			}
			assert.Assert(t, extras*100 <= firsts*percent+100*InitialTries, "%d extra for %d first tries at %d %%", extras, firsts, percent)
			assert.Assert(t, hedges*200 <= firsts*percent)
		}
	})
}

// amplification returns the ratio of the load on targets to the request rate of the callers if the
// given fraction of the first tries fails and each failed first try requests one retry.
func amplification(budgeted bool, percent int, failing float64) float64 {
	const requests = 20000
	random := rand.New(rand.NewPCG(1, 2))
	b := NewBudgets()
	r := Request{Idempotent: true, FromCaller: true, Replayable: true, Deadline: start.Add(time.Second)}
	load := 0
	for range requests {
		b.RecordRequest(r.Pool, percent)
		load++
		if random.Float64() >= failing {
			continue
		}
		if !budgeted || b.Retry(start, r, Tries{}, steering.RanUnknown) == Allowed {
			load++
		}
	}
	return float64(load) / requests
}

// Guards against a failure of half of the targets that overloads the other half. Without a budget
// every failed request is sent again, and the healthy targets receive up to half as many requests
// on top of what callers send.
func TestBrownOutDoesNotAmplify(t *testing.T) {
	without := amplification(false, 10, 0.5)
	with := amplification(true, 10, 0.5)
	t.Logf("target load over callers' rate: %.3f without a budget, %.3f with 10 %%", without, with)
	assert.Assert(t, without > 1.4)
	assert.Assert(t, with <= 1.1+1e-3)
}

func TestNextHopTimeoutLeavesTimeToAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "left"))
		timeout := NextHopTimeout(start, start.Add(left))
		assert.Assert(t, left-timeout >= minHopMargin && left-timeout <= maxHopMargin)
	})
}
