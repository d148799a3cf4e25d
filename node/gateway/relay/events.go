package relay

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
	"heatherlock/steering/routes"
)

// Events records metrics about requests. A nil *Events records nothing.
type Events struct{ scope tally.Scope }

// NewEvents returns an Events that records in scope.
func NewEvents(scope tally.Scope) *Events { return &Events{scope: scope} }

// latencies are the buckets of the latency histogram: from the latency with a warm cache to the
// longest deadline.
var latencies = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

// Refused counts a refusal or a failure by its reason.
func (e *Events) Refused(reason steering.Reason) {
	if e != nil {
		e.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("gateway_refusals").Inc(1)
	}
}

// Retried counts a retry or a hedge by its reason.
func (e *Events) Retried(reason string) {
	if e != nil {
		e.scope.Tagged(map[string]string{"reason": reason}).Counter("gateway_retries").Inc(1)
	}
}

// Served records the latency of a response that was passed on.
func (e *Events) Served(kind routes.Kind, status int, took time.Duration) {
	if e != nil {
		tags := map[string]string{"kind": kind.String(), "status": strconv.Itoa(status)}
		e.scope.Tagged(tags).Histogram("gateway_latency", latencies).RecordDuration(took)
	}
}
