package steering

import (
	"fmt"
	"time"
)

// Ran is what is known about whether a request was executed.
type Ran uint8

const (
	// RanNo means that the request was certainly not executed: it was refused before any
	// byte was sent to a target, or a target refused it with a typed refusal.
	RanNo Ran = iota
	// RanUnknown means that the request may have been executed. It is not executed again.
	RanUnknown
	// RanYes means that the request was executed.
	RanYes
)

// String returns the value of the Heatherlock-Ran header.
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

// Reason is the reason of a refusal or a retry. Each reason has a counter, and an entry
// in [Reasons] with its meaning and remedy.
type Reason string

const (
	ReasonNoService          Reason = "no_service"
	ReasonNoTarget           Reason = "no_target"
	ReasonNotReady           Reason = "not_ready"
	ReasonConfigBehind       Reason = "config_behind"
	ReasonShuttingDown       Reason = "leaving"
	ReasonStopped            Reason = "stopped"
	ReasonQueueFull          Reason = "queue_full"
	ReasonNoSlot             Reason = "no_slot"
	ReasonDeadline           Reason = "deadline"
	ReasonLinkFull           Reason = "link_full"
	ReasonCapReached         Reason = "cap_reached"
	ReasonRampLimited        Reason = "ramp_limited"
	ReasonShed               Reason = "shed"
	ReasonTargetFailed       Reason = "target_failed"
	ReasonTargetLost         Reason = "target_died"
	ReasonPoison             Reason = "poison"
	ReasonRetryBudget        Reason = "retry_budget"
	ReasonHopLimit           Reason = "hop_limit"
	ReasonPeerUnreachable    Reason = "peer_unreachable"
	ReasonKeyOwnerGone       Reason = "home_gone"
	ReasonKeyEvicted         Reason = "key_evicted"
	ReasonKeyMismatch        Reason = "key_mismatch"
	ReasonKeyBusy            Reason = "key_busy"
	ReasonKeysFull           Reason = "keys_full"
	ReasonResponseNotKept    Reason = "answer_not_kept"
	ReasonResponseTruncated  Reason = "answer_cut"
	ReasonResponseMismatched Reason = "answer_crossed"
	ReasonResponseMalformed  Reason = "answer_malformed"
	ReasonBadRequest         Reason = "bad_request"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonSlowSender         Reason = "slow_sender"
	ReasonSlowReader         Reason = "slow_reader"
	ReasonTooManyConnections Reason = "too_many_connections"
	ReasonMemoryFull         Reason = "memory_full"
	ReasonCancelled          Reason = "cancelled"

	ReasonAPIKeyMissing      Reason = "api_key_missing"
	ReasonAPIKeyRepeated     Reason = "api_key_repeated"
	ReasonAPIKeyMalformed    Reason = "api_key_malformed"
	ReasonAPIKeyUnknown      Reason = "api_key_unknown"
	ReasonNoCommonHomeRegion Reason = "no_common_home"
	ReasonOverAllowance      Reason = "over_allowance"
	ReasonOverShare          Reason = "over_share"
)

// Refusal is the typed response that an entry VM sends in place of a target's response.
// It is final and sent at once, and it states when the caller should retry.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is the time after which the caller may retry; zero means that waiting
	// does not resolve the reason.
	RetryAfter time.Duration
	// Detail describes this case. It must not contain secrets or parts of bodies.
	Detail string
}

// Refuse returns a refusal of a request that was certainly not executed.
func Refuse(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNo, RetryAfter: retryAfter, Detail: detail}
}

// RefuseUnknown returns a refusal of a request that may have been executed.
func RefuseUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: RanUnknown, Detail: detail}
}

// Error implements error. The message ends with the remedy for the caller or operator.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s; %s", r.Reason, r.Ran, r.Detail, r.Remedy())
}

// Remedy returns what the caller or the operator can do about the refusal.
func (r *Refusal) Remedy() string {
	if info, ok := Reasons[r.Reason]; ok {
		return info.Remedy
	}
	return "report this reason to the operators: it has no entry"
}
