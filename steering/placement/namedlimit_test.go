package placement_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/placement"
)

// Guards against a limit that ends, or rises, with what a target said before it named the limit.
func TestLaterArrivalDoesNotOutrankLaterStatement(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	named := placement.NamedLimit{InForce: true, PerSecond: 2.6, AskedAt: at(1), HeardAt: at(2)}
	for name, c := range map[string]struct {
		said placement.NamedLimit
		want placement.NamedLimit
	}{
		"none, asked before":        {placement.NamedLimit{AskedAt: at(0), HeardAt: at(7)}, named},
		"none, asked meanwhile":     {placement.NamedLimit{AskedAt: at(1.5), HeardAt: at(7)}, named},
		"none, asked after":         {placement.NamedLimit{AskedAt: at(2), HeardAt: at(3)}, placement.NamedLimit{AskedAt: at(2), HeardAt: at(3)}},
		"higher, asked before":      {placement.NamedLimit{InForce: true, PerSecond: 5, AskedAt: at(0), HeardAt: at(7)}, named},
		"lower, asked before":       {placement.NamedLimit{InForce: true, PerSecond: 1, AskedAt: at(0), HeardAt: at(7)}, placement.NamedLimit{InForce: true, PerSecond: 1, AskedAt: at(0), HeardAt: at(7)}},
		"lower, heard before asked": {placement.NamedLimit{InForce: true, PerSecond: 1, AskedAt: at(0), HeardAt: at(1)}, named},
		"the same again":            {placement.NamedLimit{InForce: true, PerSecond: 2.6, AskedAt: at(3), HeardAt: at(4)}, placement.NamedLimit{InForce: true, PerSecond: 2.6, AskedAt: at(3), HeardAt: at(4)}},
		"the same, told back":       {placement.NamedLimit{InForce: true, PerSecond: 2.6, AskedAt: at(0.9), HeardAt: at(2.1), Told: true}, named},
	} {
		t.Run(name, func(t *testing.T) {
			var stated placement.StatedLimits
			stated.Add(named)
			stated.Add(c.said)
			assert.DeepEqual(t, stated.Current(), c.want)
		})
	}
}

// Guards against statements in an order of arrival for which more than the target's limit holds while it is
// in force, or for which its end is never known.
func TestNamedLimitHoldsInAnyOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, 2.6, 5}), 1, 5).Draw(t, "limits, 0 for none")
		const period = 100
		inForce := func(at int) placement.NamedLimit {
			rate := limits[min(at/period, len(limits)-1)]
			return placement.NamedLimit{InForce: rate > 0, PerSecond: rate}
		}
		moment := func(n int) time.Time { return time.Unix(1000, 0).Add(time.Duration(n) * time.Millisecond) }
		type response struct{ asked, said, heard int }
		responses := rapid.SliceOf(rapid.Custom(func(t *rapid.T) response {
			asked := rapid.IntRange(0, period*len(limits)).Draw(t, "asked")
			said := asked + rapid.IntRange(0, 2*period).Draw(t, "run")
			return response{asked, said, said + rapid.IntRange(0, 3*period).Draw(t, "late")}
		})).Draw(t, "responses")
		slices.SortStableFunc(responses, func(a, b response) int { return a.heard - b.heard })
		var stated placement.StatedLimits
		heardSince := -1 // the earliest response of the present limit that was heard while it was in force
		for _, r := range responses {
			said := inForce(r.said)
			said.AskedAt, said.HeardAt = moment(r.asked), moment(r.heard)
			stated.Add(said)
			known := stated.Current()
			now, began := inForce(r.heard), min(r.heard/period, len(limits)-1)*period
			if heardSince < began {
				heardSince = -1
			}
			if heardSince < 0 && r.said >= began {
				heardSince = r.heard
			}
			if now.InForce && heardSince >= 0 && (!known.InForce || known.PerSecond > now.PerSecond) {
				t.Fatalf("%+v holds at %d, the target names %v since %d", known, r.heard, now.PerSecond, began)
			}
		}
		last := inForce(period * 100)
		last.AskedAt, last.HeardAt = moment(period*100), moment(period*101)
		stated.Add(last)
		known := stated.Current()
		assert.Assert(t, known.InForce == last.InForce && known.PerSecond == last.PerSecond, "%+v", known)
	})
}
