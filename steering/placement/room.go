package placement

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/runtimes"
)

// NoQueueBound as Request.MaxQueue lets a request of a mixed service wait at its target for as long as its
// own latency objective allows.
const NoQueueBound = time.Duration(math.MaxInt64)

// Room says when a target is likely to take a request that it has no room for now.
type Room struct {
	// Target is the first target of the request's key; empty if the request must not wait for it.
	Target steering.Target
	// In is the time until a slot of the target is likely to be free for the request.
	In time.Duration
	// Run is the predicted run time of the request for a warm key.
	Run time.Duration
	// Interval is the mean time between two runs that end at the target while all its slots are taken.
	Interval time.Duration
}

// maxQueue returns the longest wait at a target for a request of the service: what its most urgent route
// tolerates, since a target's queue is first come, first served. It returns 0, which is no bound, for a
// service whose targets have no owners.
func (b *Balancer) maxQueue(now time.Time, v *serviceState, r Request) time.Duration {
	urgent := &v.routes.urgent
	if !b.holds(now, v) || r.Route == "" || urgent.aim <= 0 {
		return 0
	}
	return span(math.Max(urgent.aim.Seconds()-b.runOf(now, v, r.Service, urgent.name, urgent.aim), minWaitShare*urgent.aim.Seconds()))
}

// allowedWait limits the wait that a request's own latency objective allows, in seconds, to MaxQueue. On a
// mixed service the objective is compared with the runs of the request's own route. A request that misses
// its objective in any case may wait for MaxQueue.
//
// A request of a less urgent route must also leave room behind it: the next urgent request waits one interval
// longer. With the same bound for both, patient requests fill the queue up to it, and urgent ones find none.
func (b *Balancer) allowedWait(now time.Time, v *serviceState, r Request, c *candidate, allowed float64) float64 {
	if r.MaxQueue <= 0 || r.MaxQueue == NoQueueBound {
		return allowed
	}
	bound := r.MaxQueue.Seconds()
	if v.routes.lessUrgent(r) {
		interval := b.slotTime(v, c.targetState) / math.Max(float64(c.targetState.Slots), 1)
		bound = math.Max(bound-interval, minQueueShare*interval)
	}
	slack := r.Aim.Seconds() - b.runOf(now, v, r.Service, r.Route, r.RouteAim)
	if slack < 0 {
		return bound
	}
	return math.Min(math.Max(slack, allowed), bound)
}

// minQueueShare is the wait at a target that is always allowed, as a share of the interval between two runs
// that end there. The load by other entry VMs is an average, so that a target with a free slot may be
// predicted to have a short wait.
const minQueueShare = 0.5

// lessUrgent reports whether a request's route is less urgent than the most urgent one of the service.
func (m *routeMix) lessUrgent(r Request) bool {
	return r.RouteRank > m.urgent.rank || r.RouteRank == m.urgent.rank && r.RouteAim > m.urgent.aim
}

// runOf returns the median run time of a route with a latency objective for warm keys, in seconds. Without samples
// it is that of the service, but no longer than the objective suggests: if it came from the runs of a more patient
// route, all urgent requests would count as late, and so would never be sampled.
func (b *Balancer) runOf(now time.Time, v *serviceState, service steering.Service, route string, aim time.Duration) float64 {
	if e := b.runTimes.Predict(now, runtimes.Query{Class: runtimes.Class{Service: service, Route: route}, Warm: runtimes.Warm}); e.Known {
		return e.Median.Seconds()
	}
	if aim <= 0 {
		return v.warmTime
	}
	return math.Min(v.warmTime, defaultWarmShare*aim.Seconds())
}

// discountOldReport shortens the predicted wait at a target of a mixed service to MaxQueue if the last load
// report is older than the time in which the reported queue would have been served, and none of this VM's
// requests is there to bring a newer one. Without this, a VM that rarely uses a target would go by the
// queue of the last report for good.
func (b *Balancer) discountOldReport(now time.Time, v *serviceState, r Request, c *candidate) {
	s := c.targetState
	if r.MaxQueue <= 0 || r.MaxQueue == NoQueueBound || s.inFlight > 0 || c.wait <= r.MaxQueue.Seconds() {
		return
	}
	if now.Sub(s.reportedAt) > span(c.wait+b.slotTime(v, s)) {
		c.wait = r.MaxQueue.Seconds()
	}
}

// roomAt returns when a target has room for a request of a mixed service.
func (b *Balancer) roomAt(now time.Time, v *serviceState, r Request, s *targetState, wait float64) Room {
	if s == nil || r.MaxQueue <= 0 || r.MaxQueue == NoQueueBound || s.Slots <= 0 {
		return Room{}
	}
	interval := b.slotTime(v, s) / float64(s.Slots)
	// The runs at a target are at random points of their time, so that the first of n ends after 1/(n+1) of it.
	in := math.Max(wait, interval) * float64(s.Slots) / float64(s.Slots+1)
	return Room{Target: s.Name, Run: span(b.runOf(now, v, r.Service, r.Route, r.RouteAim)), In: span(in), Interval: span(interval)}
}
