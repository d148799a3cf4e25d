package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

// Guards against workspaces that are starved by others which stay within their allowances. Under
// overload, the share of requests answered in time must be at least half as high for each workspace
// as for all together, however different their demand is.
func TestNoWorkspaceIsStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const spaces = 8
		p := newSimulationOf(2, rapid.Float64Range(400, 600).Draw(t, "requests a second and region"))
		weights, sum := make([]int, spaces), 0
		for n := range weights {
			weights[n] = rapid.IntRange(1, 40).Draw(t, "weight")
			sum += weights[n]
		}
		p.keyOf = func(region steering.Region) string {
			drawn, n := p.random.IntN(sum), 0
			for drawn >= weights[n] {
				drawn -= weights[n]
				n++
			}
			return fmt.Sprintf("%s-key-%d-of-%d", region, p.random.IntN(keysPerRegion/spaces), n)
		}
		p.run(2 * time.Second)
		p.byWorkspace = make(map[string]*tally)
		all := &tally{}
		for _, got := range p.run(3 * time.Second) {
			all.requests, all.inTime = all.requests+got.requests, all.inTime+got.inTime
		}
		for space, got := range p.byWorkspace {
			if got.requests >= 100 {
				assert.Assert(t, got.inTimeShare() >= all.inTimeShare()/2, "workspace %s: %.2f of %d in time, all %.2f", space, got.inTimeShare(), got.requests, all.inTimeShare())
			}
		}
	})
}
