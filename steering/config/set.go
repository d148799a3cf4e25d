package config

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxTombstones bounds the deletions a set remembers for deltas. A node that
// is further behind than the oldest remembered deletion gets the whole set.
const maxTombstones = 1024

// ID names a stored object.
type ID struct {
	Kind string
	Name string
}

// Object is one stored object, or its deletion.
type Object struct {
	ID
	// Version is the platform revision of the object's last change, or of its
	// deletion.
	Version int64
	Value   []byte // the object's JSON; must not be changed
	Deleted bool
}

// hash covers everything that two nodes must agree on.
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

// Set is one whole configuration. It is immutable; the zero value is the
// empty set at version 0.
type Set struct {
	version int64
	// sum is the sum of the objects' hashes: it does not depend on their
	// sequence, and a delta updates it without hashing the rest again.
	sum     uint64
	objects map[ID]Object
	// tombstones are the deletions after base, needed to answer with a delta.
	tombstones map[ID]int64
	base       int64
}

// Version returns the platform revision that the set was complete at.
func (s *Set) Version() int64 { return s.version }

// Sum returns the checksum of the whole set.
func (s *Set) Sum() uint64 { return s.sum }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns one object.
func (s *Set) Get(id ID) (Object, bool) {
	o, ok := s.objects[id]
	return o, ok
}

// Objects calls yield with every object, in no particular sequence.
func (s *Set) Objects(yield func(Object) bool) {
	for _, o := range s.objects {
		if !yield(o) {
			return
		}
	}
}

// Delta is what a node at an older version needs.
type Delta struct {
	Whole   bool // Objects are the whole set
	Version int64
	Sum     uint64
	Objects []Object // by version
}

// Since returns what a node at version have needs to reach this set.
func (s *Set) Since(have int64) Delta {
	d := Delta{Version: s.version, Sum: s.sum}
	if have >= s.version {
		return d
	}
	d.Whole = have <= 0 || have < s.base
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
	slices.SortFunc(d.Objects, byVersion)
	return d
}

func byVersion(a, b Object) int {
	switch {
	case a.Version != b.Version:
		return int(min(1, max(-1, a.Version-b.Version)))
	case a.Kind != b.Kind:
		return cmpString(a.Kind, b.Kind)
	}
	return cmpString(a.Name, b.Name)
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// with returns the set after changes, at the given version. Changes that the
// set already holds, in this or a newer version, are skipped.
func (s *Set) with(changes []Object, version int64) *Set {
	next := &Set{version: version, sum: s.sum, base: s.base, objects: maps.Clone(s.objects), tombstones: maps.Clone(s.tombstones)}
	if next.objects == nil {
		next.objects = map[ID]Object{}
	}
	if next.tombstones == nil {
		next.tombstones = map[ID]int64{}
	}
	for _, change := range changes {
		if change.Version > s.version {
			next.put(change)
		}
	}
	next.trim()
	return next
}

// put makes one change; the set must not be published yet.
func (s *Set) put(change Object) {
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

// trim forgets the oldest deletions over the bound and raises base to match.
func (s *Set) trim() {
	over := len(s.tombstones) - maxTombstones
	if over <= 0 {
		return
	}
	versions := slices.Sorted(maps.Values(s.tombstones))
	s.base = max(s.base, versions[over-1])
	maps.DeleteFunc(s.tombstones, func(_ ID, version int64) bool { return version <= s.base })
}

// replaced returns the set that holds exactly objects, at the given version.
// What vanished counts as deleted at that version.
func (s *Set) replaced(objects []Object, version int64) *Set {
	next := &Set{version: version, base: s.base, objects: make(map[ID]Object, len(objects)), tombstones: maps.Clone(s.tombstones)}
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
		next.base = version
	}
	next.trim()
	return next
}
