package benchbalance

import (
	"slices"
	"time"

	"heatherlock/steering/spill"
)

// spillOrder returns the zones to which an entry VM spills a request, in the order of the attempts.
type spillOrder func(w *multiZone, s *entryVM) []*simZone

func spillOrders() []struct {
	name       string
	spillOrder spillOrder
} {
	return []struct {
		name       string
		spillOrder spillOrder
	}{
		{"hints with age, spread by headroom (product)", spreadOrder},
		{"most free slots by the same hints", greedyOrder},
		{"nearest first, no hints", nearestOrder},
		{"random, no hints", randomOrder},
	}
}

// distance returns the one-way message time between two zones.
func distance(a, b *simZone) time.Duration {
	if a.region == b.region {
		return sameRegionOneWay
	}
	return otherRegionOneWay
}

// others returns all zones but the entry VM's own.
func (w *multiZone) others(s *entryVM) (all []*simZone) {
	for _, at := range w.zones {
		if at != s.home {
			all = append(all, at)
		}
	}
	return all
}

// spreadOrder uses the product's own steering/spill, which spreads requests by headroom and discounts
// old hints.
func spreadOrder(w *multiZone, s *entryVM) (all []*simZone) {
	var candidates []spill.Candidate
	for _, at := range w.others(s) {
		candidates = append(candidates, spill.Candidate{Place: at.name, Distance: int(distance(s.home, at) / time.Millisecond)})
	}
	for _, name := range s.table.Order(zonesService, candidates, w.clock()) {
		for _, at := range w.zones {
			if at.name == name {
				all = append(all, at)
			}
		}
	}
	return all
}

// greedyOrder prefers the zone with the most free slots according to the last headroom report.
func greedyOrder(w *multiZone, s *entryVM) []*simZone {
	all := w.others(s)
	slices.SortStableFunc(all, func(a, b *simZone) int { return b.reportedFree - a.reportedFree })
	return all
}

func nearestOrder(w *multiZone, s *entryVM) []*simZone {
	all := w.others(s)
	slices.SortStableFunc(all, func(a, b *simZone) int { return int(distance(s.home, a) - distance(s.home, b)) })
	return all
}

func randomOrder(w *multiZone, s *entryVM) []*simZone {
	all := w.others(s)
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
