package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heatherlock/node/forward"
	"heatherlock/node/seam"
	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/once"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// The types in this file stand in for parts that are not in the tree yet. Each
// keeps its promise by refusing more than the part would.

// closedCaps refuses all work that a cap binds, since it holds no permits.
type closedCaps struct {
	configs seam.Configs
}

func (c closedCaps) Admit(_ context.Context, service steering.Service, home, place steering.Place) (seam.CapPermit, error) {
	s := c.configs.Snapshot()
	for _, limit := range s.Caps {
		shift := s.Shifts[limit.Shift]
		if shift == nil || shift.Service != "" && shift.Service != service {
			continue
		}
		if contains(shift.From, home) && contains(shift.To, place) {
			return nil, steering.Refuse(steering.ReasonCapReached, limit.Window, "cap "+limit.Name+" has no permits here")
		}
	}
	return freePermit{}, nil
}

func contains(places []steering.Place, place steering.Place) bool {
	for _, one := range places {
		if one == place {
			return true
		}
	}
	return false
}

type freePermit struct{}

func (freePermit) Done(bool) {}

// outcomes keeps no answers: a repeated key is told that its outcome is
// unknown.
type outcomes struct {
	mu    sync.Mutex
	table *once.Table
}

func newOutcomes(incarnation steering.Incarnation, started time.Time, limits static.Limits) *outcomes {
	return &outcomes{table: once.New(once.Config{
		Incarnation: incarnation, Start: started, MaxBytes: limits.OutcomeBytes, KeepFor: limits.OutcomeTTL(),
	})}
}

func (o *outcomes) Claim(_ context.Context, key steering.Key, fingerprint uint64) (forward.Recorder, *forward.Answer, *steering.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.table.Begin(time.Now(), key, once.Fingerprint(fingerprint))
	switch decision.Kind {
	case once.Execute:
		return &recorder{outcomes: o, run: decision.Run}, nil, nil
	case once.Refuse:
		return nil, nil, decision.Refusal
	}
	return nil, nil, steering.Unknown(steering.ReasonKeyBusy, "the key is running")
}

func (o *outcomes) finish(run once.Run, outcome once.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Finish(time.Now(), run, outcome)
}

// recorder ends one run.
type recorder struct {
	outcomes *outcomes
	run      once.Run
}

func (r *recorder) Head(int, http.Header) {}
func (r *recorder) Body([]byte)           {}

func (r *recorder) Whole(http.Header) {
	r.outcomes.finish(r.run, once.Outcome{Kind: once.Done})
}

func (r *recorder) Refused(refusal *steering.Refusal) {
	if refusal.Ran == steering.RanNo {
		r.outcomes.finish(r.run, once.Outcome{Kind: once.NotRun})
		return
	}
	r.outcomes.finish(r.run, once.Outcome{Kind: once.Unknown, Refusal: refusal})
}

// noSuspects suspects nobody.
type noSuspects struct{}

func (noSuspects) Check(steering.Key, uint64, time.Time) *steering.Refusal   { return nil }
func (noSuspects) Broke(steering.Key, uint64, steering.Target, time.Time)    {}
func (noSuspects) Survived(steering.Key, uint64, steering.Target, time.Time) {}

// retries keeps the budgets behind a lock.
type retries struct {
	mu      sync.Mutex
	budgets *retry.Budgets
}

func newRetries() *retries { return &retries{budgets: retry.NewBudgets()} }

func (r *retries) FirstTry(service *routing.Service, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.First(retry.Pool{Service: service.Name}, service.RetryPercent)
}

func (r *retries) Allow(service *routing.Service, _ time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TakeRetry(retry.Pool{Service: service.Name})
}
