package benchbalance

import (
	"slices"
	"time"

	"heatherlock/steering/spill"
)

// order chooses where spilled work is tried.
type order func(w *world, s *sender) []*place

func zonesOrders() []struct {
	name  string
	order order
} {
	return []struct {
		name  string
		order order
	}{
		{"hints with age, spread by headroom (product)", spreadOrder},
		{"most free slots by the same hints", greedyOrder},
		{"nearest first, no hints", nearestOrder},
		{"random, no hints", randomOrder},
	}
}

func distance(a, b *place) time.Duration {
	if a.region == b.region {
		return sameRegion
	}
	return otherRegion
}

func (w *world) others(s *sender) (all []*place) {
	for _, at := range w.places {
		if at != s.home {
			all = append(all, at)
		}
	}
	return all
}

func spreadOrder(w *world, s *sender) (all []*place) {
	var candidates []spill.Candidate
	for _, at := range w.others(s) {
		candidates = append(candidates, spill.Candidate{Place: at.name, Distance: int(distance(s.home, at) / time.Millisecond)})
	}
	for _, name := range s.table.Order(zonesService, candidates, w.clock()) {
		for _, at := range w.places {
			if at.name == name {
				all = append(all, at)
			}
		}
	}
	return all
}

// greedyOrder takes the most free slots by what the last beat told.
func greedyOrder(w *world, s *sender) []*place {
	all := w.others(s)
	slices.SortStableFunc(all, func(a, b *place) int { return b.told - a.told })
	return all
}

func nearestOrder(w *world, s *sender) []*place {
	all := w.others(s)
	slices.SortStableFunc(all, func(a, b *place) int { return int(distance(s.home, a) - distance(s.home, b)) })
	return all
}

func randomOrder(w *world, s *sender) []*place {
	all := w.others(s)
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
