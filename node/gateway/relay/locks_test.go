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

// Guards against a deadlock that stops an entry VM for good, so that it sends no responses and no
// heartbeats. The store reader holds its own lock while it passes new targets on, for which it
// waits for the placement lock; a heartbeat that asks the reader for the age of its read must not
// hold the placement lock meanwhile. Seen in two of five soak runs with seed 721: the process did
// not end, but wrote nothing more after "configuration in force".
func TestHeartbeatDoesNotDeadlockWithStoreReader(t *testing.T) {
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
		var workers sync.WaitGroup
		workers.Go(func() {
			for range 2000 {
				reader.Lock()
				f.SetTargets(nil)
				reader.Unlock()
			}
		})
		workers.Go(func() {
			for range 2000 {
				f.TakePoisonFacts(time.Now(), true)
			}
		})
		workers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		assert.Assert(t, false, "heartbeat and store reader deadlocked")
	}
}
