package quickstart

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/api/oas"
	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

// timingPromises limit how long something takes. A busy test machine alone can
// break them, so the tests check only the other promises. The quickstart command
// checks all.
var timingPromises = []witness.Promise{witness.PromiseConfigFast, witness.PromiseNoNewWork}

// alwaysExercised are the promises that every test run exercises, even on a busy
// machine.
var alwaysExercised = []witness.Promise{witness.PromiseOverload, witness.PromiseWhole, witness.PromiseOnce, witness.PromiseUploads}

func shortRun(t *testing.T, faults ...Fault) *Report {
	t.Helper()
	o := Defaults()
	o.For, o.RunOver, o.Load, o.Faults = 2*time.Second, 0, 0.08, faults
	var text bytes.Buffer
	report, err := Run(t.Context(), o, Screen{Out: &text})
	assert.NilError(t, err)
	t.Log(text.String())
	return report
}

func checkRun(t *testing.T, r *Report) {
	t.Helper()
	assert.Check(t, r.Answered > 0)
	assert.Check(t, len(r.NotDone) == 0, "%v", r.NotDone)
	assert.Equal(t, r.Requests, r.Answered+r.Refused+r.Wrong+r.BrokenOff+r.Failed+r.Unsent+r.Late)
	for _, p := range r.Promises {
		if !slices.Contains(timingPromises, p.Promise) {
			assert.Check(t, p.Broken == 0, "%s: %s", p.Promise, p.Detail)
		}
		if slices.Contains(alwaysExercised, p.Promise) {
			assert.Check(t, p.Exercised, "%s", p.Promise)
		}
	}
}

// slowTransport delays every response.
type slowTransport struct{ delay time.Duration }

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	time.Sleep(s.delay)
	if err == nil && r.Context().Err() != nil {
		response.Body.Close()
		return nil, r.Context().Err()
	}
	return response, err
}

// Guards against a run on a busy machine that reports a step as not done with
// "context canceled": the response to an operator's change arrives after the time of
// the run is over, and the end of the run must not cancel the call. Responses that
// take half of the run's length reproduce it.
func TestStepInProgressCompletesAfterTheRunEnds(t *testing.T) {
	t.Parallel()
	o := Defaults()
	o.For, o.RunOver, o.Load = time.Second, 0, 0.02
	s, err := newSystem(deploy.Chile(), o.Seed, log.NewNopLogger(), "")
	assert.NilError(t, err)
	defer s.close()
	r := &runState{options: o, system: s, screen: Screen{Out: io.Discard}}
	assert.NilError(t, s.startAll())
	assert.NilError(t, r.declare(t.Context()))
	all := s.all()
	r.operator.client, err = oas.NewClient("http://"+all[len(all)-1].addresses.Operator, oas.WithClient(&http.Client{Transport: slowTransport{o.For / 2}}))
	assert.NilError(t, err)
	r.startCallers()
	defer r.closeCallers()
	r.execute(t.Context(), time.Now())
	assert.Equal(t, len(r.notDone), 0, "%v", r.notDone)
	shift, err := r.operator.client.GetObject(t.Context(), oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	assert.NilError(t, err)
	assert.Equal(t, shift.Shift.Spec.Percent, shiftPercent)
}

func TestWholeDeployment(t *testing.T) { checkRun(t, shortRun(t)) }

// Guards against a booking made twice, a response to the wrong caller, or an
// overloaded region when two faults coincide: an entry VM is killed under load while
// the platform is down. Each fault alone is tested elsewhere.
func TestEntryVMKilledWhileThePlatformIsDown(t *testing.T) {
	checkRun(t, shortRun(t, FaultKillEntryVM, FaultPlatformDown))
}
