// Package losses says why a request was not answered within its aim, by one cause of
// several that exclude each other, so that the causes of many requests add up to all that
// callers lost.
//
// An entry VM knows of a request what its caller told, what it decided itself and what
// its tries showed; nothing here is known from outside. Causes are tried in a fixed order,
// from what alone is enough to explain the loss to what is left over:
//
//  1. refused here: the reason of the refusal;
//  2. an answer that was ready in time and had to wait for those before it;
//  3. a try ended badly: what the first such try showed of its target;
//  4. the caller had used up its aim before it came here;
//  5. the run itself, by how much longer than a warm one it took, and whether the target
//     was full when it answered.
//
// Trade-off: a run is taken for a cold one by its length alone. Entry VMs that share a
// target do not know which keys it ran for others, and asking it would cost a call a
// request. A target that has turned a little slow is thus told as cold runs.
package losses

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// LineMessage is the message of the log line that holds what requests lost.
const LineMessage = "answers"

// Outcome is what a caller got.
type Outcome uint8

// Outcomes.
const (
	// InAim is an answer within the aim.
	InAim Outcome = iota
	// Late is an answer after the aim.
	Late
	// Refused is an answer that says that the request has not run.
	Refused
	// Failed is any other end.
	Failed
)

var outcomeNames = [...]string{"in_aim", "late", "refused", "failed"}

// String names the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Cause is why a request was not answered within its aim.
type Cause string

// Causes.
const (
	// Starting: the entry VM knew no configuration or no targets yet.
	Starting Cause = "vm_starting"
	// Behind: it knew that a newer configuration exists and did not have it.
	Behind Cause = "config_behind"
	// Unidentified: its API key was missing, malformed or unknown.
	Unidentified Cause = "workspace_unknown"
	// OverAllowance: its workspace was beyond its allowance of requests.
	OverAllowance Cause = "over_allowance"
	// NoHome: it may run in no region by its route's and its workspace's homes.
	NoHome Cause = "no_common_home"
	// NoTarget: no target of the service was known or reachable.
	NoTarget Cause = "no_target"
	// Predicted: no target had room in time, as predicted before any try.
	Predicted Cause = "refused_by_prediction"
	// HeldBack: requests like it took down targets.
	HeldBack Cause = "held_back"
	// Budget: the budget for further tries was used up.
	Budget Cause = "retry_budget"
	// Shedding: its target refused it.
	Shedding Cause = "target_shedding"
	// Failing: its target answered with a failure of its own.
	Failing Cause = "target_failing"
	// Gone: its target took no connection, or broke the exchange off.
	Gone Cause = "target_gone"
	// Spoiled: its target's answer could not be passed on.
	Spoiled Cause = "answer_spoiled"
	// Slow: its target gave no answer in a multiple of the time of a cold run.
	Slow Cause = "target_slow"
	// CameLate: its caller had used its aim up, on another entry VM or waiting.
	CameLate Cause = "caller_came_late"
	// Short: the time that its caller allowed is less than a warm run takes.
	Short Cause = "deadline_too_short"
	// Waited: it waited for a slot of its target.
	Waited Cause = "waited_for_slot"
	// Cold: it took as long as the first run of a key takes.
	Cold Cause = "key_cold"
	// Away: a warm run in another region took too long with the way there.
	Away Cause = "other_region"
	// Queued: its answer was ready in time, but its caller had sent other requests before
	// it on its connection, whose answers go first.
	Queued Cause = "behind_other_answers"
	// CallerLeft: the caller went away.
	CallerLeft Cause = "caller_left"
	// Other: none of these.
	Other Cause = "other"
)

const (
	// warmFactor is up to how many warm times a run counts as a warm one: runs of one
	// kind differ by a few tenths, and the way to the target adds to them.
	warmFactor = 1.6
	// coldFactor is up to how many warm times a run counts as a cold one. Targets take
	// four times as long for the first run of a key, and twice that in the seconds after
	// they have started.
	coldFactor = 9
)

// Try is how one try at a target ended.
type Try struct {
	Outcome placement.Outcome
	// Took is the time from the start of the try to its end.
	Took time.Duration
	// Spoiled is set when an answer came whole and could not be passed on.
	Spoiled bool
	// Crowded is set when the target said that its slots were taken as it answered.
	Crowded bool
	// Wait is the wait that was predicted.
	Wait time.Duration
	// Away is set when it ran in another region.
	Away bool
}

// Request is what an entry VM knows of a request that has ended.
type Request struct {
	Outcome Outcome
	// Reason is that of the entry VM's own answer, empty for a target's.
	Reason steering.Reason
	// Aim is the time from the caller's first attempt within which the answer has its
	// full worth, and Used how much of it had passed when it came here.
	Aim  time.Duration
	Used time.Duration
	// Ready is how long after it came its answer was ready, and Took how long after it
	// came the answer could be written.
	Ready time.Duration
	Took  time.Duration
	// Deadline is how long the caller waits; 0 if it did not say.
	Deadline time.Duration
	// Warm is the time of a warm run of its service; 0 if it is not known.
	Warm  time.Duration
	Tries []Try
}

// CauseOf returns why a request was not answered within its aim.
func CauseOf(r Request) Cause {
	if cause, ok := ofReason(r); ok {
		return cause
	}
	if r.Outcome == Late && r.Used+r.Ready <= r.Aim {
		return Queued
	}
	for _, t := range r.Tries[:max(len(r.Tries)-1, 0)] {
		if cause, ok := ofBadTry(t); ok {
			return cause
		}
	}
	if len(r.Tries) == 0 {
		return Other
	}
	last := r.Tries[len(r.Tries)-1]
	if cause, ok := ofBadTry(last); ok {
		return cause
	}
	return ofRun(r, last)
}

// ofReason returns the cause of what the entry VM decided by itself.
func ofReason(r Request) (Cause, bool) {
	switch r.Reason {
	case steering.ReasonNotReady:
		return Starting, true
	case steering.ReasonConfigBehind:
		return Behind, true
	case steering.ReasonPoison:
		return HeldBack, true
	case steering.ReasonOverAllowance:
		return OverAllowance, true
	case steering.ReasonNoCommonHome:
		return NoHome, true
	case steering.ReasonAPIKeyMissing, steering.ReasonAPIKeyRepeated, steering.ReasonAPIKeyMalformed, steering.ReasonAPIKeyUnknown:
		return Unidentified, true
	case steering.ReasonCancelled:
		return CallerLeft, true
	}
	if len(r.Tries) > 0 {
		return "", false // what the tries showed comes first
	}
	switch r.Reason {
	case steering.ReasonNoTarget:
		return NoTarget, true
	case steering.ReasonRetryBudget:
		return Budget, true
	case steering.ReasonNoSlot:
		return ofPrediction(r), true
	}
	return "", false
}

// ofPrediction parts refusals of requests that could not be in time anywhere from those
// that found no room.
func ofPrediction(r Request) Cause {
	switch {
	case r.Deadline > 0 && r.Deadline < r.Warm && r.Used < r.Warm:
		return Short
	case r.Aim > 0 && r.Used+r.Warm > r.Aim:
		return CameLate
	}
	return Predicted
}

// ofBadTry returns the cause of a try that brought no usable answer.
func ofBadTry(t Try) (Cause, bool) {
	if t.Spoiled {
		return Spoiled, true
	}
	switch t.Outcome {
	case placement.Shed:
		return Shedding, true
	case placement.Failed:
		return Failing, true
	case placement.Unreachable, placement.Broken, placement.Replaced:
		return Gone, true
	case placement.Silent, placement.Abandoned:
		return Slow, true
	}
	return "", false
}

// ofRun returns the cause of an answer that came late.
func ofRun(r Request, t Try) Cause {
	switch {
	case r.Aim > 0 && r.Used+r.Warm > r.Aim:
		return CameLate
	case t.Crowded || t.Wait > r.Warm/2 && t.Wait > 0:
		return Waited
	case r.Warm <= 0:
		return Cold // nothing of the service has run yet
	case float64(t.Took) > coldFactor*float64(r.Warm):
		return Slow
	case float64(t.Took) > warmFactor*float64(r.Warm):
		return Cold
	case t.Away:
		return Away
	}
	return Other
}
