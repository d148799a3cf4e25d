package losses

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

const (
	warm = 100 * time.Millisecond
	aim  = 400 * time.Millisecond
)

func lateRequest(took time.Duration, change func(*Request, *Try)) Request {
	r := Request{Outcome: Late, Aim: aim, Deadline: 2 * time.Second, WarmRunTime: warm, Ready: took, Latency: took}
	t := Try{Outcome: placement.Served, Latency: took}
	if change != nil {
		change(&r, &t)
	}
	r.Tries = append(r.Tries, t)
	return r
}

// Guards against a change of the order in which causes are checked: each case is a lost
// request with the cause that explains it.
func TestCauseOf(t *testing.T) {
	const late = 500 * time.Millisecond
	refusedOrFailed := func(o Outcome, reason steering.Reason, tries ...placement.Outcome) Request {
		r := Request{Outcome: o, Reason: reason, Aim: aim, Deadline: 2 * time.Second, WarmRunTime: warm}
		for _, outcome := range tries {
			r.Tries = append(r.Tries, Try{Outcome: outcome})
		}
		return r
	}
	for name, c := range map[string]struct {
		r    Request
		want Cause
	}{
		"cold run":              {lateRequest(late, nil), ColdKey},
		"no warm run yet":       {lateRequest(late, func(r *Request, _ *Try) { r.WarmRunTime = 0 }), ColdKey},
		"slow target":           {lateRequest(coldFactor*warm+time.Millisecond, nil), TargetSlow},
		"full target":           {lateRequest(late, func(_ *Request, t *Try) { t.Saturated = true }), WaitedForSlot},
		"predicted wait":        {lateRequest(late, func(_ *Request, t *Try) { t.Wait = warm }), WaitedForSlot},
		"other region":          {lateRequest(late, func(_ *Request, t *Try) { t.Latency, t.OtherRegion = warm, true }), OtherRegion},
		"caller late":           {lateRequest(late, func(r *Request, _ *Try) { r.TimeUsed = 350 * time.Millisecond }), CallerLate},
		"head-of-line blocked":  {lateRequest(late, func(r *Request, _ *Try) { r.Ready = warm }), HeadOfLineBlocked},
		"no other cause":        {lateRequest(late, func(_ *Request, t *Try) { t.Latency = warm }), Other},
		"no slot":               {refusedOrFailed(Refused, steering.ReasonNoSlot), NoSlotPredicted},
		"no target":             {refusedOrFailed(Refused, steering.ReasonNoTarget), NoTarget},
		"no retry budget":       {refusedOrFailed(Refused, steering.ReasonRetryBudget), RetryBudgetSpent},
		"shed, no retry budget": {refusedOrFailed(Refused, steering.ReasonRetryBudget, placement.Shed), TargetShedding},
		"shed":                  {refusedOrFailed(Refused, steering.ReasonShed, placement.Shed), TargetShedding},
		"failed, then no slot":  {refusedOrFailed(Refused, steering.ReasonNoSlot, placement.Unreachable), TargetLost},
		"VM stopping":           {refusedOrFailed(Failed, steering.ReasonShuttingDown, placement.Silent), VMStopping},
		"VM starting":           {refusedOrFailed(Refused, steering.ReasonNotReady), VMStarting},
		"config behind":         {refusedOrFailed(Refused, steering.ReasonConfigBehind), ConfigBehind},
		"poison":                {refusedOrFailed(Refused, steering.ReasonPoison), PoisonRequest},
		"caller disconnected":   {refusedOrFailed(Failed, steering.ReasonCancelled, placement.Abandoned), CallerDisconnected},
		"no answer in time":     {refusedOrFailed(Failed, steering.ReasonDeadline, placement.Silent), TargetSlow},
		"target crashed":        {refusedOrFailed(Failed, steering.ReasonTargetLost, placement.Broken), TargetLost},
		"server error":          {refusedOrFailed(Failed, "", placement.Failed), TargetFailing},
		"broken, then silent":   {refusedOrFailed(Failed, steering.ReasonDeadline, placement.Broken, placement.Silent), TargetLost},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, CauseOf(c.r), c.want) })
	}
	spoiled := refusedOrFailed(Failed, steering.ReasonResponseMismatched)
	spoiled.Tries = []Try{{Outcome: placement.Broken, InvalidResponse: true}}
	assert.Equal(t, CauseOf(spoiled), InvalidResponse)
	short := refusedOrFailed(Refused, steering.ReasonNoSlot)
	short.Deadline = warm / 2
	assert.Equal(t, CauseOf(short), DeadlineTooShort)
	tooLate := refusedOrFailed(Refused, steering.ReasonNoSlot)
	tooLate.TimeUsed = aim
	assert.Equal(t, CauseOf(tooLate), CallerLate)
}

// Guards against lost requests that are counted under no cause: CauseOf has to return one
// for any combination of outcome, reason, times and tries.
func TestCauseOfIsNeverEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond
		}
		r := Request{Outcome: Outcome(rapid.IntRange(1, 3).Draw(t, "outcome")), Aim: span("aim"), TimeUsed: span("used"), Deadline: span("deadline"),
			WarmRunTime: span("warm"), Ready: span("ready"), Latency: span("took"),
			Reason: steering.Reason(rapid.SampledFrom([]string{"", "no_slot", "not_ready", "deadline", "shed"}).Draw(t, "reason"))}
		for range rapid.IntRange(0, 3).Draw(t, "tries") {
			r.Tries = append(r.Tries, Try{Outcome: placement.Outcome(rapid.IntRange(0, 7).Draw(t, "try")), Latency: span("try took"), Wait: span("wait")})
		}
		assert.Assert(t, CauseOf(r) != "")
	})
}

// The deadlines of first attempts differ by a sixth, so 5 s after 6 s may still be a first
// attempt, while a request with 4 s left must be a repeated one.
func TestUsedTimeFromRemainingDeadline(t *testing.T) {
	tally := NewTally()
	k := Kind{Service: "s"}
	assert.Equal(t, tally.TimeUsed(k, 6*time.Second), time.Duration(0))
	assert.Equal(t, tally.TimeUsed(k, 5*time.Second), time.Duration(0), "another caller's first attempt")
	assert.Assert(t, tally.TimeUsed(k, 4*time.Second) > 500*time.Millisecond)
	assert.Equal(t, tally.TimeUsed(k, 0), time.Duration(0), "no deadline")
}

// Guards against a tally that grows with the number of kinds, and against requests that are
// lost at the bound or counted again after Take.
func TestTallyIsBoundedAndReset(t *testing.T) {
	tally := NewTally()
	for n := range 10 * maxKinds {
		k := Kind{AimMs: int64(n + 1)}
		tally.TimeUsed(k, time.Second)
		tally.Add(k, Late, ColdKey, false)
	}
	assert.Assert(t, len(tally.longestDeadline) <= maxKinds)
	all := tally.Take()
	assert.Equal(t, len(all), maxKinds+1)
	asked := 0
	for _, s := range all {
		asked += s.Asked
	}
	assert.Equal(t, asked, 10*maxKinds)
	assert.Equal(t, len(tally.Take()), 0)
}
