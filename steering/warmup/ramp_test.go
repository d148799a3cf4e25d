package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// For every usage pattern, the share in use grows by at most the factor from one step to the next
// and never starts above the initial share.
func TestGrowthIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{InitialShare: 0.2, Factor: rapid.Float64Range(1.1, 3).Draw(t, "factor"), Step: time.Second}
		r := NewCold(start, cfg)
		now := start
		// peak[i] is the largest share in use in step i, from which the test derives the bound.
		peak := map[int]float64{}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			use := r.Share(now) * rapid.Float64Range(0, 1).Draw(t, "part")
			r.Used(now, use)
			step := int(now.Sub(start) / cfg.Step)
			peak[step] = max(peak[step], use)
			most := cfg.InitialShare
			for earlier, used := range peak {
				if earlier < step {
					most = max(most, used*cfg.Factor)
				}
			}
			assert.Assert(t, use <= most+1e-9, "%.3f in use in step %d, but at most %.3f is allowed", use, step, most)
		}
	})
}

func TestUseWarmsAndTimeAloneDoesNot(t *testing.T) {
	idle, busy := NewCold(start, Config{}), NewCold(start, Config{})
	now := start
	for now.Before(start.Add(time.Minute)) {
		now = now.Add(100 * time.Millisecond)
		busy.Used(now, busy.Share(now))
	}
	assert.Equal(t, idle.Share(now), defaultInitialShare)
	assert.Assert(t, busy.Warm(now))
	assert.Equal(t, busy.Remaining(now), time.Duration(0))
}

// Guards against a place that receives two traffic shifts at once and is loaded twice as fast as
// its ramp allows, because each shift has a ramp of its own. Here both shifts use the ramp of the
// place, and their sum stays within the bound.
func TestTwoShiftsShareOneRamp(t *testing.T) {
	r := NewAt(start, Config{Step: time.Second}, 0.3)
	now, last := start, 0.3
	for step := range 4 {
		share := r.Share(now)
		assert.Assert(t, share <= last*defaultFactor+1e-9, "step %d", step)
		first := min(0.5, share) // share taken by one shift
		second := share - first  // share left to the other
		r.Used(now, first+second)
		last = share
		now = now.Add(time.Second)
	}
	assert.Assert(t, r.Share(now) > 0.9)
}
