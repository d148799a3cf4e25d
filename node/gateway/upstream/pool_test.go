package upstream_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/standin/endpoint"
	"heatherlock/steering"
)

// Guards against a purchase that is lost although its target is healthy: the target restarts behind
// a network partition, so that its old connections are never closed, and the next request is sent
// on one of them. A request in flight must not be aborted, since it may have reached the new
// generation already.
func TestRetainClosesIdleConnectionsOfOldGenerations(t *testing.T) {
	e, err := endpoint.Start(endpoint.Config{ID: "x", Slots: 4, Queue: 4, Work: 100 * time.Millisecond, WarmShare: 1})
	assert.NilError(t, err)
	t.Cleanup(e.Stop)
	pool := upstream.NewPool(upstream.Dial, platform.RequestIDOf)
	ask := func(generation steering.Generation, id string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := pool.Do(ctx, upstream.Call{Target: "x", Generation: generation, Address: e.Address(), DialTimeout: time.Second},
			&upstream.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"X-Request-Id": {id}}, ID: id})
		return err
	}
	generations := func(generation steering.Generation) func(steering.Target) (steering.Generation, bool) {
		return func(steering.Target) (steering.Generation, bool) { return generation, true }
	}
	assert.NilError(t, ask(1, "a"))
	assert.NilError(t, ask(1, "b"))
	assert.Equal(t, e.Connections(), 1)
	pool.CloseStale(generations(1))
	assert.NilError(t, ask(1, "c"))
	assert.Equal(t, e.Connections(), 1, "nothing restarted")
	pool.CloseStale(generations(2))
	assert.NilError(t, ask(2, "d"))
	assert.Equal(t, e.Connections(), 2, "no idle connection of the previous generation is used")

	inFlight := make(chan error, 1)
	go func() { inFlight <- ask(2, "e") }()
	time.Sleep(30 * time.Millisecond)
	pool.CloseStale(generations(3))
	assert.NilError(t, <-inFlight, "a request in flight is not aborted")
	pool.CloseStale(func(steering.Target) (steering.Generation, bool) { return 0, false })
	assert.NilError(t, ask(3, "f"))
	assert.Equal(t, e.Connections(), 3, "a target that was removed gets a new connection")
}
