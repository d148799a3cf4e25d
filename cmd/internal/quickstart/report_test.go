package quickstart

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

// idleRun returns a run in which nothing has happened yet.
func idleRun() *runState {
	s := &system{deployment: deploy.Chile(), witness: witness.New(), targets: &deploy.Running{}}
	return &runState{options: Defaults(), system: s, operator: &operator{system: s}, traffic: traffic.New(nil, 1, "")}
}

// Guards against a run that passes although a promise was never exercised: zero
// observations must not count as held.
func TestUnexercisedPromiseFailsTheRun(t *testing.T) {
	report := idleRun().report(time.Second)
	assert.Check(t, !report.Held)
	for _, p := range report.Promises {
		assert.Equal(t, p.Result, resultNotExercised)
	}
	var text bytes.Buffer
	report.WriteText(&text)
	assert.Check(t, bytes.Contains(text.Bytes(), []byte("0 promises broken, 10 not exercised, 0 steps not done")))
}

// Guards against exit code 0 after a purchase that ran twice, because the finding
// does not reach the report.
func TestBrokenPromiseIsReported(t *testing.T) {
	r := idleRun()
	w := r.system.witness
	w.Declare("tickets-1", "norte-a", "tickets", 3)
	for range 2 {
		e := w.Started(witness.Start{At: time.Now(), Target: "tickets-1", Request: "p", Try: "p/1"})
		w.Finished(e, time.Now(), witness.EndAnswered)
	}
	w.Answered(witness.Try{Request: "p", Try: "p/1", Kind: witness.KindPurchase})
	report := r.report(time.Second)
	assert.Check(t, !report.Held)
	assert.Equal(t, report.RunTwice, 1)
	path := filepath.Join(t.TempDir(), "r.json")
	assert.NilError(t, report.WriteJSON(path))
	raw, err := os.ReadFile(path)
	assert.NilError(t, err)
	var keys map[string]any
	assert.NilError(t, json.Unmarshal(raw, &keys))
	for _, key := range []string{"requests", "answered", "refused", "wrong_answers", "purchases", "purchases_run_twice", "not_run_but_ran", "cap", "cap_peak", "overload_peak", "uploads", "uploads_cut", "new_work_after_drain_s", "latency_ms"} {
		_, ok := keys[key]
		assert.Check(t, ok, key)
	}
	assert.Equal(t, keys["purchases_run_twice"], 1.0)
}

// Guards against an interrupted upload that is excused by an unrelated fault: a
// fault excuses only tries that ran while it happened and whose path it affected.
func TestFaultExcusesOnlyAffectedTries(t *testing.T) {
	at := time.Now()
	after := func(s float64) time.Time { return at.Add(time.Duration(s * float64(time.Second))) }
	s := &system{kills: []kill{{vm: "a-1", at: at, until: at}}}
	assert.Check(t, s.excused("a-1", "", after(-1), after(1)))
	assert.Check(t, s.excused("b-1", "b-1, a-1", after(-1), after(1)))
	assert.Check(t, !s.excused("b-1", "b-1", after(-1), after(1)))
	assert.Check(t, !s.excused("a-1", "", after(1), after(2)))
	s.recordIsolation(after(10))
	assert.Check(t, s.excused("b-1", "", after(9), after(10.5)))
	assert.Check(t, !s.excused("b-1", "", after(10.1), after(10.5)), "began after the isolation")
	assert.Check(t, !s.excused("b-1", "", after(9), after(12)), "ended long after the isolation")
}

func TestOptionsOutOfBounds(t *testing.T) {
	cases := map[string]func(*Options){
		"--for 1s":               func(o *Options) { o.For = time.Second },
		"--for 1h":               func(o *Options) { o.For = time.Hour },
		"--load 0":               func(o *Options) { o.Load = 0 },
		"--load 9":               func(o *Options) { o.Load = 9 },
		"--stretch 0":            func(o *Options) { o.Stretch = 0 },
		"no fault \"x\"":         func(o *Options) { o.Faults = []Fault{"x"} },
		"no deployment \"peru\"": func(o *Options) { o.Deployment = "peru" },
	}
	for want, modify := range cases {
		o := Defaults()
		modify(&o)
		assert.ErrorContains(t, o.Check(), want)
	}
	assert.NilError(t, Defaults().Check())
}
