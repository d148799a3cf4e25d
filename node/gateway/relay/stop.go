package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/steering"
	"heatherlock/steering/presence"
)

// stopState is the stop of this VM as far as requests are concerned.
type stopState struct {
	// answerAt is when requests that still run get their final response, in Unix nanoseconds; 0 unless the VM stops.
	answerAt atomic.Int64
	// over is closed at that time.
	over     chan struct{}
	overOnce sync.Once
}

// StartDrain sends the requests that wait in this VM on or refuses them, and lets none wait any more. From now on
// requests are started only if they are likely to end before answerAt.
func (f *Relay) StartDrain(answerAt time.Time) {
	f.stop.answerAt.Store(answerAt.UnixNano())
	f.holds.drain()
}

// EndStop gives each request that has no response yet a final one: that it has not run, if that is proven, and
// else that its outcome is unknown. It does not wait until they are written.
func (f *Relay) EndStop() { f.stop.overOnce.Do(func() { close(f.stop.over) }) }

// stopsAt returns when this VM gives final responses, or the one that took the request from its caller, whichever
// is first; zero if neither stops.
func (x *exchange) stopsAt() time.Time {
	var at time.Time
	if ns := x.f.stop.answerAt.Load(); ns != 0 {
		at = time.Unix(0, ns)
	}
	if x.hop != nil && !x.hop.answerAt.IsZero() && (at.IsZero() || x.hop.answerAt.Before(at)) {
		at = x.hop.answerAt
	}
	return at
}

// stopsIn returns the time until stopsAt, at least a millisecond, or 0 if no VM stops.
func (x *exchange) stopsIn(now time.Time) time.Duration {
	at := x.stopsAt()
	if at.IsZero() {
		return 0
	}
	return max(at.Sub(now), time.Millisecond)
}

// endAtStop returns the final response to a request that still runs when its VM stops. Results that have arrived
// still count.
func (x *exchange) endAtStop(work context.Context) *callers.Response {
	x.stopOver = true
	for arrived := true; arrived; {
		var response *callers.Response
		done := false
		select {
		case e := <-x.results:
			response, done = x.attemptEnded(work, e)
		case e := <-x.helperResults:
			response, done = x.helperEnded(work, e)
		default:
			arrived = false
		}
		if done {
			return response
		}
	}
	if begun := x.sending.close(); x.maybeRan || begun > x.endedSent {
		return x.outcomeUnknown(steering.ReasonShuttingDown)
	}
	return x.refuse(steering.ReasonShuttingDown, drainRetryAfter)
}

// ReturnWaitingOf returns the requests that wait here for VMs which leave: these have no time left to wait.
func (f *Relay) ReturnWaitingOf(stateOf func(steering.VM) presence.State) {
	for _, vm := range f.WaitingVMs() {
		if stateOf(vm).Leaves() {
			f.holds.returnWaitingOf(vm)
		}
	}
}
