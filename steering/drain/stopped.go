package drain

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Set holds what planned stops take out of service at one point in time. It is
// immutable and safe for concurrent use; the zero value stops nothing.
type Set struct {
	targets map[steering.Target]string
	vms     map[steering.VM]string
	zones   map[steering.Zone]string
	places  map[steering.Place]string
	next    time.Time
}

// Stopped returns what the stops of a snapshot take out of service at now. The result
// depends on the arguments alone. The cost is proportional to the number of stops and of
// the targets that they cover. A nil snapshot stops nothing.
func Stopped(s *routing.Snapshot, now time.Time) Set {
	var set Set
	if s == nil {
		return set
	}
	for _, stop := range s.Stops {
		if stop.At.After(now) {
			set.addStart(stop.At)
			continue
		}
		set.add(s, stop)
	}
	return set
}

// Target returns the name of the stop that covers a target.
func (s Set) Target(t steering.Target) (stop string, stopped bool) {
	stop, stopped = s.targets[t]
	return stop, stopped
}

// Place returns the name of the stop that covers a whole place.
func (s Set) Place(p steering.Place) (stop string, stopped bool) {
	stop, stopped = s.places[p]
	return stop, stopped
}

// Zone returns the name of the stop that covers a zone.
func (s Set) Zone(z steering.Zone) (stop string, stopped bool) {
	stop, stopped = s.zones[z]
	return stop, stopped
}

// VM returns the name of the stop that covers an entry VM, itself or through
// its zone.
func (s Set) VM(vm steering.VM, zone steering.Zone) (stop string, stopped bool) {
	if stop, stopped = s.vms[vm]; stopped {
		return stop, true
	}
	return s.Zone(zone)
}

// Next returns the start of the next stop, at which the set changes without a new
// snapshot. It is the zero time if no stop is to start.
func (s Set) Next() time.Time { return s.next }

func (s *Set) addStart(at time.Time) {
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}

// add adds a started stop to the set. If several stops cover the same target, VM, zone
// or place, the one whose name sorts first is reported, so that all nodes report the
// same stop.
func (s *Set) add(snap *routing.Snapshot, stop *routing.Stop) {
	switch stop.Kind {
	case routing.StopTarget:
		put(&s.targets, steering.Target(stop.Subject), stop.Name)
	case routing.StopEntryVM:
		put(&s.vms, steering.VM(stop.Subject), stop.Name)
	case routing.StopPlace:
		s.addPlace(snap.Places[steering.Place(stop.Subject)], stop.Name)
	case routing.StopZone:
		zone := steering.Zone(stop.Subject)
		put(&s.zones, zone, stop.Name)
		for _, place := range snap.Places {
			if place.Zone == zone {
				s.addPlace(place, stop.Name)
			}
		}
	}
}

func (s *Set) addPlace(place *routing.Place, stop string) {
	if place == nil {
		return
	}
	put(&s.places, place.Name, stop)
	for _, target := range place.Targets {
		put(&s.targets, target.Name, stop)
	}
}

func put[K comparable](m *map[K]string, key K, stop string) {
	if *m == nil {
		*m = make(map[K]string)
	}
	if old, ok := (*m)[key]; !ok || stop < old {
		(*m)[key] = stop
	}
}
