package forward

import (
	"context"
	"net/http"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/once"
	"heatherlock/steering/poison"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// Outcomes stores the outcome of each keyed request that this incarnation runs.
type Outcomes interface {
	// Claim binds a key to one execution. It returns exactly one of a Recorder (the caller runs the
	// request and reports the outcome to it), a stored Answer to replay, or a refusal. While the
	// same key is running it blocks until that execution ends or ctx is done.
	Claim(ctx context.Context, key steering.Key, fingerprint uint64) (Recorder, *Answer, *steering.Refusal)
}

// Recorder receives the outcome of the one execution of a key. Head is called first, then Body any
// number of times, then exactly one of Complete and Refused. If no response was begun, only Refused
// is called.
type Recorder interface {
	// Head records the response's status and header.
	Head(status int, header http.Header)
	// Body records a piece of the response body. p is only valid during the call.
	Body(p []byte)
	// Complete records that the response is complete.
	Complete(trailer http.Header)
	// Refused records a run without a complete response. After RanNo the key may run again; after
	// any other value it never does.
	Refused(*steering.Refusal)
}

// Answer is a complete stored response.
type Answer = once.Answer

// TryOutcome is the outcome of a try with regard to the health of its target.
type TryOutcome uint8

// Outcomes of a try.
const (
	// TryInconclusive says nothing about the target: the try was refused, not sent or canceled.
	TryInconclusive TryOutcome = iota
	// TrySucceeded is a complete response that is not a failure.
	TrySucceeded
	// TryErrorResponse is a complete response that reports a failure of the service.
	TryErrorResponse
	// TryConnectionBroken is a connection that broke while the target had the request.
	TryConnectionBroken
	// TryTimedOut is a deadline that passed while the target had the request.
	TryTimedOut
)

// Suspects tracks the requests that were in flight on a target when it was lost.
type Suspects interface {
	// Begin checks whether a request may be tried, before any target receives it. While a similar
	// request is tried alone it blocks until that try ends or ctx is done. If the refusal is nil,
	// the caller must call End, and must not send the request to the targets in Verdict.Avoid.
	Begin(ctx context.Context, m poison.Fingerprints) (poison.Verdict, *steering.Refusal)
	// SetTrialTarget sets the target on which the request is tried.
	SetTrialTarget(m poison.Fingerprints, v poison.Verdict, target steering.Target)
	// End records how the try ended. If it was called with TryConnectionBroken and the target was
	// lost, the region's live entry VMs have been notified when End returns, as far as they respond
	// in time.
	End(m poison.Fingerprints, v poison.Verdict, target routing.Target, e TryOutcome)
}

// Retries manages the retry budgets of pools.
type Retries interface {
	// RecordRequest counts the first try of a request, which adds percent hundredths of a retry to
	// the pool's budget.
	RecordRequest(pool retry.Pool, percent int)
	// Retry decides whether a failed try may be followed by another one, and charges it to the
	// budget.
	Retry(now time.Time, r retry.Request, t retry.Tries, ran steering.Ran) retry.Denial
	// Hedge decides whether a second try may run in parallel to a slow one, and charges it to the
	// budget.
	Hedge(now time.Time, r retry.Request, t retry.Tries) retry.Denial
}
