package check

import (
	"slices"
	"strings"

	"heatherlock/api/oas"
)

// fullPercent is the whole of a place's callers.
const fullPercent = 100

// placeIndex resolves the names that a shift or stop may use.
type placeIndex struct {
	places   map[string]oas.PlaceSpec
	byZone   map[string][]string
	byRegion map[string][]string
	regionOf map[string]string // zone to region, as the first place says
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

// resolve returns the places that a name stands for. ok is false when the name
// stands for different places as a place, a zone and a region.
func (x placeIndex) resolve(name string) (places []string, ok bool) {
	var readings [][]string
	if _, found := x.places[name]; found {
		readings = append(readings, []string{name})
	}
	if found := x.byZone[name]; len(found) > 0 {
		readings = append(readings, found)
	}
	if found := x.byRegion[name]; len(found) > 0 {
		readings = append(readings, found)
	}
	for _, other := range readings {
		if !slices.Equal(other, readings[0]) {
			return nil, false
		}
	}
	if len(readings) == 0 {
		return nil, true
	}
	return readings[0], true
}

// serves reports whether one of the places has a target of the service; the
// empty service asks for any target.
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

// move is a shift with its names resolved.
type move struct {
	object   oas.Object
	name     string
	service  string // empty means every service
	from, to []string
	percent  int
}

// overlaps reports whether two shifts move a service in common.
func (m move) overlaps(other move) bool {
	return m.service == "" || other.service == "" || m.service == other.service
}

// checkShifts finds shifts that cannot be resolved, lead nowhere, contradict
// each other or go round in a circle.
func (s Set) checkShifts(problems *Problems, index placeIndex) {
	var moves []move
	for _, o := range s.of(oas.KindShift) {
		if m, ok := s.checkShift(s.reportOn(problems, o), index, o); ok {
			moves = append(moves, m)
		}
	}
	for i, m := range moves {
		s.checkShare(problems, m, moves[:i])
		if path := cycle(m, moves); path != nil {
			s.reportOn(problems, m.object).invalid("spec.to", "break the circle: delete one of the shifts or set its percent to 0", "shifts go round in a circle: %s", strings.Join(path, ", "))
		}
	}
}

func (s Set) checkShift(r report, index placeIndex, o oas.Object) (move, bool) {
	spec := o.Shift.Spec
	m := move{object: o, name: string(o.Shift.Metadata.Name), service: spec.Service.Or(""), percent: spec.Percent}
	before := len(*r.problems)
	if m.service != "" && !s.has(oas.KindService, m.service) {
		r.invalid("spec.service", "apply the Service, or correct the name", "there is no Service/%s", short(m.service))
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
		r.invalid("spec.to", "add targets to the receiving places first", "%s has no target to take the callers", short(spec.To))
	}
	return m, true
}

func resolveEnd(r report, index placeIndex, field, name string) []string {
	places, ok := index.resolve(name)
	if !ok {
		r.invalid(field, "rename one of them, or name the places one by one", "%q names different things as place, zone and region", short(name))
		return nil
	}
	if len(places) == 0 {
		r.invalid(field, "apply a Place in it, or correct the name", "%q is no place, zone or region", short(name))
	}
	return places
}

// checkShare finds shifts that together move more callers of a place than it has.
func (s Set) checkShare(problems *Problems, m move, earlier []move) {
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

// cycle returns the names of shifts that lead from m back to where it takes
// callers away, or nil. A shift at 0 percent moves nobody and is passed over.
func cycle(m move, moves []move) []string {
	if m.percent == 0 {
		return nil
	}
	visited := map[string]bool{m.name: true}
	var walk func(at move, path []string) []string
	walk = func(at move, path []string) []string {
		for _, next := range moves {
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
