package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Symptom: for half a minute after a start, a region with most of the targets sends more
// than half of its callers to another region, which refuses a fifth of all requests.
// Sequence: targets register one after the other; a step of lending falls where one of
// its targets is known and five of the other region's; then traffic begins. Cause: the
// shares of that step were kept as if demand had led to them.
func TestSharesBeforeTrafficFollowTheTargetsKnown(t *testing.T) {
	slots := func(centro, sur float64) map[steering.Service]map[steering.Region]float64 {
		return map[steering.Service]map[steering.Region]float64{service: {"centro": centro, "sur": sur}}
	}
	none := map[steering.Region]placement.DemandOf{"centro": {}, "sur": {}}
	lending := placement.NextLending(placement.Lending{}, none, slots(6, 30), 2, 0.15)
	assert.Assert(t, lending.Kept(service, "centro") < 0.5)
	lending = placement.NextLending(lending, none, slots(84, 60), 2, 0.15)
	assert.Equal(t, lending.Kept(service, "centro"), 1.0)
	assert.Assert(t, lending.Kept(service, "sur") < 1)

	asked := placement.DemandOf{service: {Rate: 100, RunMs: 150, Runs: 50}}
	demand := map[steering.Region]placement.DemandOf{"centro": asked, "sur": asked}
	lending = placement.NextLending(lending, demand, slots(84, 60), 2, 0.15)
	assert.Equal(t, lending.Kept(service, "centro"), 1.0, "room for all, and nothing was lent")
}
