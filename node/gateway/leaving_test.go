package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/metastore"
)

// drainBound is how long after a response has said that its target leaves the VM that got it may
// still send the target requests.
const drainBound = 2500 * time.Millisecond

// Guards against requests to a target that says it leaves in its responses, while the store does not
// answer or still lists it as ready.
func TestTargetThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	requests := func(n int) {
		for i := range n {
			assert.Equal(t, s.request(all[i%len(all)], fmt.Sprint("/read/", i)), 200)
		}
	}
	requests(60)
	s.store.SetFaults(metastore.Faults{Busy: metastore.All})
	s.targets["t1"].SetHeader("Server-Leaving", "1")
	requests(60)
	time.Sleep(drainBound)
	before := s.targets["t1"].Arrivals()
	requests(60)
	assert.Check(t, s.targets["t1"].Arrivals() == before, "%d requests while the store is away", s.targets["t1"].Arrivals()-before)

	s.store.SetFaults(metastore.Faults{})
	s.store.Remove("servers", "t1")
	time.Sleep(drainBound)
	s.register("t1", "ready", 7)
	time.Sleep(drainBound)
	before = s.targets["t1"].Arrivals()
	requests(60)
	assert.Check(t, s.targets["t1"].Arrivals() == before, "%d requests once it is listed again", s.targets["t1"].Arrivals()-before)
}

// Guards against a VM that starts and sends requests to a target that has said to others that it leaves, while the store lists
// it as ready.
func TestVMThatStartsIsToldWhatTargetsSaid(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	s.targets["t1"].SetHeader("Server-Leaving", "1")
	for i := range 60 {
		assert.Equal(t, s.request(all[i%2], fmt.Sprint("/read/", i)), 200)
	}
	started := s.start(3)
	within(t, 5*time.Second, "ready", func() bool { return s.ready(started) })
	within(t, 5*time.Second, "told", func() bool { return s.metric(started, "heatherlock_gateway_departures_asked", "whole") > 0 })
	before := s.targets["t1"].Arrivals()
	for i := range 40 {
		assert.Equal(t, s.request(started, fmt.Sprint("/read/", i)), 200)
	}
	assert.Check(t, s.targets["t1"].Arrivals() == before, "%d requests", s.targets["t1"].Arrivals()-before)
}
