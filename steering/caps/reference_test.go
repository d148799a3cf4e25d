package caps

import (
	"time"

	"pgregory.net/rapid"
)

// reference checks the cap without a notion of permits: it records when requests started and which
// rules were in force, and counts the starts in every window.
type reference struct {
	rules   []Rule
	started []time.Duration
	periods []period
}

// period is a period in which the rules in force did not change.
type period struct {
	from           time.Duration
	oldest, newest int64 // versions
}

func (r *reference) mark(now time.Duration, oldest, newest int64) {
	if n := len(r.periods); n > 0 && r.periods[n-1].oldest == oldest && r.periods[n-1].newest == newest {
		return
	}
	r.periods = append(r.periods, period{now, oldest, newest})
}

// bound returns the largest cap and the shortest window among the rules that were in force at any
// time after from.
func (r *reference) bound(from time.Duration) (requests int, window time.Duration) {
	window = time.Hour
	for i, e := range r.periods {
		if i+1 < len(r.periods) && r.periods[i+1].from <= from {
			continue
		}
		for _, rule := range r.rules {
			if rule.Version >= e.oldest && rule.Version <= e.newest {
				requests = max(requests, rule.Requests)
				window = min(window, rule.Window)
			}
		}
	}
	return requests, window
}

// check counts the starts in the window that ends now. Among the windows that exceed the cap, there
// is always one that ends with a start, so it is enough to check at each start.
func (r *reference) check(t *rapid.T, now time.Duration) {
	longest := time.Duration(0)
	for _, rule := range r.rules {
		longest = max(longest, rule.Window)
	}
	requests, window := r.bound(now - longest)
	n := 0
	for i := len(r.started) - 1; i >= 0 && r.started[i] > now-window; i-- {
		n++
	}
	if n > requests {
		t.Fatalf("%d requests started in the %s before %s; the cap was %d", n, window, now, requests)
	}
}
