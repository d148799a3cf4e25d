package config

// Verdict says what became of something offered to a set.
type Verdict string

// Verdicts. Each is also the name of a counter.
const (
	// Adopted means the new set is in force.
	Adopted Verdict = "adopted"
	// NotNewer means that what was offered is no newer than the set: a stale
	// reading, a late or repeated message. Nothing changes.
	NotNewer Verdict = "not_newer"
	// SumMismatch means that a delta or a whole did not add up to the checksum
	// that came with it. Nothing changes; fetch the whole set.
	SumMismatch Verdict = "sum_mismatch"
	// Repaired means that the platform's own reading at the set's version
	// differed from the set, which was wrong; the reading is in force.
	Repaired Verdict = "repaired"
)

// Offer is what a peer answered to a fetch.
type Offer struct {
	Whole   bool // Objects are the whole configuration
	Version int64
	Sum     uint64 // checksum of the whole configuration at Version
	Objects []Object
}

// Adopt takes a peer's offer. The checksum of the result must be the one that
// came with the offer: a delta that was computed for another base would
// otherwise leave a node that looks current and silently lacks an object.
func (s *Set) Adopt(o Offer) (*Set, Verdict) {
	if o.Version <= s.version {
		return s, NotNewer
	}
	var next *Set
	if o.Whole {
		next = s.replaced(o.Objects, o.Version)
	} else {
		next = s.with(o.Objects, o.Version)
	}
	if next.sum != o.Sum {
		return s, SumMismatch
	}
	return next, Adopted
}

// Listed takes a whole reading of the platform at a revision. A reading that
// is behind the set comes from a replica that lags or was delayed on the way.
func (s *Set) Listed(objects []Object, revision int64) (*Set, Verdict) {
	if revision < s.version || revision == 0 {
		return s, NotNewer
	}
	next := s.replaced(objects, revision)
	if revision == s.version {
		if next.sum == s.sum {
			return s, NotNewer
		}
		return next, Repaired
	}
	return next, Adopted
}

// Watched takes the platform's changes after a revision at which the set was
// complete. The version grows to the newest change only, not to the revision
// of the reading: other kinds move the revision all the time, and a version
// that followed it would spread without a change.
func (s *Set) Watched(changes []Object) (*Set, Verdict) {
	newest := s.version
	for _, change := range changes {
		newest = max(newest, change.Version)
	}
	if newest == s.version {
		return s, NotNewer
	}
	return s.with(changes, newest), Adopted
}
