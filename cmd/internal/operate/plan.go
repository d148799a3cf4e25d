package operate

import (
	"slices"

	"heatherlock/api/check"
	"heatherlock/api/oas"
)

// step is one write of an apply.
type step struct {
	ref    check.Ref
	source string
	object oas.Object // with the version to replace; 0 to create
	// before is the stored object, if there is one.
	before  oas.Object
	existed bool
	// atRest marks the first write of a new shift that a cap of the same apply
	// bounds: it moves nobody until its cap is stored.
	atRest bool
	// after lists objects whose writes must have succeeded first.
	after []check.Ref
}

// plan orders the writes so that each is allowed on top of those before it.
//
// What goes wrong otherwise: a new shift would run without its cap until the
// cap is stored a moment later. A capped new shift is therefore created at 0
// percent, then its cap, then the shift is raised. An operator would notice by
// a peak above the cap right after the apply.
//
// stuck lists, per object that cannot be reached in any order, its problems.
func plan(stored check.Set, items []step, override bool) (steps []step, stuck []stuckStep) {
	set := stored
	pending := split(items)
	for len(pending) > 0 {
		var left []step
		stuck = nil
		for _, s := range pending {
			problems := set.Put(check.Facts{}, s.object)
			blocked := problems.Class() == check.Invalid || (problems.Class() == check.BreaksPromise && !override)
			if blocked || waits(s, left) {
				left = append(left, s)
				stuck = append(stuck, stuckStep{s, problems})
				continue
			}
			set = set.With(s.object)
			steps = append(steps, s)
		}
		if len(left) == len(pending) {
			return steps, stuck
		}
		pending = left
	}
	return steps, nil
}

// stuckStep is a write that the rules refuse in any order.
type stuckStep struct {
	step     step
	problems check.Problems
}

// split puts the writes into their natural order and divides new capped shifts.
func split(items []step) []step {
	capped := map[string][]check.Ref{}
	for _, s := range items {
		if s.object.Type == oas.CapObject {
			name := s.object.Cap.Spec.Shift
			capped[name] = append(capped[name], s.ref)
		}
	}
	var early, caps, rest []step
	for _, s := range items {
		switch {
		case s.object.Type == oas.ShiftObject && len(capped[s.ref.Name]) > 0:
			s.after = capped[s.ref.Name]
			rest = append(rest, s)
			if !s.existed && s.object.Shift.Spec.Percent > 0 {
				early = append(early, resting(s))
			}
		case s.object.Type == oas.CapObject:
			caps = append(caps, s)
		case s.object.Type == oas.PlannedStopObject, s.object.Type == oas.ShiftObject:
			rest = append(rest, s)
		default:
			early = append(early, s)
		}
	}
	byOrder := func(a, b step) int { return check.Order(a.ref, b.ref) }
	slices.SortStableFunc(early, byOrder)
	slices.SortStableFunc(caps, byOrder)
	slices.SortStableFunc(rest, byOrder)
	return slices.Concat(early, caps, rest)
}

// resting returns the write that declares a shift without moving anybody.
func resting(s step) step {
	s.object.Shift.Spec.Percent = 0
	s.atRest, s.after = true, nil
	return s
}

// waits tells whether a write that must come first is still pending.
func waits(s step, pending []step) bool {
	return slices.ContainsFunc(pending, func(p step) bool {
		return slices.Contains(s.after, p.ref) || (p.ref == s.ref && p.atRest)
	})
}
