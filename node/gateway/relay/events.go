package relay

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/presence"
	"heatherlock/steering/routes"
)

// Metrics records metrics about requests. A nil *Metrics records nothing.
type Metrics struct {
	scope tally.Scope

	mu lock.Mutex
	// unknownHeaders holds the names that have a counter of their own.
	unknownHeaders map[string]bool
}

// NewMetrics returns Metrics that records in scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope, unknownHeaders: make(map[string]bool)}
}

// latencies are the buckets of the latency histogram: from the latency with a warm cache to the
// longest deadline.
var latencies = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

// Refused counts a refusal or a failure by its reason.
func (e *Metrics) Refused(reason steering.Reason) {
	if e != nil {
		e.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("gateway_refusals").Inc(1)
	}
}

// Retried counts a retry or a hedge by its reason.
func (e *Metrics) Retried(reason string) {
	if e != nil {
		e.scope.Tagged(map[string]string{"reason": reason}).Counter("gateway_retries").Inc(1)
	}
}

// BrokenOffByStop counts a request that had no answer when the stop of this VM ended.
func (e *Metrics) BrokenOffByStop() {
	if e != nil {
		e.scope.Counter("gateway_requests_broken_off").Inc(1)
	}
}

// ColdCheck counts a target that was asked whether it is cold, by what it answered.
func (e *Metrics) ColdCheck(said, cold bool) {
	if e != nil {
		end := "warm"
		switch {
		case !said:
			end = "no_answer"
		case cold:
			end = "cold"
		}
		e.scope.Tagged(map[string]string{"end": end}).Counter("gateway_target_cold_checks").Inc(1)
	}
}

// Unmatched counts a response of a target that is not the answer to the request in flight: it names another
// request, or none.
func (e *Metrics) Unmatched(named bool) {
	if e != nil {
		names := "none"
		if named {
			names = "other"
		}
		e.scope.Tagged(map[string]string{"names": names}).Counter("gateway_responses_unmatched").Inc(1)
	}
}

// RunTooSlow counts a placement that was refused because the request must not be repeated and its run was
// predicted to end after its timeout.
func (e *Metrics) RunTooSlow() {
	if e != nil {
		e.scope.Counter("gateway_runs_too_slow").Inc(1)
	}
}

// LoadUnreadable counts a response whose target reports its load in a form that is not known here.
// Placement then goes without the load, which is seen nowhere else.
func (e *Metrics) LoadUnreadable() {
	if e != nil {
		e.scope.Counter("gateway_target_loads_unreadable").Inc(1)
	}
}

// TargetCredit counts a request that needed a credit for its target, by whether it got one.
func (e *Metrics) TargetCredit(got bool) {
	if e != nil {
		end := "none_left"
		if got {
			end = "got"
		}
		e.scope.Tagged(map[string]string{"end": end}).Counter("gateway_target_credits").Inc(1)
	}
}

// UncreditedAtLimit counts a response that names a limit, to a request that was sent without a credit.
func (e *Metrics) UncreditedAtLimit() {
	if e != nil {
		e.scope.Counter("gateway_target_limits_uncredited").Inc(1)
	}
}

// LimitUnreadable counts a response whose target names a limit in a form that is not known here.
func (e *Metrics) LimitUnreadable() {
	if e != nil {
		e.scope.Counter("gateway_target_limits_unreadable").Inc(1)
	}
}

// LeavingHeard counts a target that said in a response that it leaves, before its entry did or after.
func (e *Metrics) LeavingHeard() {
	if e != nil {
		e.scope.Counter("gateway_targets_said_leaving").Inc(1)
	}
}

// LeavingUnreadable counts a response that says of its target's leaving something that is not known
// here.
func (e *Metrics) LeavingUnreadable() {
	if e != nil {
		e.scope.Counter("gateway_target_leavings_unreadable").Inc(1)
	}
}

// RestAsked counts a response by which a target asks for rest.
func (e *Metrics) RestAsked() {
	if e != nil {
		e.scope.Counter("gateway_target_rests_asked").Inc(1)
	}
}

// RestUnreadable counts a response by which a target asks for rest in a form that is not known here.
func (e *Metrics) RestUnreadable() {
	if e != nil {
		e.scope.Counter("gateway_target_rests_unreadable").Inc(1)
	}
}

const (
	// maxUnknownHeaders bounds the header names that are counted individually; targets choose them.
	maxUnknownHeaders = 8
	// otherHeaders is the name under which all others are counted.
	otherHeaders = "(rest)"
)

// UnknownHeader counts a response by which a target says something of itself that is not known here.
// It reports whether the name is counted for the first time.
func (e *Metrics) UnknownHeader(name string) (first bool) {
	if e == nil {
		return false
	}
	e.mu.Lock()
	first = !e.unknownHeaders[name] && len(e.unknownHeaders) < maxUnknownHeaders
	if first {
		e.unknownHeaders[name] = true
	}
	if !e.unknownHeaders[name] {
		name = otherHeaders
	}
	e.mu.Unlock()
	e.scope.Tagged(map[string]string{"header": name}).Counter("gateway_target_headers_unknown").Inc(1)
	return first
}

// Helped counts a request that was passed on for another entry VM, by what was answered.
func (e *Metrics) Helped(end string) {
	if e != nil {
		e.scope.Tagged(map[string]string{"end": end}).Counter("gateway_requests_passed_on").Inc(1)
	}
}

// LinksChecked counts a check whether this VM is cut off from all targets, by its result.
func (e *Metrics) LinksChecked(cutOff bool) {
	if e != nil {
		e.scope.Tagged(map[string]string{"cut_off": strconv.FormatBool(cutOff)}).Counter("gateway_link_checks").Inc(1)
	}
}

// Held counts a request that begins to wait in this VM until its target has room.
func (e *Metrics) Held() {
	if e != nil {
		e.scope.Counter("gateway_requests_held").Inc(1)
	}
}

// HoldsFull counts a request that could not wait because of the bounds of what this VM holds.
func (e *Metrics) HoldsFull() {
	if e != nil {
		e.scope.Counter("gateway_holds_full").Inc(1)
	}
}

// HoldEnded records why and after how long a request no longer waits in this VM.
func (e *Metrics) HoldEnded(end string, waited time.Duration) {
	if e != nil {
		tags := e.scope.Tagged(map[string]string{"end": end})
		tags.Counter("gateway_holds_ended").Inc(1)
		tags.Histogram("gateway_held_time", latencies).RecordDuration(waited)
	}
}

// Served records the latency of a response that was passed on.
func (e *Metrics) Served(kind routes.Kind, status int, took time.Duration) {
	if e != nil {
		tags := map[string]string{"kind": kind.String(), "status": strconv.Itoa(status)}
		e.scope.Tagged(tags).Histogram("gateway_latency", latencies).RecordDuration(took)
	}
}

// GivenUp counts requests that were passed on and given up, by the state of the VM that had them.
func (e *Metrics) GivenUp(state presence.State, restarted bool, requests int) {
	if e == nil {
		return
	}
	why := state.String()
	if restarted {
		why = "restarted"
	}
	e.scope.Tagged(map[string]string{"state": why}).Counter("gateway_passed_on_given_up").Inc(int64(requests))
}

// PassedToOwner counts a request that was passed on to the owner of its target.
func (e *Metrics) PassedToOwner() {
	if e != nil {
		e.scope.Counter("gateway_passed_to_owner").Inc(1)
	}
}
