package once

import (
	"net/http"

	"heatherlock/steering"
)

// Fingerprint identifies the content of a request, to detect different requests with the same
// key.
type Fingerprint uint64

// Answer is a complete answer, stored for repeats of a key.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// headerFieldBytes is the memory overhead of one header value in addition to its text.
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

// OutcomeKind is how an execution ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Done means that the target sent a complete answer.
	Done OutcomeKind = iota
	// NotRun means that the request is known not to have run: the key may run again.
	NotRun
	// Unknown means that the request may have run: the key never runs again.
	Unknown
)

// String returns the name of the kind for logs and counters.
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

// Outcome is the result of an execution.
type Outcome struct {
	Kind OutcomeKind
	// Answer is the complete answer of a Done outcome, or nil if it is not stored.
	Answer *Answer
	// Refusal is the response to repeats of a key whose outcome is Unknown. Finish makes sure
	// that it does not say RanNo.
	Refusal *steering.Refusal
}

// Run is the permission to execute a key once. Serial distinguishes runs of the same key: a late
// Finish of an earlier run, which was known not to have run, must not end the current one.
type Run struct {
	Key    steering.Key
	Serial uint64
}

// DecisionKind is what to do with a keyed request.
type DecisionKind uint8

// Kinds of decisions.
const (
	// Execute means to run the request and to call Finish with the Run in any case.
	Execute DecisionKind = iota
	// Join means to wait for the outcome of the key, which is running here.
	Join
	// Replay means to send the stored answer.
	Replay
	// Refuse means to send the refusal.
	Refuse
	// Foreign means to forward the request to the incarnation in Home, or to answer HomeGone if
	// that incarnation no longer exists.
	Foreign
)

// Decision is the result of Begin.
type Decision struct {
	Kind    DecisionKind
	Run     Run
	Answer  *Answer
	Refusal *steering.Refusal
	Home    steering.Incarnation
}

// HomeGone returns the refusal for a key whose incarnation no longer exists. The key may have run
// there, so it never runs here.
func HomeGone(home steering.Incarnation) *steering.Refusal {
	return steering.RefuseUnknown(steering.ReasonKeyOwnerGone, "incarnation "+string(home)+" issued the key and is gone")
}

// HomeUnreachable returns the refusal for a key whose incarnation is presumed running but cannot be
// reached now. A later repeat may reach it.
func HomeUnreachable(home steering.Incarnation) *steering.Refusal {
	r := steering.RefuseUnknown(steering.ReasonPeerUnreachable, "incarnation "+string(home)+" issued the key and does not answer")
	r.RetryAfter = unreachableRetryAfter
	return r
}
