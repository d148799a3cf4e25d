package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: an entry VM that starts serves nobody, or one that runs learns nothing new,
// for as long as one entry in the store is spoiled. Sequence: another writer leaves an
// entry that names no target, before the VM starts and while it runs. Cause: taking one
// entry's error for a failed read of the store.
func TestSpoiledEntriesStopNeitherAStartNorNews(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Put("servers", "spoiled", map[string]any{"service": "svc", "address": 7})
	s.store.Put("servers", "odd", "no object")
	s.store.Put("heatherlock-entry-vms", "odd", 7)
	v := s.startAll(1)[0]
	runs := func(name string) int { return len(s.targets[name].Runs()) }
	askSome := func() {
		for n := range 12 {
			assert.Equal(t, s.ask(v, fmt.Sprint("/read/", n)), 200)
		}
	}
	askSome()
	assert.Assert(t, runs("t1") > 0)

	s.store.Put("servers", "t1", map[string]any{"service": "svc", "address": "nowhere"})
	s.addTarget("t3")
	within(t, 3*time.Second, "the new target is used", func() bool { askSome(); return runs("t3") > 0 })
	before := runs("t1")
	askSome()
	assert.Equal(t, runs("t1"), before, "an entry that names no target draws no request")

	s.register("t1", "ready", 2)
	within(t, 3*time.Second, "the target that wrote again is used", func() bool { askSome(); return runs("t1") > before })
}
