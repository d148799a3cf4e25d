package feed

import (
	"heatherlock/node/gateway/planted"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// TargetUpdate tells which targets to place requests on.
type TargetUpdate struct {
	// Complete is set if Changed holds all targets. Otherwise the targets that neither Changed nor
	// Removed names are as they were.
	Complete bool
	Changed  []placement.Target
	Removed  []steering.Target
	// Total is the number of all targets.
	Total int
	// GenerationOf returns the generation of a target, and false for a target that is not known. It
	// may be called only while the update is handled.
	GenerationOf func(steering.Target) (steering.Generation, bool)
}

// Placement returns all targets in the form that placement takes.
func (s *State) Placement() []placement.Target {
	all := make([]placement.Target, 0, len(s.targets))
	for _, t := range s.targets {
		if p, known := s.placementOf(t); known {
			all = append(all, p)
		}
	}
	return all
}

// Open reports whether a target is known and may get requests.
func (s *State) Open(name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	p, known := s.placementOf(t)
	return known && !p.Closed
}

// TakeChanges returns the targets that changed since the last call, and whether there are any.
func (s *State) TakeChanges() (TargetUpdate, bool) {
	u := TargetUpdate{Complete: s.allUnplaced, Total: len(s.targets), GenerationOf: s.Generation}
	names := s.unplaced
	if len(names) > 0 {
		s.unplaced = make(map[steering.Target]bool)
	}
	s.allUnplaced = false
	if u.Complete {
		u.Changed = s.Placement()
		return u, true
	}
	for name := range names {
		if t := s.targets[name]; t != nil {
			if p, known := s.placementOf(t); known {
				u.Changed = append(u.Changed, p)
				continue
			}
		}
		u.Removed = append(u.Removed, name)
	}
	return u, len(names) > 0
}

// placementOf returns a target in the form that placement takes, and false if its zone is not in the
// settings; see inUnknownZones.
func (s *State) placementOf(t *Entry) (p placement.Target, known bool) {
	region, known := s.regions[t.Zone]
	if !known {
		return p, false
	}
	p = placement.Target{Name: t.Name, Generation: t.Generation, Service: t.Service, Address: t.Address, Zone: t.Zone, Region: region,
		Slots: t.Slots, Closed: (t.Leaving || s.evacuated[t.Zone] || s.lasting.closes(t)) && planted.Defect != planted.LeavingIgnored, ColdUntil: t.coldUntil}
	if until := s.coldZones[t.Zone]; until.After(p.ColdUntil) {
		p.ColdUntil = until
	}
	if s.table != nil && s.table.Services[t.Service] != nil {
		p.ColdRate = s.table.Services[t.Service].ColdRate
	}
	return p, true
}
