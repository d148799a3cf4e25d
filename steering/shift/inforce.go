package shift

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// InForce returns the shift that an entry VM applies: the declared shift with the percentage moved
// so far. While callers are still moved along a route that is no longer declared, the shift along
// the old route stays in force with a target of 0 percent. InForce returns nil if the shift is not
// declared and no callers are moved.
func InForce(name string, declared *routing.Shift, progress *routing.ShiftProgress, places map[steering.Place]*routing.Place) *routing.Shift {
	if progress == nil || progress.Moved == 0 {
		return declared
	}
	if declared != nil && sameRoute(declared, progress) {
		moved := *declared
		moved.Moved = progress.Moved
		return &moved
	}
	from, to := routing.ResolvePlaces(places, progress.Route.From), routing.ResolvePlaces(places, progress.Route.To)
	if len(from) == 0 || len(to) == 0 {
		return declared // the places of the old route no longer exist
	}
	return &routing.Shift{
		Name: name, Version: progress.ShiftVersion, Service: progress.Service, Route: progress.Route,
		From: from, To: to, Step: progress.Step, Every: time.Duration(progress.EverySeconds) * time.Second,
		Moved: progress.Moved,
	}
}

func sameRoute(declared *routing.Shift, progress *routing.ShiftProgress) bool {
	return declared.Service == progress.Service && declared.Route == progress.Route
}
