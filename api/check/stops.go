package check

import (
	"slices"
	"strings"

	"heatherlock/api/oas"
)

// stoppedTarget is a target with the planned stops that cover it.
type stoppedTarget struct {
	place, service string
	byTarget       []string // stops that name the target itself
	byArea         []string // stops of its place or zone
}

func (t stoppedTarget) covered() bool { return len(t.byTarget)+len(t.byArea) > 0 }

// checkStops finds planned stops of unknown subjects, and planned stops that together leave a
// service or a place without a target, a zone without an entry VM, or a shift without a receiving
// place.
func (s Set) checkStops(problems *Problems, index placeIndex, facts Facts) {
	stops := s.of(oas.KindPlannedStop)
	for _, o := range stops {
		s.checkSubject(s.reportOn(problems, o), index, facts, o.PlannedStop.Spec)
	}
	targets := s.coverage(stops)
	s.checkServicesCovered(problems, targets)
	s.checkPlacesCovered(problems, targets)
	s.checkEntryVMs(problems, stops, facts)
	s.checkReceivers(problems, stops, index)
}

func (s Set) checkSubject(r report, index placeIndex, facts Facts, spec oas.PlannedStopSpec) {
	known := true
	switch spec.What {
	case oas.PlannedStopSpecWhatTarget:
		known = s.hasTarget(spec.Name)
	case oas.PlannedStopSpecWhatPlace:
		known = s.has(oas.KindPlace, spec.Name)
	case oas.PlannedStopSpecWhatZone:
		known = len(index.byZone[spec.Name]) > 0
	case oas.PlannedStopSpecWhatEntryVM:
		_, known = facts.EntryVMs[spec.Name]
		known = known || facts.EntryVMs == nil
	}
	if !known {
		r.invalid("spec.name", "correct the name; `heatherlock status` lists what there is", "there is no %s %q", spec.What, truncate(spec.Name))
	}
}

func (s Set) hasTarget(name string) bool {
	for _, o := range s.of(oas.KindPlace) {
		if slices.ContainsFunc(o.Place.Spec.Targets, func(t oas.TargetSpec) bool { return t.Name == name }) {
			return true
		}
	}
	return false
}

// coverage lists every target with the stops that cover it.
func (s Set) coverage(stops []oas.Object) []stoppedTarget {
	var targets []stoppedTarget
	for _, o := range s.of(oas.KindPlace) {
		place := string(o.Place.Metadata.Name)
		for _, target := range o.Place.Spec.Targets {
			t := stoppedTarget{place: place, service: target.Service}
			for _, stop := range stops {
				t.cover(stop.PlannedStop, target.Name, o.Place.Spec.Zone)
			}
			targets = append(targets, t)
		}
	}
	return targets
}

func (t *stoppedTarget) cover(stop oas.PlannedStop, target, zone string) {
	name := string(stop.Metadata.Name)
	switch {
	case stop.Spec.What == oas.PlannedStopSpecWhatTarget && stop.Spec.Name == target:
		t.byTarget = append(t.byTarget, name)
	case stop.Spec.What == oas.PlannedStopSpecWhatPlace && stop.Spec.Name == t.place:
		t.byArea = append(t.byArea, name)
	case stop.Spec.What == oas.PlannedStopSpecWhatZone && stop.Spec.Name == zone:
		t.byArea = append(t.byArea, name)
	}
}

func (s Set) checkServicesCovered(problems *Problems, targets []stoppedTarget) {
	for _, o := range s.of(oas.KindService) {
		service := string(o.Service.Metadata.Name)
		var names []string
		left, found := 0, 0
		for _, t := range targets {
			if t.service != service {
				continue
			}
			found++
			if !t.covered() {
				left++
			}
			names = append(names, slices.Concat(t.byTarget, t.byArea)...)
		}
		if found > 0 && left == 0 {
			s.reportStops(problems, names, "planned stops %s leave Service/"+service+" without a target anywhere")
		}
	}
}

// checkPlacesCovered finds places where the stops of single targets together cover every target of
// a service. It ignores stops of whole places and zones, whose purpose is to empty the place.
func (s Set) checkPlacesCovered(problems *Problems, targets []stoppedTarget) {
	type pool struct{ place, service string }
	left, stops := map[pool]int{}, map[pool][]string{}
	var order []pool
	for _, t := range targets {
		key := pool{t.place, t.service}
		if _, seen := left[key]; !seen {
			order = append(order, key)
		}
		left[key] += 0
		if len(t.byTarget) == 0 {
			left[key]++
		}
		stops[key] = append(stops[key], t.byTarget...)
	}
	for _, key := range order {
		if left[key] == 0 {
			s.reportStops(problems, stops[key], "planned stops %s leave Place/"+key.place+" without a target of Service/"+key.service)
		}
	}
}

// checkEntryVMs finds zones in which planned stops cover every entry VM.
func (s Set) checkEntryVMs(problems *Problems, stops []oas.Object, facts Facts) {
	left, names := map[string]int{}, map[string][]string{}
	for vm, zone := range facts.EntryVMs {
		left[zone] += 0
		covering := stopsOf(stops, oas.PlannedStopSpecWhatEntryVM, vm)
		names[zone] = append(names[zone], covering...)
		if len(covering) == 0 {
			left[zone]++
		}
	}
	for zone, n := range left {
		if n == 0 {
			s.reportStops(problems, names[zone], "planned stops %s leave zone "+zone+" without an entry VM")
		}
	}
}

func stopsOf(stops []oas.Object, what oas.PlannedStopSpecWhat, name string) []string {
	var names []string
	for _, o := range stops {
		if o.PlannedStop.Spec.What == what && o.PlannedStop.Spec.Name == name {
			names = append(names, string(o.PlannedStop.Metadata.Name))
		}
	}
	return names
}

// checkReceivers finds shifts for which planned stops cover every receiving place.
func (s Set) checkReceivers(problems *Problems, stops []oas.Object, index placeIndex) {
	for _, o := range s.of(oas.KindShift) {
		to, _ := index.resolve(o.Shift.Spec.To)
		if len(to) == 0 || o.Shift.Spec.Percent == 0 {
			continue
		}
		var names []string
		left := 0
		for _, place := range to {
			covering := append(stopsOf(stops, oas.PlannedStopSpecWhatPlace, place), stopsOf(stops, oas.PlannedStopSpecWhatZone, index.places[place].Zone)...)
			names = append(names, covering...)
			if len(covering) == 0 {
				left++
			}
		}
		if left == 0 {
			s.reportStops(problems, names, "planned stops %s cover every place that Shift/"+string(o.Shift.Metadata.Name)+" moves callers to")
		}
	}
}

// reportStops reports the same problem for each of the stops that together cause it. The %s in
// format stands for their names.
func (s Set) reportStops(problems *Problems, names []string, format string) {
	slices.Sort(names)
	names = slices.Compact(names)
	message := strings.Replace(format, "%s", strings.Join(names, ", "), 1)
	for _, name := range names {
		report{Ref{oas.KindPlannedStop, name}, problems}.breaksPromise("spec.name", "add targets elsewhere first, stop one after the other, or override with a reason", "%s", message)
	}
}
