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

// timed are the promises about how soon something happens. A busy test machine
// can break them by itself, so tests judge the others; quickstart judges all.
var timed = []witness.Promise{witness.PromiseConfigFast, witness.PromiseNoNewWork}

// exercisedAlways are the promises that every run of the tests puts to the
// test, whatever the machine does.
var exercisedAlways = []witness.Promise{witness.PromiseOverload, witness.PromiseWhole, witness.PromiseOnce, witness.PromiseUploads}

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

func judgeRun(t *testing.T, r *Report) {
	t.Helper()
	assert.Check(t, r.Answered > 0)
	assert.Check(t, len(r.NotDone) == 0, "%v", r.NotDone)
	assert.Equal(t, r.Requests, r.Answered+r.Refused+r.Wrong+r.BrokenOff+r.Failed+r.Unsent+r.Late)
	for _, p := range r.Promises {
		if !slices.Contains(timed, p.Promise) {
			assert.Check(t, p.Broken == 0, "%s: %s", p.Promise, p.Detail)
		}
		if slices.Contains(exercisedAlways, p.Promise) {
			assert.Check(t, p.Exercised, "%s", p.Promise)
		}
	}
}

// slowly lets answers take a while to come.
type slowly struct{ by time.Duration }

func (s slowly) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	time.Sleep(s.by)
	if err == nil && r.Context().Err() != nil {
		response.Body.Close()
		return nil, r.Context().Err()
	}
	return response, err
}

// Symptom: a run on a busy machine reports a step that was not done, "context canceled".
//
// Sequence: an operator's change is answered later than the run's time is up. Cause: the end
// of the run ended the call.
//
// Evidence: with answers that take half of the run's length it is reported if the end of the
// run ends the call, and not if the step is let finish.
func TestStepUnderWayAtTheEndOfARunIsDone(t *testing.T) {
	t.Parallel()
	o := Defaults()
	o.For, o.RunOver, o.Load = time.Second, 0, 0.02
	s, err := newSystem(deploy.Chile(), o.Seed, log.NewNopLogger(), "")
	assert.NilError(t, err)
	defer s.close()
	r := &running{options: o, system: s, screen: Screen{Out: io.Discard}}
	assert.NilError(t, s.startAll())
	assert.NilError(t, r.declare(t.Context()))
	all := s.all()
	r.operator.client, err = oas.NewClient("http://"+all[len(all)-1].addresses.Operator, oas.WithClient(&http.Client{Transport: slowly{o.For / 2}}))
	assert.NilError(t, err)
	r.startCallers()
	defer r.closeCallers()
	r.work(t.Context(), time.Now())
	assert.Equal(t, len(r.notDone), 0, "%v", r.notDone)
	shift, err := r.operator.client.GetObject(t.Context(), oas.GetObjectParams{Kind: oas.KindShift, Name: shiftName})
	assert.NilError(t, err)
	assert.Equal(t, shift.Shift.Spec.Percent, shiftPercent)
}

func TestWholeDeployment(t *testing.T) { judgeRun(t, shortRun(t)) }

// Symptom: a booking is made twice, an answer goes to the wrong nurse, or a
// region is overloaded, at the moment something fails. Sequence: the zone's
// entry VM is killed under load while the platform is down. Cause: two faults
// at once, of which each part was tested alone.
func TestEntryVMKilledWhileThePlatformIsDown(t *testing.T) {
	judgeRun(t, shortRun(t, FaultKillEntryVM, FaultPlatformDown))
}
