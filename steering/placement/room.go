package placement

import (
	"math"
	"time"

	"heatherlock/steering"
)

// NoQueueBound as Request.MaxQueue lets a request of a mixed service wait at its target for as long as its
// own latency objective allows.
const NoQueueBound = time.Duration(math.MaxInt64)

// Room says when a target is likely to take a request that it has no room for now.
type Room struct {
	// Target is the first target of the request's key; empty if the request must not wait for it.
	Target steering.Target
	// In is the time until the predicted wait at the target is short enough.
	In time.Duration
	// Interval is the mean time between two runs that end at the target while all its slots are taken.
	Interval time.Duration
}

// maxQueue returns the longest wait at a target for a request of the service: what its most urgent route
// tolerates, since a target's queue is first come, first served. It returns 0, which is no bound, for a
// service that is not mixed.
func (v *serviceState) maxQueue(r Request) time.Duration {
	urgent := v.routes.urgent.aim
	if !v.routes.mixed || r.Route == "" || urgent <= 0 {
		return 0
	}
	return span(math.Max(urgent.Seconds()-v.warmTime, minWaitShare*urgent.Seconds()))
}

// allowedWait limits the wait that a request's own latency objective allows, in seconds, to MaxQueue. A
// request that misses its objective in any case may wait for MaxQueue.
func (v *serviceState) allowedWait(r Request, allowed float64) float64 {
	switch {
	case r.MaxQueue <= 0 || r.MaxQueue == NoQueueBound:
		return allowed
	case r.Aim.Seconds() < v.warmTime:
		return r.MaxQueue.Seconds()
	}
	return math.Min(allowed, r.MaxQueue.Seconds())
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
func (b *Balancer) roomAt(v *serviceState, r Request, s *targetState, wait float64) Room {
	if s == nil || r.MaxQueue <= 0 || r.MaxQueue == NoQueueBound || s.Slots <= 0 {
		return Room{}
	}
	interval := b.slotTime(v, s) / float64(s.Slots)
	in := math.Max(wait-r.MaxQueue.Seconds(), interval)
	return Room{Target: s.Name, In: span(in), Interval: span(interval)}
}
