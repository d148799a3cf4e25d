package forward

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// SharedBudgets implements Retries with the budgets of package retry and counts each denial by its
// reason. It is safe for concurrent use.
type SharedBudgets struct {
	denied map[retry.Denial]tally.Counter

	mu      sync.Mutex
	budgets *retry.Budgets
}

var _ Retries = (*SharedBudgets)(nil)

// NewRetries returns budgets for the pools of the current configuration.
func NewRetries(configs seam.Configs, scope tally.Scope) *SharedBudgets {
	b := &SharedBudgets{denied: make(map[retry.Denial]tally.Counter), budgets: retry.NewBudgets()}
	for _, denial := range retry.Denials {
		b.denied[denial] = scope.Tagged(map[string]string{"denial": string(denial)}).Counter("retries_denied")
	}
	configs.Subscribe(b.removeUndeclared)
	return b
}

// removeUndeclared removes the budgets of pools that are no longer declared.
func (b *SharedBudgets) removeUndeclared(s *routing.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.Keep(func(p retry.Pool) bool {
		return s.Services[p.Service] != nil && s.Places[p.Place] != nil
	})
}

// RecordRequest implements Retries.
func (b *SharedBudgets) RecordRequest(pool retry.Pool, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.RecordRequest(pool, percent)
}

// Retry implements Retries.
func (b *SharedBudgets) Retry(now time.Time, r retry.Request, t retry.Tries, ran steering.Ran) retry.Denial {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count(b.budgets.Retry(now, r, t, ran))
}

// Hedge implements Retries.
func (b *SharedBudgets) Hedge(now time.Time, r retry.Request, t retry.Tries) retry.Denial {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count(b.budgets.Hedge(now, r, t))
}

func (b *SharedBudgets) count(d retry.Denial) retry.Denial {
	if counter, ok := b.denied[d]; ok {
		counter.Inc(1)
	}
	return d
}

// retryRequest returns the properties of the request that the retry rules depend on.
func (x *exchange) retryRequest() retry.Request {
	return retry.Request{
		Pool: x.pool, Idempotent: !x.atMostOnce, FromCaller: x.origin != originSpillover,
		Replayable: x.bodyUntouched(), Deadline: x.deadline,
	}
}

func (x *exchange) triesSoFar() retry.Tries {
	return retry.Tries{Targets: x.tried, ExtraSent: x.retried}
}

// countFirstTry counts the first try of a request and adds to the budget of the pool that receives
// it. Requests handed over by another zone add nothing here.
func (x *exchange) countFirstTry(target routing.Target) {
	if len(x.tried) > 0 || x.origin == originSpillover {
		return
	}
	x.pool = retry.Pool{Service: x.service.Name, Place: target.Place}
	x.f.retries.RecordRequest(x.pool, x.service.RetryPercent)
}

// mayRetry decides whether a try whose response was not relayed is followed by another one.
func (x *exchange) mayRetry(refusal *steering.Refusal) bool {
	if x.retryGranted {
		x.retryGranted = false
		return true
	}
	switch refusal.Reason {
	case steering.ReasonShed, steering.ReasonTargetFailed, steering.ReasonTargetLost,
		steering.ReasonResponseTruncated, steering.ReasonResponseMismatched, steering.ReasonResponseMalformed:
		return x.allowRetry(refusal.Reason, refusal.Ran)
	}
	return false
}

// retryOnStatus reports whether another target is tried instead of relaying a failure response. In
// that case the retry has already been charged to the budget.
func (x *exchange) retryOnStatus(status int) bool {
	switch status {
	case 502, 503, 504:
	default:
		return false
	}
	x.retryGranted = x.allowRetry(steering.ReasonTargetFailed, steering.RanUnknown)
	return x.retryGranted
}

func (x *exchange) allowRetry(reason steering.Reason, ran steering.Ran) bool {
	denial := x.f.retries.Retry(time.Now(), x.retryRequest(), x.triesSoFar(), ran)
	if denial == retry.DenyBudget {
		x.f.counters.retry(steering.ReasonRetryBudget)
	}
	if denial != retry.Allowed {
		return false
	}
	x.retried = true
	x.f.counters.retry(reason)
	x.traceRetry(reason)
	return true
}

func (x *exchange) bodyUntouched() bool {
	return x.body == nil || x.body.fullyBuffered || !x.body.consumed.Load()
}
