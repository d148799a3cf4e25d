package benchcaps

import (
	"math/rand/v2"
	"time"
)

// runCentral simulates a central counter that sees every request without delay and
// admits it if fewer requests than the cap started in the last window. No scheme
// can admit more under a sliding window.
func runCentral(s scenario) result {
	return runCounter(s, func(starts []time.Duration, now time.Duration) bool {
		return len(starts) < s.requests || starts[len(starts)-s.requests] <= now-s.window
	})
}

// runFixedWindow simulates a central counter that is reset at the start of each
// window, as in simple rate limiters.
func runFixedWindow(s scenario) result {
	return runCounter(s, func(starts []time.Duration, now time.Duration) bool {
		first := now.Truncate(s.window)
		return len(starts) < s.requests || starts[len(starts)-s.requests] < first
	})
}

// runCounter simulates a central counter. A request waits up to maxPermitWait for
// a permit, as in the product. canStart reports whether a request may start now,
// given the times at which earlier ones started.
func runCounter(s scenario, canStart func(starts []time.Duration, now time.Duration) bool) result {
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
			if now-waiting[0] > maxPermitWait {
				waiting = waiting[1:]
				continue
			}
			if !canStart(r.starts, now) {
				break
			}
			waiting = waiting[1:]
			r.admitted++
			r.starts = append(r.starts, now)
		}
	}
	return r
}
