package platform

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/objects"
)

// Guards against a retry storm that exceeds the platform's rate limits as soon as it
// recovers from an outage of ten minutes, during which the loops of all VMs keep calling.
// It would come from loops that retry without a backoff, or all with the same backoff.
func TestNoRetryStormInAndAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 60
		store := NewStore(Options{})
		stop := make(chan struct{})
		for i := range callers {
			random := rand.New(rand.NewPCG(1, uint64(i))).Float64
			api := objects.NewBudget(store.As(fmt.Sprintf("vm-%d", i), "zone"), objects.BudgetConfig{Random: random})
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						_, _, _ = api.List(t.Context())
					}
				}
			}()
		}
		time.Sleep(10 * time.Second)
		healthy := peak(store.Seconds())
		store.Down(true)
		time.Sleep(10 * time.Minute)
		down := store.Seconds()[len(store.Seconds())-60:]
		store.Down(false)
		time.Sleep(time.Minute)
		after := store.Seconds()[len(store.Seconds())-60:]
		close(stop)
		synctest.Wait()

		assert.Assert(t, peak(down) <= callers/3, "calls/s while down: %d", peak(down))
		assert.Assert(t, peak(after) <= healthy, "calls/s after the end %d, before %d", peak(after), healthy)
		assert.Equal(t, store.Counts().Throttled, int64(0))
	})
}

func peak(seconds []Second) int64 {
	var most int64
	for _, s := range seconds {
		most = max(most, s.Total)
	}
	return most
}

func TestBudgetRefusesLocallyWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(Options{})
		api := objects.NewBudget(store.As("vm", "zone"), objects.BudgetConfig{ReadsPerSecond: 1, Burst: 2})
		_, _ = api.Get(t.Context(), "Cap", "sur")
		_, _ = api.Get(t.Context(), "Cap", "sur")
		_, err := api.Get(t.Context(), "Cap", "sur") // waits up to a second for a token
		assert.Equal(t, objects.KindOf(err), objects.NotFound)
		store.Down(true)
		time.Sleep(2 * time.Second)
		_, err = api.Get(t.Context(), "Cap", "sur")
		assert.Equal(t, objects.KindOf(err), objects.Unavailable)
		received := store.Counts().Total
		_, err = api.Get(t.Context(), "Cap", "sur")
		var e *objects.Error
		assert.Assert(t, asError(err, &e))
		assert.Assert(t, e.RetryAfter > 0)
		assert.Equal(t, store.Counts().Total, received)
	})
}

func asError(err error, e **objects.Error) bool {
	var ok bool
	*e, ok = err.(*objects.Error)
	return ok
}
