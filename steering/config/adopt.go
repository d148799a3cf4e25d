package config

// Verdict is the result of applying an offer or a platform reading to a set. Its
// value is also the name of a counter.
type Verdict string

const (
	// Adopted means the new set is in force.
	Adopted Verdict = "adopted"
	// NotNewer means that the input is not newer than the set, as with a stale
	// reading or a delayed or repeated message. The set stays as it is.
	NotNewer Verdict = "not_newer"
	// ChecksumMismatch means that the resulting set does not have the checksum of
	// the offer. The set stays as it is, and the caller should fetch a full set.
	ChecksumMismatch Verdict = "sum_mismatch"
	// Repaired means that a platform reading at the version of the set differed
	// from the set. The set was wrong, and the reading is in force.
	Repaired Verdict = "repaired"
)

// Offer is the response of a peer to a fetch: a full configuration, or a delta
// to the version that the fetch named.
type Offer struct {
	Whole   bool // Objects is the full configuration
	Version int64
	Sum     uint64 // checksum of the full configuration at Version
	Objects []Object
}

// ApplyOffer applies a peer's offer. The checksum of the result must equal that of
// the offer: a delta that was computed for another version would otherwise leave
// a node that reports the current version and silently lacks an object.
func (s *Set) ApplyOffer(o Offer) (*Set, Verdict) {
	if o.Version <= s.version {
		return s, NotNewer
	}
	var next *Set
	if o.Whole {
		next = s.withObjects(o.Objects, o.Version)
	} else {
		next = s.withChanges(o.Objects, o.Version)
	}
	if next.sum != o.Sum {
		return s, ChecksumMismatch
	}
	return next, Adopted
}

// ApplyList applies the result of a list call to the platform at a revision. A
// result that is older than the set comes from a lagging replica or was delayed in
// the network, and is ignored. So is revision 0.
func (s *Set) ApplyList(objects []Object, revision int64) (*Set, Verdict) {
	if revision < s.version || revision == 0 {
		return s, NotNewer
	}
	next := s.withObjects(objects, revision)
	if revision == s.version {
		if next.sum == s.sum {
			return s, NotNewer
		}
		return next, Repaired
	}
	return next, Adopted
}

// ApplyWatch applies the platform's changes after a revision at which the set was
// complete. The new version is that of the newest change, not the platform
// revision of the response: writes to other kinds of objects increase the revision
// all the time, and a version that followed it would be propagated to all nodes
// without any change.
func (s *Set) ApplyWatch(changes []Object) (*Set, Verdict) {
	newest := s.version
	for _, change := range changes {
		newest = max(newest, change.Version)
	}
	if newest == s.version {
		return s, NotNewer
	}
	return s.withChanges(changes, newest), Adopted
}
