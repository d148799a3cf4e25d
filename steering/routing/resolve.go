package routing

import (
	"slices"
	"time"

	"heatherlock/steering"
)

// Resolve returns the places that a name means in a shift: the place of that
// name, else the places of the zone, else those of the region, by name. It is
// empty when nothing has the name.
func Resolve(places map[steering.Place]*Place, name string) []steering.Place {
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

// Serves says whether a place has a target for the service.
func (p *Place) Serves(service steering.Service) bool {
	return slices.ContainsFunc(p.Targets, func(t Target) bool { return t.Service == service })
}

// Begun says whether the stop holds at now.
func (s *Stop) Begun(now time.Time) bool {
	return !now.Before(s.At)
}
