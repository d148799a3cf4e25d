package waiting

import (
	"math"
	"slices"
	"time"

	"heatherlock/steering/rendezvous"
)

const (
	// startWindow is the time over which starts are counted. It covers several runs, and is short enough to
	// follow a burst or the loss of targets.
	startWindow = time.Second
	// minStarts is how many starts the rate needs before it is used.
	minStarts = 8
	// minRetryAfter and maxRetryAfter limit Retry-After, as those of placement do.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// startRate is a moving average of the rate at which waiting requests of a service start.
type startRate struct {
	count float64 // within startWindow
	at    time.Time
}

func (r *startRate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.count *= math.Exp(-float64(now.Sub(r.at)) / float64(startWindow))
	}
	if r.count < 0.01 {
		r.count = 0
	}
	r.at = now
}

func (r *startRate) add(now time.Time) {
	r.decay(now)
	r.count++
}

// interval returns the mean time between two starts, or 0 if there were too few.
func (r *startRate) interval(now time.Time) time.Duration {
	r.decay(now)
	if r.count < minStarts {
		return 0
	}
	return time.Duration(float64(startWindow) / r.count)
}

// expectedStart returns when a request is likely to start: when its target has served those ahead of it in
// its line, and not before the service has started as many as are ahead of it, at the recent rate.
func (v *service) expectedStart(now time.Time, e *Entry) time.Time {
	aheadOfTarget, aheadOfService := 0, 0
	for target, l := range v.lines {
		ahead := l.ahead(e)
		aheadOfService += ahead
		if target == e.Target {
			aheadOfTarget = ahead
		}
	}
	expected := e.RoomAt.Add(time.Duration(aheadOfTarget) * e.Interval)
	if byRate := now.Add(time.Duration(aheadOfService) * v.starts.interval(now)); byRate.After(expected) {
		return byRate
	}
	return expected
}

// ahead returns how many requests of the line leave before another one.
func (l *line) ahead(e *Entry) int {
	n, _ := slices.BinarySearchFunc(l.entries, e, (*Entry).compare)
	return n
}

// retryAfterOf returns the Retry-After for a request that would start after the given time. It varies with the
// request, so that refused callers do not all return at the same time.
func retryAfterOf(expected time.Duration, id uint64) time.Duration {
	spread := 0.75 + 0.5*rendezvous.Unit(rendezvous.Mix(id))
	return min(max(time.Duration(spread*float64(expected)), minRetryAfter), maxRetryAfter)
}
