package storepos_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/storepos"
)

func draw(t *rapid.T, name string) storepos.Position {
	return storepos.Position{Epoch: rapid.Uint64Range(0, 3).Draw(t, name+" epoch"), Revision: rapid.Int64Range(0, 4).Draw(t, name+" revision")}
}

// Guards against a state of the store that is taken for newer although the store was restored after
// it.
func TestEpochOutranksRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		if a.Epoch > b.Epoch {
			assert.Assert(t, a.After(b) && b.Before(a) && storepos.Later(a, b) == a && storepos.Later(b, a) == a)
			assert.Equal(t, a.Restored(b), !b.IsZero())
		}
		assert.Equal(t, a.Compare(b), -b.Compare(a))
		assert.Equal(t, a.Compare(b) == 0, a == b)
		if c := draw(t, "c"); !a.After(b) && !b.After(c) {
			assert.Assert(t, !a.After(c))
		}
	})
}
