package once

import (
	"net/http"

	"heatherlock/steering"
)

// Fingerprint tells requests apart that carry the same key.
type Fingerprint uint64

// Answer is a whole answer kept for repeats of a key.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// headerFieldBytes is what one header value costs besides its text.
const headerFieldBytes = 48

// Size returns the memory that the answer takes, in bytes.
func (a *Answer) Size() int64 {
	if a == nil {
		return 0
	}
	return int64(cap(a.Body)) + headerSize(a.Header) + headerSize(a.Trailer)
}

func headerSize(h http.Header) int64 {
	var size int64
	for name, values := range h {
		for _, value := range values {
			size += int64(len(name)+len(value)) + headerFieldBytes
		}
	}
	return size
}

// OutcomeKind says how an execution ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// Done means that the target answered, and the answer is whole.
	Done OutcomeKind = iota
	// NotRun means proved not run: the key is free to run again.
	NotRun
	// Unknown means that it may have run: the key never runs again.
	Unknown
)

// String returns the outcome's name in logs and counters.
func (k OutcomeKind) String() string {
	switch k {
	case Done:
		return "done"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Outcome is how an execution ended.
type Outcome struct {
	Kind OutcomeKind
	// Answer is the whole answer of a Done outcome; nil when it was not kept.
	Answer *Answer
	// Refusal is what repeats of an Unknown outcome are told; it is never
	// RanNo.
	Refusal *steering.Refusal
}

// Run is the right to execute a key once. The serial tells a late end of an
// earlier run, which was proved not run, from the end of the present one.
type Run struct {
	Key    steering.Key
	Serial uint64
}

// DecisionKind says what to do with a keyed request.
type DecisionKind uint8

// Kinds of decision.
const (
	// Execute means: run it and call Finish with the Run, whatever happens.
	Execute DecisionKind = iota
	// Join means: the key is running here; wait for its outcome.
	Join
	// Replay means: send the stored answer.
	Replay
	// Refuse means: send the refusal.
	Refuse
	// Foreign means: pass the request to the incarnation in Home; where that is
	// gone, answer HomeGone.
	Foreign
)

// Decision is what Begin decided.
type Decision struct {
	Kind    DecisionKind
	Run     Run
	Answer  *Answer
	Refusal *steering.Refusal
	Home    steering.Incarnation
}

// HomeGone is the answer for a key whose incarnation cannot be reached any
// more. The key may have run there, so it is never run here.
func HomeGone(home steering.Incarnation) *steering.Refusal {
	return steering.Unknown(steering.ReasonHomeGone, "incarnation "+string(home)+" issued the key and is gone")
}

// HomeUnreachable is the answer for a key whose incarnation is alive as far as
// is known, but cannot be reached now. A repeat may find it again.
func HomeUnreachable(home steering.Incarnation) *steering.Refusal {
	r := steering.Unknown(steering.ReasonPeerDown, "incarnation "+string(home)+" issued the key and does not answer")
	r.RetryAfter = homeRetryAfter
	return r
}
