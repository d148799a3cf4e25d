// Package losses attributes each request that was not answered within its latency
// objective to a cause. Causes are mutually exclusive, so the counts of all causes add up
// to the number of requests that missed the objective.
//
// [CauseOf] classifies one request, a [Tally] counts requests by [Kind], outcome and cause.
//
// The input is what the entry VM itself knows of a request: what the caller sent, what the
// entry VM decided, and how each of its tries ended. Causes are checked in a fixed order,
// from those that explain the miss alone to the remainder:
//
//  1. the entry VM refused the request: the reason of the refusal;
//  2. the response was ready in time and waited for earlier responses on its connection;
//  3. a try failed: what the first failed try shows about its target;
//  4. the caller had used up the objective before the request arrived;
//  5. the run itself: how much longer than a warm run it took, and whether the target had
//     no free slot when it answered.
//
// Trade-off: a run is classified as cold by its duration alone. An entry VM does not know
// which keys a shared target has run for other entry VMs, and asking the target would cost
// a call per request. A target that has become slightly slow is therefore reported as cold
// runs.
package losses

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// LogMessage is the message of the log line that reports the sums of a [Tally].
const LogMessage = "answers"

// Outcome is the result of a request as its caller sees it.
type Outcome uint8

const (
	// InAim means that the response came within the latency objective.
	InAim Outcome = iota
	// Late means that the response came after the latency objective.
	Late
	// Refused means that the response states that the request has not run.
	Refused
	// Failed means any other result.
	Failed
)

var outcomeNames = [...]string{"in_aim", "late", "refused", "failed"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Cause is the reason why a request was not answered within its latency objective.
type Cause string

const (
	// VMStarting: the entry VM had no configuration or no targets yet.
	VMStarting Cause = "vm_starting"
	// ConfigBehind: the entry VM knew that a newer configuration existed but had not
	// received it.
	ConfigBehind Cause = "config_behind"
	// WorkspaceUnknown: the API key was missing, repeated, malformed or unknown.
	WorkspaceUnknown Cause = "workspace_unknown"
	// OverAllowance: the workspace had exceeded its allowance, the limit on its request rate.
	OverAllowance Cause = "over_allowance"
	// OverShare: the service was short, and the workspace beyond its share of the capacity.
	OverShare Cause = "over_share"
	// NoCommonHomeRegion: the route and the workspace have no home region in common.
	NoCommonHomeRegion Cause = "no_common_home"
	// NoTarget: the service had no known or reachable target.
	NoTarget Cause = "no_target"
	// NoSlotPredicted: before the first try, no target was predicted to have a free slot in
	// time.
	NoSlotPredicted Cause = "refused_by_prediction"
	// PoisonRequest: similar requests had crashed the targets that ran them.
	PoisonRequest Cause = "held_back"
	// RetryBudgetSpent: the retry budget was used up.
	RetryBudgetSpent Cause = "retry_budget"
	// TargetShedding: the target refused the request without running it.
	TargetShedding Cause = "target_shedding"
	// TargetFailing: the target answered with a server error.
	TargetFailing Cause = "target_failing"
	// TargetLost: the target accepted no connection, or the connection broke.
	TargetLost Cause = "target_gone"
	// InvalidResponse: the target's response was complete but could not be forwarded, or broke the protocol.
	InvalidResponse Cause = "answer_spoiled"
	// TargetSlow: the target sent no response, or took longer than even a cold run takes.
	TargetSlow Cause = "target_slow"
	// CallerLate: the caller had used up the latency objective before the request arrived,
	// at another entry VM or by waiting before a retry.
	CallerLate Cause = "caller_came_late"
	// DeadlineTooShort: the caller's deadline is shorter than a warm run.
	DeadlineTooShort Cause = "deadline_too_short"
	// WaitedForSlot: the request waited for a slot of the target.
	WaitedForSlot Cause = "waited_for_slot"
	// ColdKey: the run took as long as the first run of a key.
	ColdKey Cause = "key_cold"
	// OtherRegion: a warm run in another region took too long because of the round trip.
	OtherRegion Cause = "other_region"
	// HeadOfLineBlocked: the response was ready in time but waited for the responses to
	// requests that the caller had sent earlier on the same connection.
	HeadOfLineBlocked Cause = "behind_other_answers"
	// VMStopping: the entry VM was shutting down, and had no time left for the request.
	VMStopping Cause = "vm_stopping"
	// CallerDisconnected: the caller closed the connection or cancelled the request.
	CallerDisconnected Cause = "caller_left"
	// Other: none of the other causes applies.
	Other Cause = "other"
)

const (
	// warmFactor is the longest warm run, as a multiple of [Request.WarmRunTime]: the
	// durations of similar runs differ by a few tenths, and the round trip to the target is
	// added.
	warmFactor = 1.6
	// coldFactor is the longest cold run, as a multiple of [Request.WarmRunTime]. The first
	// run of a key takes four times as long as a warm run, and twice that in the seconds
	// after the target has started.
	coldFactor = 9
)

// Try is the result of one try to run a request on a target.
type Try struct {
	Outcome placement.Outcome
	// Latency is the time from the start of the try to its end.
	Latency time.Duration
	// InvalidResponse is set if the response was complete but could not be forwarded, or broke the protocol.
	InvalidResponse bool
	// Saturated is set if the target reported with its response that all its slots were
	// taken.
	Saturated bool
	// Wait is the predicted wait for a slot.
	Wait time.Duration
	// OtherRegion is set if the target is in another region.
	OtherRegion bool
}

// Request is what an entry VM knows of a request that has ended.
type Request struct {
	Outcome Outcome
	// Reason is the reason of the entry VM's own response; empty if a target responded.
	Reason steering.Reason
	// Aim is the latency objective, measured from the caller's first attempt. TimeUsed is the
	// part of it that had passed when the request arrived at this entry VM.
	Aim      time.Duration
	TimeUsed time.Duration
	// Ready is the time from the arrival of the request until its response was ready, and
	// Latency the time until the response could be written.
	Ready   time.Duration
	Latency time.Duration
	// Deadline is the time left for the caller on arrival; 0 if the caller sent none.
	Deadline time.Duration
	// WarmRunTime is the duration of a warm run of the service; 0 if it is not known.
	WarmRunTime time.Duration
	Tries       []Try
	// PassedOn is the cause that another entry VM found, to which the request was passed on; empty if it was
	// not, or if that VM said nothing.
	PassedOn Cause
}

// CauseOf returns why a request was not answered within its latency objective.
func CauseOf(r Request) Cause {
	if r.PassedOn == "" || r.Reason == steering.ReasonCancelled {
		if cause, ok := causeOfReason(r); ok {
			return cause
		}
	}
	if r.Outcome == Late && r.TimeUsed+r.Ready <= r.Aim {
		return HeadOfLineBlocked
	}
	if r.PassedOn != "" {
		return r.PassedOn
	}
	for _, t := range r.Tries[:max(len(r.Tries)-1, 0)] {
		if cause, ok := causeOfFailedTry(t); ok {
			return cause
		}
	}
	if len(r.Tries) == 0 {
		return Other
	}
	last := r.Tries[len(r.Tries)-1]
	if cause, ok := causeOfFailedTry(last); ok {
		return cause
	}
	return causeOfLateRun(r, last)
}

// causeOfReason returns the cause of a response that the entry VM sent itself.
func causeOfReason(r Request) (Cause, bool) {
	switch r.Reason {
	case steering.ReasonNotReady:
		return VMStarting, true
	case steering.ReasonConfigBehind:
		return ConfigBehind, true
	case steering.ReasonPoison:
		return PoisonRequest, true
	case steering.ReasonOverAllowance:
		return OverAllowance, true
	case steering.ReasonOverShare:
		return OverShare, true
	case steering.ReasonNoCommonHomeRegion:
		return NoCommonHomeRegion, true
	case steering.ReasonAPIKeyMissing, steering.ReasonAPIKeyRepeated, steering.ReasonAPIKeyMalformed, steering.ReasonAPIKeyUnknown:
		return WorkspaceUnknown, true
	case steering.ReasonCancelled:
		return CallerDisconnected, true
	case steering.ReasonShuttingDown:
		return VMStopping, true
	}
	if len(r.Tries) > 0 {
		return "", false // failed tries take precedence over the reasons below
	}
	switch r.Reason {
	case steering.ReasonNoTarget:
		return NoTarget, true
	case steering.ReasonRetryBudget:
		return RetryBudgetSpent, true
	case steering.ReasonNoSlot:
		return causeOfNoSlot(r), true
	}
	return "", false
}

// causeOfNoSlot separates requests that could not be in time on any target from those
// for which no target had a free slot.
func causeOfNoSlot(r Request) Cause {
	switch {
	case r.Deadline > 0 && r.Deadline < r.WarmRunTime && r.TimeUsed < r.WarmRunTime:
		return DeadlineTooShort
	case r.Aim > 0 && r.TimeUsed+r.WarmRunTime > r.Aim:
		return CallerLate
	}
	return NoSlotPredicted
}

// causeOfFailedTry returns the cause if a try brought no usable response.
func causeOfFailedTry(t Try) (Cause, bool) {
	if t.InvalidResponse {
		return InvalidResponse, true
	}
	switch t.Outcome {
	case placement.Shed:
		return TargetShedding, true
	case placement.Failed:
		return TargetFailing, true
	case placement.Unreachable, placement.Broken, placement.Replaced:
		return TargetLost, true
	case placement.Silent, placement.Abandoned:
		return TargetSlow, true
	}
	return "", false
}

// causeOfLateRun returns the cause of a response that came late, given its try.
func causeOfLateRun(r Request, t Try) Cause {
	switch {
	case r.Aim > 0 && r.TimeUsed+r.WarmRunTime > r.Aim:
		return CallerLate
	case t.Saturated || t.Wait > r.WarmRunTime/2 && t.Wait > 0:
		return WaitedForSlot
	case r.WarmRunTime <= 0:
		return ColdKey // no request of the service has run yet
	case float64(t.Latency) > coldFactor*float64(r.WarmRunTime):
		return TargetSlow
	case float64(t.Latency) > warmFactor*float64(r.WarmRunTime):
		return ColdKey
	case t.OtherRegion:
		return OtherRegion
	}
	return Other
}
