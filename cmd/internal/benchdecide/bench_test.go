package benchdecide

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering/pool"
)

// TestHotPathDoesNotAllocate guards against an allocation added to the hot path: it slows
// down every decision at every number of targets and raises the share of CPU time that the
// garbage collector takes on a busy entry VM. The time itself is not asserted.
func TestHotPathDoesNotAllocate(t *testing.T) {
	p := newPool(200, pool.Config{})
	held := acquireGrants(p, 600)
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		k := i * stride % len(held)
		i++
		p.Release(start, held[k], completed)
		held[k] = p.Acquire(start, pool.Request{Deadline: start.Add(1 << 40)}).Grant
	})
	assert.Equal(t, allocs, 0.0)
}
