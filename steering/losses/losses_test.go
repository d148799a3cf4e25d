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

func answered(took time.Duration, change func(*Request, *Try)) Request {
	r := Request{Outcome: Late, Aim: aim, Deadline: 2 * time.Second, Warm: warm, Ready: took, Took: took}
	t := Try{Outcome: placement.Served, Took: took}
	if change != nil {
		change(&r, &t)
	}
	r.Tries = append(r.Tries, t)
	return r
}

func TestEachCauseIsFound(t *testing.T) {
	const late = 500 * time.Millisecond
	own := func(o Outcome, reason steering.Reason, tries ...placement.Outcome) Request {
		r := Request{Outcome: o, Reason: reason, Aim: aim, Deadline: 2 * time.Second, Warm: warm}
		for _, outcome := range tries {
			r.Tries = append(r.Tries, Try{Outcome: outcome})
		}
		return r
	}
	for name, c := range map[string]struct {
		r    Request
		want Cause
	}{
		"cold run":              {answered(late, nil), Cold},
		"nothing known yet":     {answered(late, func(r *Request, _ *Try) { r.Warm = 0 }), Cold},
		"slow target":           {answered(coldFactor*warm+time.Millisecond, nil), Slow},
		"full target":           {answered(late, func(_ *Request, t *Try) { t.Crowded = true }), Waited},
		"wait foreseen":         {answered(late, func(_ *Request, t *Try) { t.Wait = warm }), Waited},
		"far away":              {answered(late, func(_ *Request, t *Try) { t.Took, t.Away = warm, true }), Away},
		"came late":             {answered(late, func(r *Request, _ *Try) { r.Used = 350 * time.Millisecond }), CameLate},
		"behind others":         {answered(late, func(r *Request, _ *Try) { r.Ready = warm }), Queued},
		"nothing of these":      {answered(late, func(_ *Request, t *Try) { t.Took = warm }), Other},
		"no room":               {own(Refused, steering.ReasonNoSlot), Predicted},
		"no target":             {own(Refused, steering.ReasonNoTarget), NoTarget},
		"no budget":             {own(Refused, steering.ReasonRetryBudget), Budget},
		"shed, no budget":       {own(Refused, steering.ReasonRetryBudget, placement.Shed), Shedding},
		"shed":                  {own(Refused, steering.ReasonShed, placement.Shed), Shedding},
		"failed then no room":   {own(Refused, steering.ReasonNoSlot, placement.Unreachable), Gone},
		"starting":              {own(Refused, steering.ReasonNotReady), Starting},
		"behind":                {own(Refused, steering.ReasonConfigBehind), Behind},
		"harmful":               {own(Refused, steering.ReasonPoison), HeldBack},
		"caller left":           {own(Failed, steering.ReasonCancelled, placement.Abandoned), CallerLeft},
		"no answer in time":     {own(Failed, steering.ReasonDeadline, placement.Silent), Slow},
		"target died":           {own(Failed, steering.ReasonTargetDied, placement.Broken), Gone},
		"target's own failure":  {own(Failed, "", placement.Failed), Failing},
		"second try after slow": {own(Failed, steering.ReasonDeadline, placement.Broken, placement.Silent), Gone},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, CauseOf(c.r), c.want) })
	}
	spoiled := own(Failed, steering.ReasonAnswerCrossed)
	spoiled.Tries = []Try{{Outcome: placement.Broken, Spoiled: true}}
	assert.Equal(t, CauseOf(spoiled), Spoiled)
	short := own(Refused, steering.ReasonNoSlot)
	short.Deadline = warm / 2
	assert.Equal(t, CauseOf(short), Short)
	tooLate := own(Refused, steering.ReasonNoSlot)
	tooLate.Used = aim
	assert.Equal(t, CauseOf(tooLate), CameLate)
}

// Every request that was lost has one cause, whatever is known of it.
func TestEveryLossHasACause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond
		}
		r := Request{Outcome: Outcome(rapid.IntRange(1, 3).Draw(t, "outcome")), Aim: span("aim"), Used: span("used"), Deadline: span("deadline"),
			Warm: span("warm"), Ready: span("ready"), Took: span("took"),
			Reason: steering.Reason(rapid.SampledFrom([]string{"", "no_slot", "not_ready", "deadline", "shed"}).Draw(t, "reason"))}
		for range rapid.IntRange(0, 3).Draw(t, "tries") {
			r.Tries = append(r.Tries, Try{Outcome: placement.Outcome(rapid.IntRange(0, 7).Draw(t, "try")), Took: span("try took"), Wait: span("wait")})
		}
		assert.Assert(t, CauseOf(r) != "")
	})
}

// Callers differ in patience by a sixth; one that has surely come back allows less.
func TestUsedTimeIsToldFromPatience(t *testing.T) {
	tally := NewTally()
	k := Kind{Service: "s"}
	assert.Equal(t, tally.Used(k, 6*time.Second), time.Duration(0))
	assert.Equal(t, tally.Used(k, 5*time.Second), time.Duration(0), "another caller's first attempt")
	assert.Assert(t, tally.Used(k, 4*time.Second) > 500*time.Millisecond)
	assert.Equal(t, tally.Used(k, 0), time.Duration(0), "one that states no deadline")
}

func TestTallyIsBoundedAndTakenOnce(t *testing.T) {
	tally := NewTally()
	for n := range 10 * mostKinds {
		k := Kind{AimMs: int64(n + 1)}
		tally.Used(k, time.Second)
		tally.Add(k, Late, Cold, false)
	}
	assert.Assert(t, len(tally.longest) <= mostKinds)
	all := tally.Take()
	assert.Equal(t, len(all), mostKinds+1)
	asked := 0
	for _, s := range all {
		asked += s.Asked
	}
	assert.Equal(t, asked, 10*mostKinds)
	assert.Equal(t, len(tally.Take()), 0)
}
