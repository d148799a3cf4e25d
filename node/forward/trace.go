package forward

import (
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/steering"
)

// traceEvery is how many answered requests share one trace line. Decisions
// that are rare by themselves (refusals, retries, hand-overs) are all traced.
const traceEvery = 64

// traceAnswer writes a sampled debug line about a request that was answered.
func (x *exchange) traceAnswer() {
	if x.f.traced.Add(1)%traceEvery != 0 {
		return
	}
	level.Debug(x.f.log).Log("msg", "request answered", "request", x.id, "service", x.service.Name, "home", x.home,
		"targets", x.tried, "retried", x.retried, "ms", time.Since(x.started).Milliseconds())
}

// logRefusal writes a debug line about a refusal.
func (x *exchange) logRefusal(refusal *steering.Refusal) {
	level.Debug(x.f.log).Log("msg", "request refused", "request", x.id, "reason", refusal.Reason,
		"ran", refusal.Ran, "targets", x.tried, "detail", refusal.Detail)
}

// traceRetry writes a debug line about a second try.
func (x *exchange) traceRetry(reason steering.Reason) {
	level.Debug(x.f.log).Log("msg", "request retried", "request", x.id, "reason", reason, "targets", x.tried)
}

// traceHandOver writes a debug line about a request that a peer has.
func (x *exchange) traceHandOver(to steering.VM, why string) {
	level.Debug(x.f.log).Log("msg", "request handed over", "request", x.id, "to", to, "why", why)
}
