package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/placement"
)

// A caller that comes back states what is left of its deadline.
func TestPatienceTellsReturningCallers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var p placement.Patience
	const full, short = 2500 * time.Millisecond, 800 * time.Millisecond
	wrong := 0
	for n := range 5000 {
		waited := time.Duration(0)
		deadline := full
		if random.IntN(4) == 0 {
			deadline = short // another kind of caller, no less patient than it says
		}
		if random.IntN(2) == 0 {
			waited = time.Duration(50+random.IntN(600)) * time.Millisecond
		}
		got := p.Waited(deadline - waited)
		if n > 100 && got != waited {
			wrong++
		}
	}
	assert.Assert(t, wrong < 50, "%d of 4900 wrong", wrong)
	assert.Equal(t, p.Waited(0), time.Duration(0))
}
