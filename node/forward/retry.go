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

// SharedBudgets implements Retries with the budgets of package retry and counts
// each denial by its reason.
type SharedBudgets struct {
	denied map[retry.Denial]tally.Counter

	mu      sync.Mutex
	budgets *retry.Budgets
}

var _ Retries = (*SharedBudgets)(nil)

// NewRetries returns budgets for the pools of the configuration in force.
func NewRetries(configs seam.Configs, scope tally.Scope) *SharedBudgets {
	b := &SharedBudgets{denied: make(map[retry.Denial]tally.Counter), budgets: retry.NewBudgets()}
	for _, denial := range retry.Denials {
		b.denied[denial] = scope.Tagged(map[string]string{"denial": string(denial)}).Counter("retries_denied")
	}
	configs.Subscribe(b.keep)
	return b
}

// keep forgets the pools that are no longer declared.
func (b *SharedBudgets) keep(s *routing.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.Keep(func(p retry.Pool) bool {
		return s.Services[p.Service] != nil && s.Places[p.Place] != nil
	})
}

// First implements Retries.
func (b *SharedBudgets) First(pool retry.Pool, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.First(pool, percent)
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

// retryRequest is what the rules need to know of the request.
func (x *exchange) retryRequest() retry.Request {
	return retry.Request{
		Pool: x.pool, Idempotent: !x.atMostOnce, FromCaller: x.origin != fromZone,
		Replayable: x.bodyUntouched(), Deadline: x.deadline,
	}
}

func (x *exchange) triesSoFar() retry.Tries {
	return retry.Tries{Targets: x.tried, Extra: x.retried}
}

// countFirst pays into the budget of the pool that gets the first try.
func (x *exchange) countFirst(target routing.Target) {
	if len(x.tried) > 0 || x.origin == fromZone {
		return
	}
	x.pool = retry.Pool{Service: x.service.Name, Place: target.Place}
	x.f.retries.First(x.pool, x.service.RetryPercent)
}

// mayRetry decides whether a try that brought no answer is followed by another
// one.
func (x *exchange) mayRetry(refusal *steering.Refusal) bool {
	if x.retryAhead {
		x.retryAhead = false
		return true
	}
	switch refusal.Reason {
	case steering.ReasonShed, steering.ReasonTargetFailed, steering.ReasonTargetDied,
		steering.ReasonAnswerCut, steering.ReasonAnswerCrossed:
		return x.allowRetry(refusal.Reason, refusal.Ran)
	}
	return false
}

// worthRepeating reports a failure answer for which another target is tried
// instead; the retry is then taken out of the budget.
func (x *exchange) worthRepeating(status int) bool {
	switch status {
	case 502, 503, 504:
	default:
		return false
	}
	x.retryAhead = x.allowRetry(steering.ReasonTargetFailed, steering.RanUnknown)
	return x.retryAhead
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
	return x.body == nil || x.body.ahead || !x.body.begun.Load()
}
