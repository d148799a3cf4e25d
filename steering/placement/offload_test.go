package placement_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// situation returns the input of a step with one region per entry of demand and the default limit
// on region changes.
func situation(demand map[steering.Region]placement.DemandOf, slots placement.Slots) placement.SplitInput {
	return placement.SplitInput{Demand: demand, Slots: slots, Regions: len(demand), MaxRegionShift: 0.15}
}

// demandFor returns a demand for one service that occupies the given number of slots.
func demandFor(slots float32) placement.DemandOf {
	return placement.DemandOf{service: {Rate: slots * 10, RunMs: 100, Runs: 50}}
}

// movedShare returns the share of a region's keys that differs between two divisions.
func movedShare(before, after placement.Shares) float64 {
	var moved float64
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		moved += math.Abs(after[region]-before[region]) / 2
	}
	return moved
}

// Guards against shares that were computed from a few known targets and kept when traffic begins.
// Targets register one after the other, and a step falls when one target of a region is known and
// five of another region's. A region with most of the targets then sent more than half of its
// callers to another region for half a minute after a start, which refused a fifth of all requests.
func TestSharesBeforeTrafficFollowKnownTargets(t *testing.T) {
	slots := func(centro, sur float64) placement.Slots {
		return placement.Slots{service: {"centro": centro, "sur": sur}}
	}
	none := map[steering.Region]placement.DemandOf{"centro": {}, "sur": {}}
	lending := placement.NextRegionSplit(placement.RegionSplit{}, situation(none, slots(6, 30)))
	assert.Assert(t, lending.LocalShare(service, "centro") < 0.5)
	lending = placement.NextRegionSplit(lending, situation(none, slots(84, 60)))
	assert.Equal(t, lending.LocalShare(service, "centro"), 1.0)
	assert.Assert(t, lending.LocalShare(service, "sur") < 1)

	perRegion := placement.DemandOf{service: {Rate: 100, RunMs: 150, Runs: 50}}
	demand := map[steering.Region]placement.DemandOf{"centro": perRegion, "sur": perRegion}
	lending = placement.NextRegionSplit(lending, situation(demand, slots(84, 60)))
	assert.Equal(t, lending.LocalShare(service, "centro"), 1.0, "there is capacity for all keys, and nothing was offloaded")
}

// Guards against traffic that swings between regions. Each step must be small, over all services of
// a region together; shares must stay between 0 and 1 and sum to 1; and in the end no region may
// have more load than its slots can take, or a higher utilization than all regions together.
func TestSharesConvergeInBoundedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const runMs, most = 100, 0.05
		services := []steering.Service{service, "passes"}
		regions := []steering.Region{"norte", "centro", "sur"}
		demand := make(map[steering.Region]placement.DemandOf)
		slots := make(placement.Slots)
		demanded, capacity := map[steering.Service]float64{}, map[steering.Service]float64{}
		now := placement.RegionSplit{}
		for _, s := range services {
			slots[s], now[s] = make(map[steering.Region]float64), make(map[steering.Region]placement.Shares)
			for _, r := range regions {
				if demand[r] == nil {
					demand[r] = make(placement.DemandOf)
				}
				wanted := rapid.Float32Range(0, 100).Draw(t, "demand")
				demand[r][s] = placement.Demand{Rate: wanted * 1000 / runMs, RunMs: runMs, Runs: 50}
				slots[s][r], now[s][r] = float64(rapid.IntRange(0, 100).Draw(t, "slots")), placement.Shares{r: 1}
				demanded[s], capacity[s] = demanded[s]+float64(wanted), capacity[s]+slots[s][r]
			}
		}
		for range 150 {
			next := placement.NextRegionSplit(now, situation(demand, slots))
			for _, r := range regions {
				var moved, rate float64
				for _, s := range services {
					var all float64
					for _, share := range next[s][r] {
						assert.Assert(t, share >= 0 && share <= 1+1e-9)
						all += share
					}
					assert.Assert(t, math.Abs(all-1) < 1e-4, "%s of %s: %v", s, r, next[s][r])
					part := movedShare(now[s][r], next[s][r])
					assert.Assert(t, part <= 0.15+1e-9)
					moved += part * float64(demand[r][s].Rate)
					rate += float64(demand[r][s].Rate)
				}
				assert.Assert(t, moved <= (most+1e-5)*rate, "%s moves %.4f of its requests", r, moved/rate)
			}
			now = next
		}
		for _, s := range services {
			if capacity[s] == 0 {
				continue
			}
			for _, to := range regions {
				var runs float64
				for _, from := range regions {
					runs += now[s][from][to] * float64(demand[from][s].Rate) * runMs / 1000
				}
				full := math.Max(0.65, demanded[s]/capacity[s]) * slots[s][to]
				assert.Assert(t, runs <= full+0.5, "%.1f of %s run in %s with %.0f slots", runs, s, to, slots[s][to])
				kept := now.LocalShare(s, to) * float64(demand[to][s].Rate) * runMs / 1000
				assert.Assert(t, kept <= full+1e-3, "%s keeps %.1f of %s with %.0f slots", to, kept, s, slots[s][to])
			}
		}
	})
}

// Guards against dividing offloaded keys by the number of slots, regardless of the demand in the
// receiving regions. The region with the highest demand of its own then refused requests while an
// idle region had free capacity, both serving keys of a third region with few targets.
func TestOffloadedKeysGoToLeastUtilizedRegions(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{"norte": demandFor(40), "centro": demandFor(15), "sur": demandFor(30)}
	slots := placement.Slots{service: {"norte": 72, "centro": 84, "sur": 12}}
	now := placement.RegionSplit{service: {"sur": {"sur": 0.25, "norte": 0.35, "centro": 0.4}}}
	load := func(l placement.RegionSplit, to steering.Region) float64 {
		var all float64
		for from, occupied := range map[steering.Region]float64{"norte": 40, "centro": 15, "sur": 30} {
			shares, found := l[service][from]
			if !found {
				shares = placement.Shares{from: 1}
			}
			all += shares[to] * occupied
		}
		return all / slots[service][to]
	}
	assert.Assert(t, load(now, "norte") > 0.65 && load(now, "centro") < 0.35)
	for range 60 {
		now = placement.NextRegionSplit(now, situation(demand, slots))
	}
	assert.Assert(t, math.Abs(load(now, "norte")-40.0/72) < 0.01, "utilization of norte: %.2f", load(now, "norte"))
	assert.Assert(t, load(now, "centro") < 0.47 && load(now, "sur") < 0.651)
}

// Guards against weights that jump: when a region began to offload keys, a third of the keys that
// another region offloads to it moved at once, and all of them started cold.
func TestOnlyKeysWhoseShareChangesMove(t *testing.T) {
	all := append(append(targets(8, "centro"), targets(8, "sur")...), targets(8, "norte")...)
	b := newBalancer("vm", all...)
	const keys = 3000
	placed := func(shares placement.Shares) []steering.Region {
		b.SetRegionSplit(placement.RegionSplit{service: {"centro": shares}})
		regions := make([]steering.Region, keys)
		for k := range regions {
			pick, refusal := b.Choose(start, request(fmt.Sprint(k)))
			assert.Assert(t, refusal == nil)
			regions[k] = pick.Target.Region
		}
		return regions
	}
	before := placed(placement.Shares{"centro": 0.5, "sur": 0.3, "norte": 0.2})
	after := placed(placement.Shares{"centro": 0.45, "sur": 0.35, "norte": 0.2})
	moved := 0
	count := map[steering.Region]int{}
	for k := range before {
		count[before[k]]++
		if before[k] != after[k] {
			moved++
		}
	}
	assert.Assert(t, math.Abs(float64(count["centro"])/keys-0.5) < 0.03 && math.Abs(float64(count["norte"])/keys-0.2) < 0.03, "%v", count)
	assert.Assert(t, float64(moved)/keys < 0.09, "%d of %d moved for a change of 0.05", moved, keys)
}

// Guards against a separate limit on region changes per service, of which services without changes
// leave their part unused. A region whose callers doubled their demand for one service then refused
// requests for seconds, though only that service had to offload keys.
func TestServiceMayUseShiftLimitOfOthers(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{
		"norte":  {service: {Rate: 100, RunMs: 100, Runs: 50}, "passes": {Rate: 100, RunMs: 10, Runs: 50}},
		"centro": {service: {Rate: 100, RunMs: 100, Runs: 50}, "passes": {Rate: 100, RunMs: 10, Runs: 50}}}
	slots := placement.Slots{service: {"norte": 4, "centro": 40}, "passes": {"norte": 20, "centro": 20}}
	now := placement.RegionSplit{service: {"norte": {"norte": 1}, "centro": {"centro": 1}}, "passes": {"norte": {"norte": 1}, "centro": {"centro": 1}}}
	next := placement.NextRegionSplit(now, situation(demand, slots))
	assert.Assert(t, math.Abs(1-next.LocalShare(service, "norte")-0.1) < 1e-6, "%v", next)
	assert.Equal(t, next.LocalShare("passes", "norte"), 1.0)
}

// Guards against taking keys back as fast as they are offloaded. The callers of a region with few
// targets come later in the morning than those of other regions. If the region takes all keys back
// until then, it can offload them again only at the limited speed and refuses requests through half
// of the morning, while keys served elsewhere cost little.
func TestOffloadedKeysReturnSlowly(t *testing.T) {
	of := func(rate float32) map[steering.Region]placement.DemandOf {
		return map[steering.Region]placement.DemandOf{"norte": {service: {Rate: rate, RunMs: 100, Runs: 50}}, "centro": {service: {Rate: 100, RunMs: 100, Runs: 50}}}
	}
	slots := placement.Slots{service: {"norte": 8, "centro": 40}}
	l := placement.RegionSplit{service: {"norte": {"norte": 0.4, "centro": 0.6}}}
	for range 8 {
		l = placement.NextRegionSplit(l, situation(of(30), slots))
	}
	assert.Assert(t, l.LocalShare(service, "norte") > 0.45 && l.LocalShare(service, "norte") < 0.55, "keeps %v", l)
	for range 8 {
		l = placement.NextRegionSplit(l, situation(of(200), slots))
	}
	assert.Assert(t, l.LocalShare(service, "norte") < 0.3, "keeps %v", l)
}

// Guards against starting from shares with which every region keeps all its keys. After a loss of
// all entry VMs, the new VMs start while callers send requests; the first step finds demand but no
// earlier shares. A region with few targets then refused requests for ten seconds.
func TestRegionWithFewTargetsOffloadsFromTheFirstStep(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{"norte": demandFor(20), "centro": demandFor(20), "sur": demandFor(20)}
	slots := placement.Slots{service: {"norte": 72, "centro": 84, "sur": 12}}
	first := placement.NextRegionSplit(nil, situation(demand, slots))
	assert.Assert(t, first.LocalShare(service, "sur") < 0.35, "keeps %v", first[service]["sur"])
	assert.Assert(t, first.LocalShare(service, "norte") == 1)
}

// Guards against an entry VM that keeps the keys of a region without open slots there, because a
// region without shares keeps all keys. After a loss of all entry VMs, a region's only target was
// ejected at the time of the first step; the VM then refused a third of that region's requests for
// ten seconds.
func TestRegionWithoutSlotsOffloadsAllKeysAtTheFirstStep(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{"norte": demandFor(20), "sur": demandFor(20)}
	first := placement.NextRegionSplit(nil, situation(demand, placement.Slots{service: {"norte": 72}}))
	assert.Assert(t, first.LocalShare(service, "sur") < 0.01, "keeps %v", first[service]["sur"])
}

// Guards against a region that continues to take keys of others while requests that may run nowhere
// else occupy its slots.
func TestPinnedRequestsReduceCapacityForOtherKeys(t *testing.T) {
	const service = steering.Service("s")
	demand := func(rate float32, bound map[steering.Region]float32) placement.DemandOf {
		return placement.DemandOf{service: {Rate: rate, RunMs: 100, Runs: 100, Bound: bound}}
	}
	slots := placement.Slots{service: {"norte": 30, "centro": 30, "sur": 30}}
	sharesWith := func(bound map[steering.Region]float32) placement.RegionSplit {
		l := placement.RegionSplit{}
		for range 200 {
			l = placement.NextRegionSplit(l, placement.SplitInput{Slots: slots, Regions: 3, MaxRegionShift: 0.15, Demand: map[steering.Region]placement.DemandOf{
				"norte": demand(200, bound), "centro": demand(150, nil), "sur": demand(50, nil)}})
		}
		return l
	}
	assert.Assert(t, sharesWith(nil).LocalShare(service, "centro") > 0.99)
	l := sharesWith(map[steering.Region]float32{"centro": 120}) // 12 of its 30 slots
	assert.Assert(t, l.LocalShare(service, "centro") < 0.9, "%v", l)
	assert.Assert(t, l.LocalShare(service, "norte") > 0.99, "norte has capacity beyond its own callers' demand: %v", l)
	load := 12 + 15*l.LocalShare(service, "centro")
	assert.Assert(t, load < 0.75*30, "%.1f of its slots are busy", load)
}

// Guards against demand that is lost or counted twice when it is summed over entry VMs.
func TestPinnedDemandIsSummedByRegion(t *testing.T) {
	a := placement.Demand{Rate: 10, Bound: map[steering.Region]float32{"norte": 2}}
	b := placement.Demand{Rate: 5, Bound: map[steering.Region]float32{"norte": 1, "sur": 4}}
	sum := a.Add(b).Add(placement.Demand{Rate: 1})
	assert.DeepEqual(t, sum.Bound, map[steering.Region]float32{"norte": 3, "sur": 4})
	assert.Equal(t, sum.Rate, float32(16))
	assert.DeepEqual(t, a.Bound, map[steering.Region]float32{"norte": 2})
}
