package check

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/api/oas"
)

// Facts is what is known beside the objects. The zero value knows nothing, and
// rules that need a fact that is not known are passed over.
type Facts struct {
	Now time.Time
	// EntryVMs maps each entry VM to its zone; nil when not known.
	EntryVMs map[string]string
	// PermitsInUse maps a cap to the permits in use now.
	PermitsInUse map[string]int
	// MovedPercent maps a shift to the percent that it has moved.
	MovedPercent map[string]int
}

// Set is the set of all objects. The zero value is empty; With and Without
// return changed copies.
type Set struct {
	objects map[Ref]oas.Object
}

// NewSet returns a set of the objects; of two with one name the last stays.
func NewSet(objects ...oas.Object) Set {
	s := Set{objects: make(map[Ref]oas.Object, len(objects))}
	for _, o := range objects {
		s.objects[RefOf(o)] = o
	}
	return s
}

// With returns the set with o added or replaced.
func (s Set) With(o oas.Object) Set {
	next := make(map[Ref]oas.Object, len(s.objects)+1)
	maps.Copy(next, s.objects)
	next[RefOf(o)] = o
	return Set{next}
}

// Without returns the set without an object.
func (s Set) Without(ref Ref) Set {
	next := maps.Clone(s.objects)
	delete(next, ref)
	return Set{next}
}

// Get returns an object.
func (s Set) Get(ref Ref) (oas.Object, bool) {
	o, ok := s.objects[ref]
	return o, ok
}

// Refs returns the names of the objects in the order in which they are applied.
func (s Set) Refs() []Ref {
	refs := slices.Collect(maps.Keys(s.objects))
	slices.SortFunc(refs, Order)
	return refs
}

// Order compares two objects by the order in which they are applied.
func Order(a, b Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// of returns the objects of a kind by name, sorted.
func (s Set) of(kind oas.Kind) []oas.Object {
	var found []oas.Object
	for ref, o := range s.objects {
		if ref.Kind == kind {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b oas.Object) int { return cmp.Compare(RefOf(a).Name, RefOf(b).Name) })
	return found
}

func (s Set) has(kind oas.Kind, name string) bool {
	_, ok := s.objects[Ref{kind, name}]
	return ok
}

// MetadataOf returns the metadata of an object, to be read or changed in place.
func MetadataOf(o *oas.Object) *oas.Metadata {
	switch o.Type {
	case oas.ServiceObject:
		return &o.Service.Metadata
	case oas.PlaceObject:
		return &o.Place.Metadata
	case oas.ClientBlocksObject:
		return &o.ClientBlocks.Metadata
	case oas.ShiftObject:
		return &o.Shift.Metadata
	case oas.CapObject:
		return &o.Cap.Metadata
	case oas.PlannedStopObject:
		return &o.PlannedStop.Metadata
	}
	return &oas.Metadata{}
}

// StatusOf returns the status of an object, to be read or changed in place.
func StatusOf(o *oas.Object) *oas.OptObjectStatus {
	switch o.Type {
	case oas.ServiceObject:
		return &o.Service.Status
	case oas.PlaceObject:
		return &o.Place.Status
	case oas.ClientBlocksObject:
		return &o.ClientBlocks.Status
	case oas.ShiftObject:
		return &o.Shift.Status
	case oas.CapObject:
		return &o.Cap.Status
	case oas.PlannedStopObject:
		return &o.PlannedStop.Status
	}
	return &oas.OptObjectStatus{}
}

// RefOf names an object.
func RefOf(o oas.Object) Ref {
	return Ref{Kind: oas.Kind(o.Type), Name: string(MetadataOf(&o).Name)}
}

// Put returns the problems of storing o: every problem of o itself, and the
// problems that others would have which they do not have now.
func (s Set) Put(facts Facts, o oas.Object) Problems {
	after := s.With(o)
	problems := after.rules(facts)
	old := s.rules(facts)
	own := RefOf(o)
	return merge(Alone(o), change(own, old, problems), lostTargets(own, s, after))
}

// Delete returns the problems that others would have without the object.
func (s Set) Delete(facts Facts, ref Ref) Problems {
	after := s.Without(ref)
	return merge(change(ref, s.rules(facts), after.rules(facts)), lostTargets(ref, s, after), lostCap(ref, s, after, facts))
}

// All returns every problem of the set, without regard to how it came about.
func (s Set) All(facts Facts) Problems {
	var lists []Problems
	for _, ref := range s.Refs() {
		lists = append(lists, Alone(s.objects[ref]))
	}
	return merge(append(lists, s.rules(facts))...)
}

// change returns what is new in after, and all that concerns the object itself.
// A message that several objects share is reported once, on the object changed
// if it is among them.
func change(own Ref, before, after Problems) Problems {
	known := make(map[Problem]bool, len(before))
	for _, p := range before {
		known[p] = true
	}
	said := map[string]bool{}
	var kept Problems
	for _, p := range after {
		if p.Object == own {
			kept = append(kept, p)
			said[p.Message] = true
		}
	}
	for _, p := range after {
		if known[p] || said[p.Message] {
			continue
		}
		said[p.Message] = true
		kept = append(kept, p)
	}
	return kept
}

func merge(lists ...Problems) Problems {
	var all Problems
	seen := map[Problem]bool{}
	for _, p := range slices.Concat(lists...) {
		if seen[p] || len(all) >= MaxProblems {
			continue
		}
		seen[p] = true
		all = append(all, p)
	}
	return all
}
