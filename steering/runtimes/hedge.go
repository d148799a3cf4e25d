package runtimes

import (
	"math"
	"time"
)

// minBenefit is the least share of second runs that must turn a late response into one in time. In the
// load test of placement, hedges brought 0.6 to 1.1 in 100 transfers on time with 0.15, and 0.2 to 0.3
// with 0.25.
const minBenefit = 0.15

// HedgeAfter returns after which time a run that starts now should get a second one, or 0 if no second
// run is likely to help. aimLeft and timeLeft are what is left of the latency objective and of the
// timeout; 0 means none. second is the predicted time of the second run, including its wait.
//
// The time lies between the 85th and the 95th percentile of warm runs of the class at a usual target,
// so that 5 to 15 % of the runs are hedged, which the budget for further attempts allows. Within this
// range it is where a second run most often turns a response after the latency objective into one
// within it, or failing that, one after the timeout.
func (m *Model) HedgeAfter(now time.Time, q Query, aimLeft, timeLeft time.Duration, second Estimate) time.Duration {
	first, known := m.tableAt(now, q)
	usual, _ := m.tableAt(now, Query{Class: q.Class, Warm: Warm})
	if !known || !second.Known || second.Median <= 0 || second.P90 < second.Median {
		return 0
	}
	again := tableOf(second.Median.Seconds(), second.P90.Seconds())
	for _, goal := range []time.Duration{aimLeft, timeLeft} {
		best, at := 0.0, 0.0
		for i := atP85; i <= atP95; i++ {
			if b := benefit(&first, &again, usual[i], goal.Seconds()); b > best {
				best, at = b, usual[i]
			}
		}
		if best >= minBenefit {
			return duration(at)
		}
	}
	return 0
}

// benefit returns the share of second runs, started after some seconds, that end within the goal while
// the first does not.
func benefit(first, second *table, after, goal float64) float64 {
	if goal <= after {
		return 0
	}
	running := first.exceeding(after)
	if running <= 0 {
		return 0
	}
	return math.Min(first.exceeding(goal)/running, 1) * (1 - second.exceeding(goal-after))
}
