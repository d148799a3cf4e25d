package check

import (
	"slices"
	"strings"

	"heatherlock/api/oas"
)

// fullPercent is the percentage that stands for all callers of a place.
const fullPercent = 100

// placeIndex resolves the names of places, zones and regions to which shifts and planned stops
// refer.
type placeIndex struct {
	places   map[string]oas.PlaceSpec
	byZone   map[string][]string
	byRegion map[string][]string
	regionOf map[string]string // region of each zone, according to the zone's first place
}

func indexPlaces(s Set) placeIndex {
	index := placeIndex{
		places:   map[string]oas.PlaceSpec{},
		byZone:   map[string][]string{},
		byRegion: map[string][]string{},
		regionOf: map[string]string{},
	}
	for _, o := range s.of(oas.KindPlace) {
		name, spec := string(o.Place.Metadata.Name), o.Place.Spec
		index.places[name] = spec
		index.byZone[spec.Zone] = append(index.byZone[spec.Zone], name)
		index.byRegion[spec.Region] = append(index.byRegion[spec.Region], name)
		if _, known := index.regionOf[spec.Zone]; !known {
			index.regionOf[spec.Zone] = spec.Region
		}
	}
	return index
}

// resolve returns the places to which a name refers, or none if the name is unknown. ok is false if
// the name is ambiguous: it refers to different places as a place, a zone or a region.
func (x placeIndex) resolve(name string) (places []string, ok bool) {
	var candidates [][]string
	if _, found := x.places[name]; found {
		candidates = append(candidates, []string{name})
	}
	if found := x.byZone[name]; len(found) > 0 {
		candidates = append(candidates, found)
	}
	if found := x.byRegion[name]; len(found) > 0 {
		candidates = append(candidates, found)
	}
	for _, other := range candidates {
		if !slices.Equal(other, candidates[0]) {
			return nil, false
		}
	}
	if len(candidates) == 0 {
		return nil, true
	}
	return candidates[0], true
}

// serves reports whether one of the places has a target of the service. An empty service matches
// every target.
func (x placeIndex) serves(places []string, service string) bool {
	for _, place := range places {
		for _, target := range x.places[place].Targets {
			if service == "" || target.Service == service {
				return true
			}
		}
	}
	return false
}

// resolvedShift is a shift whose ends are resolved to places.
type resolvedShift struct {
	object   oas.Object
	name     string
	service  string // empty means every service
	from, to []string
	percent  int
}

// overlaps reports whether there is a service that both shifts move.
func (m resolvedShift) overlaps(other resolvedShift) bool {
	return m.service == "" || other.service == "" || m.service == other.service
}

// checkShifts finds shifts that refer to unknown or ambiguous names, that have no target at their
// receiving end, that together move more callers than there are, or that form a cycle.
func (s Set) checkShifts(problems *Problems, index placeIndex) {
	var shifts []resolvedShift
	for _, o := range s.of(oas.KindShift) {
		if m, ok := s.checkShift(s.reportOn(problems, o), index, o); ok {
			shifts = append(shifts, m)
		}
	}
	for i, m := range shifts {
		s.checkPercentSum(problems, m, shifts[:i])
		if path := cycle(m, shifts); path != nil {
			s.reportOn(problems, m.object).invalid("spec.to", "break the circle: delete one of the shifts or set its percent to 0", "shifts go round in a circle: %s", strings.Join(path, ", "))
		}
	}
}

func (s Set) checkShift(r report, index placeIndex, o oas.Object) (resolvedShift, bool) {
	spec := o.Shift.Spec
	m := resolvedShift{object: o, name: string(o.Shift.Metadata.Name), service: spec.Service.Or(""), percent: spec.Percent}
	before := len(*r.problems)
	if m.service != "" && !s.has(oas.KindService, m.service) {
		r.invalid("spec.service", "apply the Service, or correct the name", "there is no Service/%s", truncate(m.service))
	}
	m.from = resolveEnd(r, index, "spec.from", spec.From)
	m.to = resolveEnd(r, index, "spec.to", spec.To)
	if len(*r.problems) > before {
		return m, false
	}
	for _, place := range m.to {
		if slices.Contains(m.from, place) {
			r.invalid("spec.to", "name places that do not overlap", "Place/%s is in both spec.from and spec.to", place)
			return m, false
		}
	}
	if m.percent > 0 && !index.serves(m.to, m.service) {
		r.invalid("spec.to", "add targets to the receiving places first", "%s has no target to take the callers", truncate(spec.To))
	}
	return m, true
}

func resolveEnd(r report, index placeIndex, field, name string) []string {
	places, ok := index.resolve(name)
	if !ok {
		r.invalid(field, "rename one of them, or name the places one by one", "%q names different things as place, zone and region", truncate(name))
		return nil
	}
	if len(places) == 0 {
		r.invalid(field, "apply a Place in it, or correct the name", "%q is no place, zone or region", truncate(name))
	}
	return places
}

// checkPercentSum finds shifts that together move more than all callers of a place. It compares m
// with the shifts before it.
func (s Set) checkPercentSum(problems *Problems, m resolvedShift, earlier []resolvedShift) {
	for _, place := range m.from {
		sum, names := m.percent, []string{m.name}
		for _, other := range earlier {
			if other.percent > 0 && m.overlaps(other) && slices.Contains(other.from, place) {
				sum += other.percent
				names = append(names, other.name)
			}
		}
		if sum > fullPercent && m.percent > 0 {
			slices.Sort(names)
			s.reportOn(problems, m.object).invalid("spec.percent", "lower the percent of one of them", "shifts %s together move %d%% of the callers of Place/%s", strings.Join(names, ", "), sum, place)
			return
		}
	}
}

// cycle returns the sorted names of shifts that lead from m back to the places from which m moves
// callers, or nil if there are none. Shifts with 0 percent move no callers and are ignored.
func cycle(m resolvedShift, shifts []resolvedShift) []string {
	if m.percent == 0 {
		return nil
	}
	visited := map[string]bool{m.name: true}
	var walk func(at resolvedShift, path []string) []string
	walk = func(at resolvedShift, path []string) []string {
		for _, next := range shifts {
			if next.percent == 0 || !next.overlaps(at) || !next.overlaps(m) || !intersect(at.to, next.from) {
				continue
			}
			if next.name == m.name {
				return path
			}
			if visited[next.name] {
				continue
			}
			visited[next.name] = true
			if found := walk(next, append(slices.Clone(path), next.name)); found != nil {
				return found
			}
		}
		return nil
	}
	path := walk(m, []string{m.name})
	slices.Sort(path)
	return path
}

func intersect(a, b []string) bool {
	return slices.ContainsFunc(a, func(x string) bool { return slices.Contains(b, x) })
}
