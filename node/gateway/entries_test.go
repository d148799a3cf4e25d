package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an entry VM that never serves after a start, or learns no changes while it runs,
// as long as the store holds one invalid entry. Another writer leaves an entry that describes no
// target, and the error of that entry is taken for a failed read of the store.
func TestInvalidEntriesBlockNeitherStartNorUpdates(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.store.Put("servers", "spoiled", map[string]any{"service": "svc", "address": 7})
	s.store.Put("servers", "odd", "no object")
	s.store.Put("heatherlock-entry-vms", "odd", 7)
	v := s.startAll(1)[0]
	runs := func(name string) int { return len(s.targets[name].Runs()) }
	requestSome := func() {
		for n := range 12 {
			assert.Equal(t, s.request(v, fmt.Sprint("/read/", n)), 200)
		}
	}
	requestSome()
	assert.Assert(t, runs("t1") > 0)

	s.store.Put("servers", "t1", map[string]any{"service": "svc", "address": "nowhere"})
	s.addTarget("t3")
	within(t, 3*time.Second, "the new target is used", func() bool { requestSome(); return runs("t3") > 0 })
	before := runs("t1")
	requestSome()
	assert.Equal(t, runs("t1"), before, "a target with an invalid entry gets no request")

	s.register("t1", "ready", 2)
	within(t, 3*time.Second, "the target with a valid entry again is used", func() bool { requestSome(); return runs("t1") > before })
}
