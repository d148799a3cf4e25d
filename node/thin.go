package node

import (
	"context"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
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
