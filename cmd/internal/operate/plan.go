package operate

import (
	"slices"

	"heatherlock/api/check"
	"heatherlock/api/oas"
)

// step is one write that applies an object.
type step struct {
	ref    check.Ref
	source string
	object oas.Object // its metadata has the version to replace, or 0 to create the object
	// current is the stored object. It is set only if exists is true.
	current oas.Object
	exists  bool
	// zeroPercent marks the first write of a new shift that is bounded by a cap of the same
	// apply. It creates the shift at 0 percent, so that it moves no callers until the cap is
	// stored.
	zeroPercent bool
	// dependsOn lists the objects whose writes must have succeeded first.
	dependsOn []check.Ref
}

// planWrites orders the writes so that the rules allow each one after those before it.
//
// A new shift with a cap is created at 0 percent, then its cap is created, and then the shift is
// raised to its percentage. Otherwise the shift would run without its cap until the cap is stored
// a moment later, and the requests it moves could peak above the cap right after the apply.
//
// refused lists the writes that are not allowed in any order, with their problems.
func planWrites(stored check.Set, items []step, override bool) (steps []step, refused []refusedStep) {
	set := stored
	pending := orderSteps(items)
	for len(pending) > 0 {
		var remaining []step
		refused = nil
		for _, s := range pending {
			problems := set.Put(check.Facts{}, s.object)
			blocked := problems.Class() == check.Invalid || (problems.Class() == check.BreaksPromise && !override)
			if blocked || isBlocked(s, remaining) {
				remaining = append(remaining, s)
				refused = append(refused, refusedStep{s, problems})
				continue
			}
			set = set.With(s.object)
			steps = append(steps, s)
		}
		if len(remaining) == len(pending) {
			return steps, refused
		}
		pending = remaining
	}
	return steps, nil
}

// refusedStep is a write that the rules do not allow in any order.
type refusedStep struct {
	step     step
	problems check.Problems
}

// orderSteps sorts the writes by kind, so that objects precede those that refer to them, and
// splits the write of each new shift with a cap into one at 0 percent before the cap and one
// after it.
func orderSteps(items []step) []step {
	capsOf := map[string][]check.Ref{}
	for _, s := range items {
		if s.object.Type == oas.CapObject {
			name := s.object.Cap.Spec.Shift
			capsOf[name] = append(capsOf[name], s.ref)
		}
	}
	var first, caps, last []step
	for _, s := range items {
		switch {
		case s.object.Type == oas.ShiftObject && len(capsOf[s.ref.Name]) > 0:
			s.dependsOn = capsOf[s.ref.Name]
			last = append(last, s)
			if !s.exists && s.object.Shift.Spec.Percent > 0 {
				first = append(first, atZeroPercent(s))
			}
		case s.object.Type == oas.CapObject:
			caps = append(caps, s)
		case s.object.Type == oas.PlannedStopObject, s.object.Type == oas.ShiftObject:
			last = append(last, s)
		default:
			first = append(first, s)
		}
	}
	byOrder := func(a, b step) int { return check.Order(a.ref, b.ref) }
	slices.SortStableFunc(first, byOrder)
	slices.SortStableFunc(caps, byOrder)
	slices.SortStableFunc(last, byOrder)
	return slices.Concat(first, caps, last)
}

// atZeroPercent returns the write that creates the shift of s without moving any callers.
func atZeroPercent(s step) step {
	s.object.Shift.Spec.Percent = 0
	s.zeroPercent, s.dependsOn = true, nil
	return s
}

// isBlocked reports whether a write that must precede s is still pending.
func isBlocked(s step, pending []step) bool {
	return slices.ContainsFunc(pending, func(p step) bool {
		return slices.Contains(s.dependsOn, p.ref) || (p.ref == s.ref && p.zeroPercent)
	})
}
