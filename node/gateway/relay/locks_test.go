package relay_test

import (
	"net/http"
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

// Guards against an entry VM that answers nothing until it is killed: a response in which a target says that it
// leaves is logged with the age of the store's copy, for which the store reader is asked, and the reader holds
// its lock while it waits for the placement lock.
func TestStoreAgeIsAskedForWithoutThePlacementLock(t *testing.T) {
	g := newRig(t, 2, nil)
	asked := make(chan struct{}, 10)
	g.storeAge = func() time.Duration {
		g.relay.CutOff() // takes the placement lock, as the reader does after its own
		asked <- struct{}{}
		return time.Second
	}
	for _, e := range g.targets {
		e.SetHeader("Server-Leaving", "1")
	}
	answered := make(chan reply, 1)
	go func() { answered <- g.ask("GET", "/read/1", "", time.Second) }()
	select {
	case got := <-answered:
		assert.Equal(t, got.status, http.StatusOK)
	case <-time.After(3 * time.Second):
		t.Fatal("the VM answers nothing")
	}
	select {
	case <-asked:
	case <-time.After(time.Second):
		t.Fatal("the age of the store's copy is not logged")
	}
}
