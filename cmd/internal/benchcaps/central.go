package benchcaps

import (
	"math/rand/v2"
	"time"
)

// runCentral simulates one counter that sees every request without delay and
// lets one through while fewer than the cap started in the last window: the
// most that any way can let through under a sliding window.
func runCentral(s scene) result {
	return runCounter(s, func(starts []time.Duration, now time.Duration) bool {
		return len(starts) < s.requests || starts[len(starts)-s.requests] <= now-s.window
	})
}

// runFixedWindow simulates one counter that is set back at the start of each
// window, as simple limiters do.
func runFixedWindow(s scene) result {
	return runCounter(s, func(starts []time.Duration, now time.Duration) bool {
		first := now.Truncate(s.window)
		return len(starts) < s.requests || starts[len(starts)-s.requests] < first
	})
}

// runCounter simulates one counter; requests wait as in the product.
func runCounter(s scene, free func(starts []time.Duration, now time.Duration) bool) result {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	var r result
	var waiting []time.Duration
	for now := time.Duration(0); now < s.length; now += step {
		for _, n := range s.arrivals(rng, now) {
			for range n {
				r.offered++
				waiting = append(waiting, now)
			}
		}
		for len(waiting) > 0 {
			if now-waiting[0] > patience {
				waiting = waiting[1:]
				continue
			}
			if !free(r.starts, now) {
				break
			}
			waiting = waiting[1:]
			r.admitted++
			r.starts = append(r.starts, now)
		}
	}
	return r
}
