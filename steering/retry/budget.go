package retry

import "heatherlock/steering"

// Bounds of the budget of a pool, in tries.
const (
	// MaxSavedTries is the largest number of extra tries that a pool accumulates.
	MaxSavedTries = 10
	// InitialTries is the initial budget of a pool; it allows a retry of the pool's first
	// failure.
	InitialTries = 1
	// MaxPools is the maximum number of pools with a budget. Further pools get no retries and no
	// hedges.
	MaxPools = 8192
)

// hedgeDivisor is the ratio of the retry budget to the hedge budget: hedges may use half of the
// retry percentage.
const hedgeDivisor = 2

// unitsPerTry is the cost of an extra try. Budgets count in hundredths of a try, so that a first
// try adds as many units as the retry percentage.
const unitsPerTry = 100

// Pool identifies a service at a place.
type Pool struct {
	Service steering.Service
	Place   steering.Place
}

type poolBudget struct {
	retries int
	hedges  int
}

// Budgets holds the budgets of all pools. It is not safe for concurrent use.
type Budgets struct {
	pools map[Pool]*poolBudget
}

// NewBudgets returns Budgets in which each pool starts with InitialTries.
func NewBudgets() *Budgets {
	return &Budgets{pools: make(map[Pool]*poolBudget)}
}

// RecordRequest records a first try, which adds percent hundredths of a try to the budget of the
// pool.
func (b *Budgets) RecordRequest(pool Pool, percent int) {
	s := b.budgetFor(pool)
	if s == nil {
		return
	}
	s.retries = min(s.retries+percent, MaxSavedTries*unitsPerTry)
	s.hedges = min(s.hedges+percent/hedgeDivisor, MaxSavedTries*unitsPerTry)
}

// TakeRetry charges a retry to the budget of the pool and reports whether the budget allowed it.
func (b *Budgets) TakeRetry(pool Pool) bool {
	s := b.budgetFor(pool)
	if s == nil || s.retries < unitsPerTry {
		return false
	}
	s.retries -= unitsPerTry
	return true
}

// TakeHedge charges a hedge to both the retry budget and the hedge budget of the pool, and
// reports whether both allowed it.
func (b *Budgets) TakeHedge(pool Pool) bool {
	s := b.budgetFor(pool)
	if s == nil || s.hedges < unitsPerTry || s.retries < unitsPerTry {
		return false
	}
	s.hedges -= unitsPerTry
	s.retries -= unitsPerTry
	return true
}

// Keep removes the pools for which keep returns false, for use after a configuration change.
func (b *Budgets) Keep(keep func(Pool) bool) {
	for pool := range b.pools {
		if !keep(pool) {
			delete(b.pools, pool)
		}
	}
}

func (b *Budgets) budgetFor(pool Pool) *poolBudget {
	if s, ok := b.pools[pool]; ok {
		return s
	}
	if len(b.pools) >= MaxPools {
		return nil
	}
	s := &poolBudget{retries: InitialTries * unitsPerTry}
	b.pools[pool] = s
	return s
}
