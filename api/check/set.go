package check

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/api/oas"
)

// Facts holds the runtime state that some rules need in addition to the objects. In the zero value
// nothing is known. Rules that need a fact that is not known are skipped.
type Facts struct {
	Now time.Time
	// EntryVMs maps the name of each entry VM to its zone; nil if not known.
	EntryVMs map[string]string
	// PermitsInUse maps the name of a cap to the number of its permits in use.
	PermitsInUse map[string]int
	// MovedPercent maps the name of a shift to the percentage of callers that it has moved so far.
	MovedPercent map[string]int
}

// Set is an immutable set of objects. The zero value is empty. With and Without return changed
// copies.
type Set struct {
	objects map[Ref]oas.Object
}

// NewSet returns a set of the objects. If two have the same kind and name, it keeps the last one.
func NewSet(objects ...oas.Object) Set {
	s := Set{objects: make(map[Ref]oas.Object, len(objects))}
	for _, o := range objects {
		s.objects[RefOf(o)] = o
	}
	return s
}

// With returns a copy of the set to which o is added, replacing any object of the same kind and
// name.
func (s Set) With(o oas.Object) Set {
	next := make(map[Ref]oas.Object, len(s.objects)+1)
	maps.Copy(next, s.objects)
	next[RefOf(o)] = o
	return Set{next}
}

// Without returns a copy of the set without the object that ref identifies.
func (s Set) Without(ref Ref) Set {
	next := maps.Clone(s.objects)
	delete(next, ref)
	return Set{next}
}

// Get returns the object that ref identifies, and whether the set contains it.
func (s Set) Get(ref Ref) (oas.Object, bool) {
	o, ok := s.objects[ref]
	return o, ok
}

// Refs returns references to all objects in the order in which they are applied.
func (s Set) Refs() []Ref {
	refs := slices.Collect(maps.Keys(s.objects))
	slices.SortFunc(refs, Order)
	return refs
}

// Order compares two objects by the order in which they are applied. It returns a negative number
// if a comes first, a positive number if b does, and zero if they are the same object.
func Order(a, b Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// of returns the objects of a kind, sorted by name.
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

// MetadataOf returns a pointer to the metadata of an object, through which it can be changed.
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

// StatusOf returns a pointer to the status of an object, through which it can be changed.
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

// RefOf returns the reference that identifies an object.
func RefOf(o oas.Object) Ref {
	return Ref{Kind: oas.Kind(o.Type), Name: string(MetadataOf(&o).Name)}
}

// Put returns the problems of storing o: every problem of o itself, and the problems of other
// objects that the change would introduce. It does not change the set.
func (s Set) Put(facts Facts, o oas.Object) Problems {
	after := s.With(o)
	problems := after.rules(facts)
	old := s.rules(facts)
	own := RefOf(o)
	return merge(CheckObject(o), newProblems(own, old, problems), lostTargets(own, s, after))
}

// Delete returns the problems that deleting the object would introduce. It does not change the set.
func (s Set) Delete(facts Facts, ref Ref) Problems {
	after := s.Without(ref)
	return merge(newProblems(ref, s.rules(facts), after.rules(facts)), lostTargets(ref, s, after), lostCap(ref, s, after, facts))
}

// All returns every problem of the set, regardless of which change introduced it.
func (s Set) All(facts Facts) Problems {
	var lists []Problems
	for _, ref := range s.Refs() {
		lists = append(lists, CheckObject(s.objects[ref]))
	}
	return merge(append(lists, s.rules(facts))...)
}

// newProblems returns the problems in after that are not in before, and all that concern the
// changed object own. A message that several objects share is reported once, on the changed object
// if it is one of them.
func newProblems(own Ref, before, after Problems) Problems {
	known := make(map[Problem]bool, len(before))
	for _, p := range before {
		known[p] = true
	}
	reported := map[string]bool{}
	var kept Problems
	for _, p := range after {
		if p.Object == own {
			kept = append(kept, p)
			reported[p.Message] = true
		}
	}
	for _, p := range after {
		if known[p] || reported[p.Message] {
			continue
		}
		reported[p.Message] = true
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
