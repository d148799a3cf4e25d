package relay_test

import (
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/relay"
	"heatherlock/steering/placement"
)

// Symptom: an entry VM stands still for good: its callers get no answer, others no longer hear
// it, its last line tells a configuration in force (soak seed 721, two plays of five).
//
// Sequence: it takes in news of targets while it writes a heartbeat. Cause: the reader holds
// its lock and tells the targets, for which it waits for the lock of placement; the heartbeat
// holds that one and asks the reader how old its read is.
//
// Evidence: after that line it wrote none, not even that of each second, and its process did
// not end; what is played here stands still when the age is asked for under the lock.
func TestHeartbeatDoesNotWaitForTheReaderUnderTheLockOfPlacement(t *testing.T) {
	var reader sync.Mutex
	f := relay.New(relay.Config{Region: "centro", Log: log.NewNopLogger(), Balancer: placement.NewBalancer("vm", "centro"),
		StoreAge: func() time.Duration {
			reader.Lock()
			defer reader.Unlock()
			return 0
		}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var both sync.WaitGroup
		both.Go(func() {
			for range 2000 {
				reader.Lock()
				f.SetTargets(nil)
				reader.Unlock()
			}
		})
		both.Go(func() {
			for range 2000 {
				f.TakeFacts(time.Now(), true)
			}
		})
		both.Wait()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		assert.Assert(t, false, "each waits for the other")
	}
}
