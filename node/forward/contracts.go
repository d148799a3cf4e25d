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

// Outcomes keeps the outcome of each keyed request that this incarnation runs.
type Outcomes interface {
	// Claim binds a key to one execution. It returns exactly one of a Recorder
	// (the caller runs the request and reports to it), a stored Answer to
	// replay, or a refusal. It waits while the same key runs, until ctx ends.
	Claim(ctx context.Context, key steering.Key, fingerprint uint64) (Recorder, *Answer, *steering.Refusal)
}

// Recorder is told how the one execution of a key went. Head comes first, then
// any number of Body calls, then exactly one of Whole and Refused.
type Recorder interface {
	// Head records the answer's status and header.
	Head(status int, header http.Header)
	// Body records a piece of the answer; p is only valid during the call.
	Body(p []byte)
	// Whole records that the answer is complete.
	Whole(trailer http.Header)
	// Refused records a run without a whole answer: after RanNo the key may
	// run again, after anything else it never does.
	Refused(*steering.Refusal)
}

// Answer is a whole stored answer.
type Answer = once.Answer

// TryEnd says how a try ended, as far as its target's health is concerned.
type TryEnd uint8

// Ends of a try.
const (
	// TryNothing tells nothing of the target: refused, not sent, cancelled.
	TryNothing TryEnd = iota
	// TryWhole is a whole answer that is no failure.
	TryWhole
	// TryFailure is a whole answer that is a failure of the service.
	TryFailure
	// TryBroken is a connection that broke with the request in hand.
	TryBroken
	// TrySilent is a deadline that passed with the request in hand.
	TrySilent
)

// Suspects remembers requests that were in hand when their target was lost.
type Suspects interface {
	// Enter asks for leave to try a request, before any target gets it. It
	// waits while a like request is tried alone, until ctx ends. After a nil
	// refusal the caller must call End; the targets in Verdict.Avoid are not
	// to get it.
	Enter(ctx context.Context, m poison.Mark) (poison.Verdict, *steering.Refusal)
	// Trying names the target of the try.
	Trying(m poison.Mark, v poison.Verdict, target steering.Target)
	// End records how the try ended. When the target was lost, the region's
	// entry VMs know of it once End returns.
	End(m poison.Mark, v poison.Verdict, target routing.Target, e TryEnd)
}

// Retries holds the retry budgets of pools.
type Retries interface {
	// First counts a first try, which pays percent hundredths of a further one.
	First(pool retry.Pool, percent int)
	// Retry decides about a try after a failed one, and pays for it.
	Retry(now time.Time, r retry.Request, t retry.Tries, ran steering.Ran) retry.Denial
	// Hedge decides about a second try beside a slow one, and pays for it.
	Hedge(now time.Time, r retry.Request, t retry.Tries) retry.Denial
}
