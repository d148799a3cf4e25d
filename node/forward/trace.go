package forward

import (
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/steering"
)

// traceEvery is the sampling interval: one of this many answered requests is logged. Events that
// are rare (refusals, retries, hand-overs) are all logged.
const traceEvery = 64

// traceAnswer logs a sample of the answered requests at debug level.
func (x *exchange) traceAnswer() {
	if x.f.tracedAnswers.Add(1)%traceEvery != 0 {
		return
	}
	level.Debug(x.f.log).Log("msg", "request answered", "request", x.id, "service", x.service.Name, "home", x.home,
		"targets", x.tried, "retried", x.retried, "ms", time.Since(x.started).Milliseconds())
}

// logRefusal logs a refusal at debug level.
func (x *exchange) logRefusal(refusal *steering.Refusal) {
	level.Debug(x.f.log).Log("msg", "request refused", "request", x.id, "reason", refusal.Reason,
		"ran", refusal.Ran, "targets", x.tried, "detail", refusal.Detail)
}

// traceRetry logs a retry at debug level.
func (x *exchange) traceRetry(reason steering.Reason) {
	level.Debug(x.f.log).Log("msg", "request retried", "request", x.id, "reason", reason, "targets", x.tried)
}

// traceHandOver logs at debug level that the request is handed over to a peer.
func (x *exchange) traceHandOver(to steering.VM, why string) {
	level.Debug(x.f.log).Log("msg", "request handed over", "request", x.id, "to", to, "why", why)
}
