// Package storepos orders what is known of a store by the place in its history.
//
// A store counts its changes; the count is the revision. A store that is restored from an older
// copy of itself loses its latest changes and gives their revisions out again, to other changes. A
// revision by itself is then no clock: a lower one may be newer. The epoch rises with each restore,
// and a [Position] holds both.
//
// Positions are compared with the functions of this package only. Revisions are compared nowhere
// else.
package storepos

import (
	"cmp"
	"fmt"
)

// Position is a place in the history of a store. The zero value is before all others.
type Position struct {
	// Epoch is the number of restores of the store, plus a constant; 0 if the store names none.
	Epoch uint64
	// Revision is the number of changes, plus a constant. A store's first revision is above 0.
	Revision int64
}

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns -1 if p is before o, 0 if they are equal, and 1 if p is after o.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, o.Revision)
}

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Restored reports whether the store was restored between o and p. What was known at o may then be
// missing at p, although the store had acknowledged it.
func (p Position) Restored(o Position) bool { return !o.IsZero() && p.Epoch > o.Epoch }

// String returns the position as epoch/revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch, p.Revision) }

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if a.After(b) {
		return a
	}
	return b
}
