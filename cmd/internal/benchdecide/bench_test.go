package benchdecide

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering/pool"
)

// A hot path that allocates once more is slower at every size and shows in the
// collector's share of a busy entry VM; time itself is not asserted.
func TestHotPathDoesNotAllocate(t *testing.T) {
	p := newPool(200, pool.Config{})
	held := fill(p, 600)
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		k := i * stride % len(held)
		i++
		p.Release(start, held[k], done)
		held[k] = p.Acquire(start, pool.Request{Deadline: start.Add(1 << 40)}).Grant
	})
	assert.Equal(t, allocs, 0.0)
}
