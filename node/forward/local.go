package forward

import (
	"slices"
	"sync/atomic"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// localIndex maps each service to the places of this zone that have targets for it. It is built
// once per snapshot, so that a request costs one map access. It is safe for concurrent use.
type localIndex struct {
	zone    steering.Zone
	current atomic.Pointer[placeIndex]
}

// placeIndex holds the places of one snapshot by service.
type placeIndex struct {
	snapshot  *routing.Snapshot
	byService map[steering.Service][]steering.Place
}

func (l *localIndex) places(s *routing.Snapshot, service steering.Service) []steering.Place {
	index := l.current.Load()
	if index == nil || index.snapshot != s {
		index = indexPlaces(s, l.zone)
		l.current.Store(index)
	}
	return index.byService[service]
}

func indexPlaces(s *routing.Snapshot, zone steering.Zone) *placeIndex {
	index := &placeIndex{snapshot: s, byService: make(map[steering.Service][]steering.Place)}
	for name, place := range s.Places {
		if place.Zone != zone {
			continue
		}
		for _, target := range place.Targets {
			if !slices.Contains(index.byService[target.Service], name) {
				index.byService[target.Service] = append(index.byService[target.Service], name)
			}
		}
	}
	for _, places := range index.byService {
		slices.Sort(places)
	}
	return index
}
