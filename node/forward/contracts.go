package forward

import (
	"context"
	"net/http"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/once"
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

// Suspects remembers requests whose tries coincided with their target's death.
type Suspects interface {
	// Check returns a refusal for a request that took down targets before.
	Check(key steering.Key, fingerprint uint64, now time.Time) *steering.Refusal
	// Broke records that the target broke off while it held the request.
	Broke(key steering.Key, fingerprint uint64, target steering.Target, now time.Time)
	// Survived records a whole answer.
	Survived(key steering.Key, fingerprint uint64, target steering.Target, now time.Time)
}

// Retries holds the retry budgets of services.
type Retries interface {
	// FirstTry counts a first try of a service.
	FirstTry(service *routing.Service, now time.Time)
	// Allow takes one retry out of the budget, or reports that it is spent.
	Allow(service *routing.Service, now time.Time) bool
}
