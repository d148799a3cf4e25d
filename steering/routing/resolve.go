package routing

import (
	"slices"
	"time"

	"heatherlock/steering"
)

// ResolvePlaces returns the places that a name in a shift refers to, sorted by name: the place of
// that name if there is one, otherwise the places of the zone, otherwise those of the region. The
// result is empty if nothing has that name.
func ResolvePlaces(places map[steering.Place]*Place, name string) []steering.Place {
	if _, ok := places[steering.Place(name)]; ok {
		return []steering.Place{steering.Place(name)}
	}
	if inZone := matching(places, func(p *Place) bool { return string(p.Zone) == name }); len(inZone) > 0 {
		return inZone
	}
	return matching(places, func(p *Place) bool { return string(p.Region) == name })
}

func matching(places map[steering.Place]*Place, match func(*Place) bool) []steering.Place {
	var found []steering.Place
	for name, place := range places {
		if match(place) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

// Serves reports whether the place has a target for the service.
func (p *Place) Serves(service steering.Service) bool {
	return slices.ContainsFunc(p.Targets, func(t Target) bool { return t.Service == service })
}

// Started reports whether the stop has started at the given time.
func (s *Stop) Started(now time.Time) bool {
	return !now.Before(s.At)
}
