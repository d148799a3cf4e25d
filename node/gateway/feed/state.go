package feed

import (
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
)

const (
	// returnTime is how long after an outage of the store entries that lapsed
	// meanwhile may take to come back. Until then a missing entry says nothing.
	returnTime = 2200 * time.Millisecond
	// beatsMissed is how many heartbeats the store lets pass before it drops an
	// entry; a longer gap between reads may hide an outage.
	beatsMissed = 3
)

// known is a target as last read.
type known struct {
	platform.Target
	coldUntil time.Time
	// missingSince is when the entry was first seen missing after an outage;
	// zero while it is there.
	missingSince time.Time
}

// State is what was read from the store. It is not safe for concurrent use.
type State struct {
	beat    time.Duration
	regions map[steering.Zone]steering.Region

	targets   map[steering.Target]*known
	evacuated map[steering.Zone]bool
	// freshUntil marks zones whose targets may be cold though their entries do
	// not say so yet.
	coldZones map[steering.Zone]time.Time
	readAt    time.Time // of the targets
	// doubtUntil is set after an outage: removals are held back until then.
	doubtUntil time.Time
}

// NewState returns an empty state. beat is how often targets write to the store.
func NewState(beat time.Duration, regions map[steering.Zone]steering.Region) *State {
	return &State{beat: beat, regions: regions, targets: make(map[steering.Target]*known),
		evacuated: make(map[steering.Zone]bool), coldZones: make(map[steering.Zone]time.Time)}
}

// noteRead records a successful read of the targets and notices an outage
// before it.
func (s *State) noteRead(now time.Time) {
	if !s.readAt.IsZero() && now.Sub(s.readAt) > beatsMissed*s.beat {
		s.doubtUntil = now.Add(returnTime)
	}
	s.readAt = now
}

// Listed takes in a whole list of targets. It reports whether anything changed
// that matters.
func (s *State) Listed(now time.Time, all []platform.Target) bool {
	s.noteRead(now)
	listed := make(map[steering.Target]bool, len(all))
	changed := false
	for _, t := range all {
		listed[t.Name] = true
		changed = s.upsert(now, t) || changed
	}
	for name := range s.targets {
		if !listed[name] {
			changed = s.missing(now, name) || changed
		}
	}
	return changed
}

// Changed takes in changes of targets.
func (s *State) Changed(now time.Time, changes []platform.TargetChange) bool {
	s.noteRead(now)
	changed := false
	for _, c := range changes {
		if c.Removed {
			changed = s.missing(now, c.Target.Name) || changed
			continue
		}
		changed = s.upsert(now, c.Target) || changed
	}
	return changed
}

func (s *State) upsert(now time.Time, t platform.Target) bool {
	old := s.targets[t.Name]
	if old == nil {
		k := &known{Target: t}
		if t.ColdLeft > 0 {
			k.coldUntil = now.Add(t.ColdLeft)
		}
		s.targets[t.Name] = k
		return true
	}
	if t.Beat < old.Beat {
		return false // an older state of the entry, seen late
	}
	wasCold := now.Before(old.coldUntil)
	changed := old.Leaving != t.Leaving || old.Slots != t.Slots || old.Address != t.Address || !old.missingSince.IsZero()
	if t.Beat > old.Beat {
		old.coldUntil = time.Time{}
		if t.ColdLeft > 0 {
			old.coldUntil = now.Add(t.ColdLeft)
		}
	}
	old.missingSince = time.Time{}
	old.Target = t
	return changed || wasCold != now.Before(old.coldUntil)
}

// missing notes that an entry is gone. Right after an outage that may only mean
// that the target could not write; it is believed once the time to come back is
// over.
func (s *State) missing(now time.Time, name steering.Target) bool {
	t := s.targets[name]
	if t == nil {
		return false
	}
	if now.Before(s.doubtUntil) && !t.Leaving {
		if t.missingSince.IsZero() {
			t.missingSince = now
		}
		return false
	}
	delete(s.targets, name)
	return true
}

// Settle drops entries that did not come back after an outage.
func (s *State) Settle(now time.Time) bool {
	if now.Before(s.doubtUntil) {
		return false
	}
	changed := false
	for name, t := range s.targets {
		if !t.missingSince.IsZero() {
			delete(s.targets, name)
			changed = true
		}
	}
	return changed
}

// Evacuating takes in a whole list of zones under evacuation.
func (s *State) Evacuating(now time.Time, zones []steering.Zone) bool {
	next := make(map[steering.Zone]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	changed := len(next) != len(s.evacuated)
	for zone := range s.evacuated {
		if !next[zone] {
			changed = true
			s.endEvacuation(now, zone)
		}
	}
	s.evacuated = next
	return changed
}

// EvacuationChanged takes in changes of evacuations.
func (s *State) EvacuationChanged(now time.Time, changes []platform.EvacuationChange) bool {
	for _, c := range changes {
		if c.Ended {
			delete(s.evacuated, c.Zone)
			s.endEvacuation(now, c.Zone)
			continue
		}
		s.evacuated[c.Zone] = true
	}
	return len(changes) > 0
}

// endEvacuation takes the zone's targets as cold until their entries have had
// time to say otherwise: an idle target may have lost what made it fast, and a
// full load would crash it.
func (s *State) endEvacuation(now time.Time, zone steering.Zone) {
	s.coldZones[zone] = now.Add(2 * s.beat)
}

// Targets returns the targets for placement.
func (s *State) Targets(table *routes.Table) []placement.Target {
	all := make([]placement.Target, 0, len(s.targets))
	for _, t := range s.targets {
		p := placement.Target{Name: t.Name, Service: t.Service, Address: t.Address, Zone: t.Zone, Region: s.regions[t.Zone],
			Slots: t.Slots, Closed: t.Leaving || s.evacuated[t.Zone], ColdUntil: t.coldUntil}
		if until := s.coldZones[t.Zone]; until.After(p.ColdUntil) {
			p.ColdUntil = until
		}
		if table != nil && table.Services[t.Service] != nil {
			p.ColdRate = table.Services[t.Service].ColdRate
		}
		all = append(all, p)
	}
	return all
}

// Knows reports whether a target is on record.
func (s *State) Knows(name steering.Target) bool { return s.targets[name] != nil }
