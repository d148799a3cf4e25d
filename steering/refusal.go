package steering

import (
	"fmt"
	"time"
)

// Ran says what is known about the execution of a request.
type Ran uint8

const (
	// RanNo means proved not run: refused before a byte left for a target, or
	// refused by the target's own typed refusal.
	RanNo Ran = iota
	// RanUnknown means the request may have run; it is not run again.
	RanUnknown
	// RanYes means the request ran.
	RanYes
)

// String returns the wire form used in the Heatherlock-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanUnknown:
		return "unknown"
	case RanYes:
		return "yes"
	}
	return fmt.Sprintf("Ran(%d)", uint8(r))
}

// Reason is a refusal or retry reason. Each has a counter and an entry in
// Reasons that gives its meaning and remedy.
type Reason string

// Refusal reasons.
const (
	ReasonNoService     Reason = "no_service"
	ReasonNoTarget      Reason = "no_target"
	ReasonNotReady      Reason = "not_ready"
	ReasonConfigBehind  Reason = "config_behind"
	ReasonLeaving       Reason = "leaving"
	ReasonStopped       Reason = "stopped"
	ReasonQueueFull     Reason = "queue_full"
	ReasonNoSlot        Reason = "no_slot"
	ReasonDeadline      Reason = "deadline"
	ReasonLinkFull      Reason = "link_full"
	ReasonCapReached    Reason = "cap_reached"
	ReasonRampLimited   Reason = "ramp_limited"
	ReasonShed          Reason = "shed"
	ReasonTargetFailed  Reason = "target_failed"
	ReasonTargetDied    Reason = "target_died"
	ReasonPoison        Reason = "poison"
	ReasonRetryBudget   Reason = "retry_budget"
	ReasonHopLimit      Reason = "hop_limit"
	ReasonPeerDown      Reason = "peer_unreachable"
	ReasonHomeGone      Reason = "home_gone"
	ReasonKeyEvicted    Reason = "key_evicted"
	ReasonKeyMismatch   Reason = "key_mismatch"
	ReasonKeyBusy       Reason = "key_busy"
	ReasonKeysFull      Reason = "keys_full"
	ReasonAnswerTooBig  Reason = "answer_not_kept"
	ReasonAnswerCut     Reason = "answer_cut"
	ReasonAnswerCrossed Reason = "answer_crossed"
	ReasonBadRequest    Reason = "bad_request"
	ReasonBodyTooLarge  Reason = "body_too_large"
	ReasonSlowSender    Reason = "slow_sender"
	ReasonSlowReader    Reason = "slow_reader"
	ReasonConnections   Reason = "too_many_connections"
	ReasonCancelled     Reason = "cancelled"

	ReasonAPIKeyMissing   Reason = "api_key_missing"
	ReasonAPIKeyRepeated  Reason = "api_key_repeated"
	ReasonAPIKeyMalformed Reason = "api_key_malformed"
	ReasonAPIKeyUnknown   Reason = "api_key_unknown"
	ReasonNoCommonHome    Reason = "no_common_home"
	ReasonOverAllowance   Reason = "over_allowance"
)

// Refusal is the typed answer the system itself gives in place of a target's.
// It is final: it is sent at once and says when to come back.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter says when to come back; zero means that the reason does not
	// pass with time.
	RetryAfter time.Duration
	// Detail holds the facts of this case, without secrets or bodies.
	Detail string
}

// Refuse returns a refusal that proves the request was not run.
func Refuse(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a refusal for a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: RanUnknown, Detail: detail}
}

// Error implements error. The message ends with the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s; %s", r.Reason, r.Ran, r.Detail, r.Remedy())
}

// Remedy returns what the caller or operator can do about the refusal.
func (r *Refusal) Remedy() string {
	if info, ok := Reasons[r.Reason]; ok {
		return info.Remedy
	}
	return "report this reason to the operators: it has no entry"
}
