package departure_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/departure"
)

// Guards against a departure that is lost because of the order in which words of a target arrive.
func TestLatestDepartureIsKeptInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []departure.Departure
		for range rapid.IntRange(1, 8).Draw(t, "departures") {
			all = append(all, departure.Departure{Target: "a", Generation: steering.Generation(rapid.IntRange(0, 2).Draw(t, "generation")), Beat: rapid.Int64Range(0, 3).Draw(t, "beat"), Gone: rapid.Bool().Draw(t, "gone")})
		}
		a, b := departure.NewLedger(), departure.NewLedger()
		for _, d := range all {
			a.Note(d)
		}
		for _, d := range rapid.Permutation(all).Draw(t, "order") {
			b.Note(d)
		}
		known, _ := a.Of("a")
		other, _ := b.Of("a")
		assert.Equal(t, known, other)
		for _, d := range all {
			assert.Assert(t, a.Holds("a", d.Word()))
		}
		assert.Assert(t, !a.Holds("a", departure.Word{Generation: known.Generation, Beat: known.Beat + 1}))
	})
}
