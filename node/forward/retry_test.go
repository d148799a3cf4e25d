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

// inTurn grants the targets of the place one after the other.
type inTurn struct {
	*entry
	turn int
}

func (a *inTurn) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
	a.turn++
	targets := a.w.snapshot.Places[r.Place].Targets
	for i := range targets {
		t := targets[(a.turn+i)%len(targets)]
		if !contains(r.Avoid, t.Name) {
			return &fakeGrant{a.entry, t}, a.took()
		}
	}
	return nil, steering.Refuse(steering.ReasonNoSlot, time.Second, "none left")
}

func (a *inTurn) took() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy++
	return nil
}

func (w *world) amplification(requests int) float64 {
	for range requests {
		w.send(w.a, "GET", "")
	}
	return float64(w.ran("t1")+w.ran("t2")) / float64(requests)
}

// Symptom: a brown-out of half the targets takes the other half down. Sequence:
// one of two targets answers 503 to everything; callers go on as before. Cause:
// each failure is tried again, and the healthy target gets half as much again.
func TestBrownOutLoadStaysWithinBudget(t *testing.T) {
	const requests = 400
	sick := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	inWorld(t, func(t *testing.T, w *world) {
		w.snapshot.Services["tickets"].RetryPercent = 10
		w.a.admitter = &inTurn{entry: w.a}
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

// Symptom: one slow target makes every tenth caller wait. Sequence: it takes two
// seconds; another one is idle. Cause: nobody asks the other one. And: hedges
// double the load, or run a purchase twice.
func TestHedges(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
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
		assert.Equal(t, int(cancelled.Load()), hedges, "a loser goes on")
		assert.Assert(t, quick == hedges)

		before = w.ran("t1") + w.ran("t2")
		for range 40 {
			w.send(w.a, "POST", "")
		}
		assert.Equal(t, w.ran("t1")+w.ran("t2"), before+40, "non-idempotent work was hedged")
	})
}
