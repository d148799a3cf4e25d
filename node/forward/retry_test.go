package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// roundRobinAdmitter grants the targets of the place in rotation.
type roundRobinAdmitter struct {
	*entryVM
	turn int
}

func (a *roundRobinAdmitter) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
	a.turn++
	targets := a.w.snapshot.Places[r.Place].Targets
	for i := range targets {
		t := targets[(a.turn+i)%len(targets)]
		if !contains(r.Avoid, t.Name) {
			return &fakeGrant{a.entryVM, t}, a.countBusy()
		}
	}
	return nil, steering.Refuse(steering.ReasonNoSlot, time.Second, "none left")
}

func (a *roundRobinAdmitter) countBusy() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy++
	return nil
}

func (w *testbed) amplification(requests int) float64 {
	for range requests {
		w.send(w.a, "GET", "")
	}
	return float64(w.ran("t1")+w.ran("t2")) / float64(requests)
}

// Guards against a brownout of half the targets overloading the other half: one of two targets
// responds 503 to every request, and if each failure is retried, the healthy target receives half
// as much load again.
func TestBrownoutLoadStaysWithinBudget(t *testing.T) {
	const requests = 400
	sick := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.snapshot.Services["tickets"].RetryPercent = 10
		w.a.admitter = &roundRobinAdmitter{entryVM: w.a}
		w.target("t1", sick)
		w.target("t2", ok)
		without := w.amplification(requests)
		w.runs = map[string]int{}
		w.a.retries = NewRetries(w.a, w.a.scope)
		with := w.amplification(requests)
		t.Logf("target load over callers' rate: %.3f with every failure tried again, %.3f with a budget of 10 %%", without, with)
		assert.Assert(t, without > 1.4)
		assert.Assert(t, with <= 1.1+1.0/requests)
	})
}

// Guards against one slow target delaying callers while another target is idle, and against hedges
// that double the load or run a purchase twice.
func TestHedges(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		service := w.snapshot.Services["tickets"]
		service.RetryPercent, service.HedgeAfter = 10, 50*time.Millisecond
		w.a.retries = NewRetries(w.a, w.a.scope)
		var cancelled atomic.Int32
		stuck := func(rw http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				cancelled.Add(1)
			case <-time.After(2 * time.Second):
				ok(rw, r)
			}
		}
		w.target("t1", ok)
		w.target("t2", ok)
		for range 40 {
			w.send(w.a, "GET", "")
		}
		before := w.ran("t1") + w.ran("t2")
		assert.Equal(t, before, 40)

		w.target("t1", stuck)
		quick := 0
		for range 20 {
			began := time.Now()
			assert.Equal(t, w.send(w.a, "GET", "").status, http.StatusOK)
			if time.Since(began) < time.Second {
				quick++
			}
		}
		synctest.Wait()
		hedges := w.ran("t1") + w.ran("t2") - before - 20
		assert.Assert(t, hedges == 3, "%d hedges for 60 first tries at 5 %%", hedges)
		assert.Equal(t, int(cancelled.Load()), hedges, "a try that lost the race was not canceled")
		assert.Assert(t, quick == hedges)

		before = w.ran("t1") + w.ran("t2")
		for range 40 {
			w.send(w.a, "POST", "")
		}
		assert.Equal(t, w.ran("t1")+w.ran("t2"), before+40, "non-idempotent work was hedged")
	})
}
