package retry

import "heatherlock/steering"

// Bounds of a budget, in tries.
const (
	// MaxSaved is the most that a pool saves up.
	MaxSaved = 10
	// InitialSaved lets a pool's first failure be retried.
	InitialSaved = 1
	// MaxPools bounds the pools kept; further ones get no retries.
	MaxPools = 8192
)

// hedgeShare is the part of the retry percentage that hedges may use: 1/2.
const hedgeShare = 2

// oneTry is the price of a try in the unit of savings, hundredths of a try, so
// that a first try saves as many units as the percentage says.
const oneTry = 100

// Pool names a service at a place.
type Pool struct {
	Service steering.Service
	Place   steering.Place
}

type savings struct {
	retries int
	hedges  int
}

// Budgets holds the savings of every pool. It is not safe for concurrent use.
type Budgets struct {
	pools map[Pool]*savings
}

// NewBudgets returns budgets without savings.
func NewBudgets() *Budgets {
	return &Budgets{pools: make(map[Pool]*savings)}
}

// First records a first try, which saves percent hundredths of a try.
func (b *Budgets) First(pool Pool, percent int) {
	s := b.of(pool)
	if s == nil {
		return
	}
	s.retries = min(s.retries+percent, MaxSaved*oneTry)
	s.hedges = min(s.hedges+percent/hedgeShare, MaxSaved*oneTry)
}

// TakeRetry pays for a retry and reports whether the savings allowed it.
func (b *Budgets) TakeRetry(pool Pool) bool {
	s := b.of(pool)
	if s == nil || s.retries < oneTry {
		return false
	}
	s.retries -= oneTry
	return true
}

// TakeHedge pays for a hedge from both savings and reports whether they allowed
// it.
func (b *Budgets) TakeHedge(pool Pool) bool {
	s := b.of(pool)
	if s == nil || s.hedges < oneTry || s.retries < oneTry {
		return false
	}
	s.hedges -= oneTry
	s.retries -= oneTry
	return true
}

// Keep forgets the pools for which keep is false, after a configuration change.
func (b *Budgets) Keep(keep func(Pool) bool) {
	for pool := range b.pools {
		if !keep(pool) {
			delete(b.pools, pool)
		}
	}
}

func (b *Budgets) of(pool Pool) *savings {
	if s, ok := b.pools[pool]; ok {
		return s
	}
	if len(b.pools) >= MaxPools {
		return nil
	}
	s := &savings{retries: InitialSaved * oneTry}
	b.pools[pool] = s
	return s
}
