package loadreport

import (
	"context"
	"maps"
	"time"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/balance"
)

const (
	// saveInterval is the shortest time between two writes of weights to the store.
	saveInterval = 5 * time.Second
	// maxSavedAge is the age above which weights in the store are ignored: the load has changed.
	maxSavedAge = 30 * time.Second
	// saveRefresh is the age at which unchanged weights are written again. Without it, weights that have
	// come to rest would be ignored after maxSavedAge, and keys would run cold after a restart of all VMs.
	saveRefresh = 20 * time.Second
	// storeWait bounds a call to the store.
	storeWait = 2 * time.Second
	// maxSavedWeights bounds the weights in the store, to about 10 KB.
	maxSavedWeights = 256
)

// Saved are the weights of a region as they are kept in the store.
type Saved struct {
	By      steering.VM
	Term    balance.Term
	At      time.Time
	Weights map[steering.Target]float64
}

// Outcome is the result of a call to the store, as counted in metrics.
type Outcome string

// Outcomes of calls to the store.
const (
	StoreDone Outcome = "done"
	// StoreChanged means that another VM has written the object since it was read.
	StoreChanged Outcome = "changed"
	StoreFailed  Outcome = "failed"
	// StoreOutdated means that the object is from before the store was restored.
	StoreOutdated Outcome = "outdated"
	// StoreTooOld means that the weights are older than maxSavedAge.
	StoreTooOld Outcome = "too_old"
)

// Store keeps the weights of regions. It writes an object only if that has not changed meanwhile.
type Store interface {
	LoadWeights(ctx context.Context, region steering.Region) (Saved, Outcome)
	SaveWeights(ctx context.Context, region steering.Region, saved Saved) Outcome
}

// saver calls the store, one call at a time, outside of the exchange of reports.
type saver struct {
	store Store

	mu      lock.Mutex
	busy    bool
	asked   bool // weights were requested; they are in loaded once busy is unset
	loaded  Saved
	savedAt time.Time
	saved   map[steering.Target]float64
}

// load returns the weights in the store. done is unset while they are being read. A store that does not
// answer has no weights.
func (s *saver) load(ctx context.Context, now time.Time, of *Service) (found map[steering.Target]float64, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return nil, false
	}
	if s.asked {
		s.asked = false
		if age := now.Sub(s.loaded.At); age > maxSavedAge || age < -maxSavedAge {
			if len(s.loaded.Weights) > 0 {
				count(of, "load", StoreTooOld)
			}
			return nil, true
		}
		s.saved = s.loaded.Weights
		return s.loaded.Weights, true
	}
	s.busy, s.asked, s.loaded = true, true, Saved{}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeWait)
		defer cancel()
		saved, outcome := s.store.LoadWeights(ctx, of.cfg.Region)
		count(of, "load", outcome)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy = false
		if outcome == StoreDone {
			s.loaded = saved
		}
	}()
	return nil, false
}

// save writes weights that differ from those written last, at most once in saveInterval, and weights below
// 1 again after saveRefresh.
func (s *saver) save(ctx context.Context, now time.Time, of *Service, weights Saved) {
	if s.store == nil {
		return
	}
	if len(weights.Weights) > maxSavedWeights {
		return // a VM that becomes balancer then uses those that it holds
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unchanged := maps.Equal(s.saved, weights.Weights)
	outdated := len(weights.Weights) > 0 && now.Sub(s.savedAt) >= saveRefresh
	if s.busy || now.Sub(s.savedAt) < saveInterval || unchanged && !outdated {
		return
	}
	s.busy, s.savedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeWait)
		defer cancel()
		outcome := s.store.SaveWeights(ctx, of.cfg.Region, weights)
		count(of, "save", outcome)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy = false
		if outcome == StoreDone {
			s.saved = weights.Weights
		}
	}()
}

func count(of *Service, call string, outcome Outcome) {
	of.cfg.Scope.Tagged(map[string]string{"call": call, "outcome": string(outcome)}).Counter("gateway_weight_store_calls").Inc(1)
}
