package config

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxTombstones is the maximum number of deletions that a set keeps for deltas. A
// node whose version is older than the oldest kept deletion gets the full set.
const maxTombstones = 1024

// ID identifies a stored object.
type ID struct {
	Kind string
	Name string
}

// Object is a stored object, or the deletion of one.
type Object struct {
	ID
	// Version is the platform revision of the object's last change, or of its
	// deletion.
	Version int64
	Value   []byte // the object's JSON; must not be changed
	Deleted bool
}

// hash returns a hash of all fields that must be equal on two nodes with the same
// configuration.
func (o Object) hash() uint64 {
	d := xxhash.New()
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], uint64(o.Version))
	_, _ = d.WriteString(o.Kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(o.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(version[:])
	_, _ = d.Write(o.Value)
	return d.Sum64()
}

// Set is a full configuration. It is immutable and safe for concurrent use; the
// zero value is the empty set at version 0.
type Set struct {
	version int64
	// sum is the sum of the hashes of the objects. It does not depend on their
	// order, and a delta updates it without hashing unchanged objects again.
	sum     uint64
	objects map[ID]Object
	// tombstones holds the versions of the deletions after tombstoneBase. Deltas
	// for versions before tombstoneBase would lack deletions.
	tombstones    map[ID]int64
	tombstoneBase int64
}

// Version returns the platform revision at which the set was complete.
func (s *Set) Version() int64 { return s.version }

// Sum returns the checksum of the set. Sets with the same objects have the same
// checksum, whatever their versions are.
func (s *Set) Sum() uint64 { return s.sum }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns the object with the given ID and whether the set has one.
func (s *Set) Get(id ID) (Object, bool) {
	o, ok := s.objects[id]
	return o, ok
}

// Objects calls yield with every object, in no particular order, until yield
// returns false.
func (s *Set) Objects(yield func(Object) bool) {
	for _, o := range s.objects {
		if !yield(o) {
			return
		}
	}
}

// Delta holds the objects that a node at an older version needs to reach Version.
type Delta struct {
	Whole   bool // Objects is the full set
	Version int64
	Sum     uint64   // checksum of the full set at Version
	Objects []Object // sorted by version
}

// Since returns what a node at version have needs to reach this set. That is nothing
// if the node is not behind, and the full set if have is 0 or if not all deletions
// after have are kept.
func (s *Set) Since(have int64) Delta {
	d := Delta{Version: s.version, Sum: s.sum}
	if have >= s.version {
		return d
	}
	d.Whole = have <= 0 || have < s.tombstoneBase
	for _, o := range s.objects {
		if d.Whole || o.Version > have {
			d.Objects = append(d.Objects, o)
		}
	}
	if !d.Whole {
		for id, version := range s.tombstones {
			if version > have {
				d.Objects = append(d.Objects, Object{ID: id, Version: version, Deleted: true})
			}
		}
	}
	slices.SortFunc(d.Objects, compareByVersion)
	return d
}

func compareByVersion(a, b Object) int {
	switch {
	case a.Version != b.Version:
		return int(min(1, max(-1, a.Version-b.Version)))
	case a.Kind != b.Kind:
		return compareStrings(a.Kind, b.Kind)
	}
	return compareStrings(a.Name, b.Name)
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// withChanges returns the set with the changes applied, at the given version. Changes
// that are not newer than the set are skipped, because it already contains them.
func (s *Set) withChanges(changes []Object, version int64) *Set {
	next := &Set{version: version, sum: s.sum, tombstoneBase: s.tombstoneBase, objects: maps.Clone(s.objects), tombstones: maps.Clone(s.tombstones)}
	if next.objects == nil {
		next.objects = map[ID]Object{}
	}
	if next.tombstones == nil {
		next.tombstones = map[ID]int64{}
	}
	for _, change := range changes {
		if change.Version > s.version {
			next.applyChange(change)
		}
	}
	next.trimTombstones()
	return next
}

// applyChange applies one change in place, unless the set already has a newer
// version of the object. It must only be called before the set is shared.
func (s *Set) applyChange(change Object) {
	old, had := s.objects[change.ID]
	if had && old.Version > change.Version || s.tombstones[change.ID] > change.Version {
		return
	}
	if had {
		s.sum -= old.hash()
		delete(s.objects, change.ID)
	}
	if change.Deleted {
		s.tombstones[change.ID] = change.Version
		return
	}
	delete(s.tombstones, change.ID)
	s.objects[change.ID] = change
	s.sum += change.hash()
}

// trimTombstones removes the oldest deletions beyond maxTombstones and raises
// tombstoneBase to the newest one removed.
func (s *Set) trimTombstones() {
	over := len(s.tombstones) - maxTombstones
	if over <= 0 {
		return
	}
	versions := slices.Sorted(maps.Values(s.tombstones))
	s.tombstoneBase = max(s.tombstoneBase, versions[over-1])
	maps.DeleteFunc(s.tombstones, func(_ ID, version int64) bool { return version <= s.tombstoneBase })
}

// withObjects returns the set that holds exactly objects, at the given version. An
// object of s that is not among them counts as deleted at that version.
func (s *Set) withObjects(objects []Object, version int64) *Set {
	next := &Set{version: version, tombstoneBase: s.tombstoneBase, objects: make(map[ID]Object, len(objects)), tombstones: maps.Clone(s.tombstones)}
	if next.tombstones == nil {
		next.tombstones = map[ID]int64{}
	}
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		next.objects[o.ID] = o
		next.sum += o.hash()
		delete(next.tombstones, o.ID)
	}
	for id := range s.objects {
		if _, kept := next.objects[id]; !kept {
			next.tombstones[id] = version
		}
	}
	if s.version == 0 {
		next.tombstoneBase = version
	}
	next.trimTombstones()
	return next
}
