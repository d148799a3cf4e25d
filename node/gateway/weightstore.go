package gateway

import (
	"context"
	"math"
	"time"

	"heatherlock/node/gateway/loadreport"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/storepos"
)

// weightStore keeps the weights of regions in the store. It implements loadreport.Store.
type weightStore struct {
	store *platform.Store
}

// LoadWeights implements loadreport.Store.
func (s *weightStore) LoadWeights(ctx context.Context, region steering.Region) (loadreport.Saved, loadreport.Outcome) {
	saved, _, outcome := s.read(ctx, region)
	return saved, outcome
}

// read returns the weights of a region with their position, which is zero if there are none.
func (s *weightStore) read(ctx context.Context, region steering.Region) (loadreport.Saved, storepos.Position, loadreport.Outcome) {
	w, at, err := s.store.Weights(ctx, region)
	switch fault := platform.FaultOf(err); {
	case fault == platform.FaultNotFound || fault == platform.FaultMalformed && !at.IsZero():
		return loadreport.Saved{}, at, loadreport.StoreDone // a malformed object is replaced by the next write
	case err != nil:
		return loadreport.Saved{}, at, loadreport.StoreFailed
	case at.Restored(storepos.Position{Epoch: w.Epoch, Revision: at.Revision}):
		return loadreport.Saved{}, at, loadreport.StoreOutdated
	}
	saved := loadreport.Saved{By: w.By, Term: balance.Term{Start: w.Start, Number: w.Number}, At: time.UnixMilli(w.AtMs),
		Weights: make(map[steering.Target]float64, len(w.Eighths))}
	for name, eighths := range w.Eighths {
		saved.Weights[name] = float64(eighths) / weightParts
	}
	return saved, at, loadreport.StoreDone
}

// weightParts is the number of parts in which weights are stored.
const weightParts = 8

// SaveWeights implements loadreport.Store. It reads the object first, since a write does not return the
// position of the object.
func (s *weightStore) SaveWeights(ctx context.Context, region steering.Region, saved loadreport.Saved) loadreport.Outcome {
	found, at, outcome := s.read(ctx, region)
	switch {
	case outcome == loadreport.StoreFailed:
		return outcome
	case outcome == loadreport.StoreDone && saved.Term.Before(found.Term) && saved.At.Sub(found.At) < balance.WeightTTL:
		return loadreport.StoreChanged // another VM takes itself for the balancer and started later
	}
	w := platform.Weights{By: saved.By, Start: saved.Term.Start, Number: saved.Term.Number, Epoch: s.store.Epoch(), AtMs: saved.At.UnixMilli(),
		Eighths: make(map[steering.Target]int, len(saved.Weights))}
	for name, weight := range saved.Weights {
		w.Eighths[name] = int(math.Round(weight * weightParts))
	}
	err := s.store.PutWeights(ctx, region, w, at)
	switch {
	case platform.FaultOf(err) == platform.FaultConflict:
		return loadreport.StoreChanged
	case err != nil:
		return loadreport.StoreFailed
	}
	return loadreport.StoreDone
}
