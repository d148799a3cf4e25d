package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

const service = steering.Service("tickets")

var start = time.Unix(1000, 0)

func targets(n int, region steering.Region) []placement.Target {
	all := make([]placement.Target, n)
	for i := range all {
		all[i] = placement.Target{Name: steering.Target(fmt.Sprintf("%s-%d", region, i)), Service: service,
			Zone: steering.Zone(region) + "-a", Region: region, Slots: 4}
	}
	return all
}

func newBalancer(vm steering.VM, all ...placement.Target) *placement.Balancer {
	b := placement.NewBalancer(vm, "centro")
	b.SetPeers(map[steering.Region][]steering.VM{"centro": {vm}})
	b.SetTargets(all)
	return b
}

func request(key string) placement.Request {
	return placement.Request{Service: service, Key: key, ID: key, Region: "centro", Aim: 400 * time.Millisecond,
		Left: 2 * time.Second, Repeatable: true}
}

// serve places a request and ends it at once with an outcome.
func serve(b *placement.Balancer, now time.Time, r placement.Request, o placement.Outcome) (placement.Pick, *placement.Refusal) {
	pick, refusal := b.Choose(now, r)
	if refusal == nil {
		b.Began(now, pick.Target, r.Key, pick.Trial)
		b.Ended(now, pick.Target, placement.Report{Outcome: o, Took: 100 * time.Millisecond}, pick.Trial, false)
	}
	return pick, refusal
}

// All entry VMs must place a key alike, without a message between them; a lost
// target must move only its own keys, or the rest would run cold too.
func TestOnlyTheKeysOfALostTargetMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "targets")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		all := targets(n, "centro")
		whole, other := newBalancer("vm-1", all...), newBalancer("vm-2", all...)
		rest := newBalancer("vm-3", append(append([]placement.Target(nil), all[:lost]...), all[lost+1:]...)...)
		for k := range 100 {
			r := request(fmt.Sprint("key-", k))
			before, _ := serve(whole, start, r, placement.Served)
			same, _ := serve(other, start, r, placement.Served)
			after, _ := serve(rest, start, r, placement.Served)
			assert.Equal(t, before.Target.Name, same.Target.Name)
			if before.Target.Name != all[lost].Name {
				assert.Equal(t, before.Target.Name, after.Target.Name)
			}
		}
	})
}

// Symptom: half of the callers wait for a target that is dead. Sequence: it goes
// without a reset; each request that is placed on it waits for a time-out.
// Cause: going by the list of targets, which knows of it seconds later. It has
// to be passed over after a few, tried again with single requests, and used
// again once one succeeds.
func TestDeadTargetIsPassedOverTriedAndUsedAgain(t *testing.T) {
	all := targets(4, "centro")
	b := newBalancer("vm", all...)
	r := request("key")
	first, _ := serve(b, start, r, placement.Silent)
	lost := 1
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		pick, refusal := b.Choose(now, r)
		assert.Assert(t, refusal == nil)
		b.Began(now, pick.Target, r.Key, pick.Trial)
		outcome := placement.Served
		if pick.Target.Name == first.Target.Name {
			outcome = placement.Silent
			lost++
		}
		b.Ended(now, pick.Target, placement.Report{Outcome: outcome, Took: time.Millisecond}, pick.Trial, false)
	}
	assert.Assert(t, lost <= 5, "%d of 100 requests in 2 s went to the dead target", lost)
	now = now.Add(10 * time.Second)
	back, _ := serve(b, now, r, placement.Served)
	assert.Equal(t, back.Target.Name, first.Target.Name)
	for range 10 {
		serve(b, now, r, placement.Served)
	}
	again, _ := serve(b, now, r, placement.Served)
	assert.Equal(t, again.Target.Name, first.Target.Name)
}

// Symptom: a whole service is refused though its targets work. Sequence: most
// fail at once. Cause: believing evidence that more likely speaks of the way
// there than of all of them.
func TestWhenMostLookBadAllAreUsed(t *testing.T) {
	b := newBalancer("vm", targets(4, "centro")...)
	for k := range 200 {
		serve(b, start.Add(time.Duration(k)*10*time.Millisecond), request(fmt.Sprint(k)), placement.Silent)
	}
	assert.Assert(t, len(b.Ejected()) >= 3)
	for k := range 50 {
		_, refusal := serve(b, start.Add(2*time.Second), request(fmt.Sprint(k)), placement.Served)
		assert.Assert(t, refusal == nil)
	}
}

// A leaving target, one in a zone under evacuation, one that another took the
// address of, and one tried before get nothing.
func TestClosedReplacedAndTriedTargetsGetNothing(t *testing.T) {
	all := targets(3, "centro")
	all[0].Closed = true
	b := newBalancer("vm", all...)
	for k := range 50 {
		r := request(fmt.Sprint(k))
		r.Tried = []steering.Target{all[1].Name}
		pick, refusal := b.Choose(start, r)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, pick.Target.Name, all[2].Name)
	}
	b.Ended(start, all[2], placement.Report{Outcome: placement.Replaced}, false, false)
	r := request("x")
	r.Tried = []steering.Target{all[1].Name}
	_, refusal := b.Choose(start, r)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, steering.ReasonNoTarget)
}

// Symptom: a target that has just started crashes. Sequence: several entry VMs
// send it what its keys bring. Cause: each counts only its own requests. In any
// second, all of them together must stay under rate x 1.5 + 5, also while they
// differ on who lives.
func TestColdTargetIsNotCrashedByAllTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 40).Draw(t, "entry VMs")
		const rate = 7.7
		cold := placement.Target{Name: "cold", Service: service, Region: "centro", Slots: 50, ColdUntil: start.Add(10 * time.Second), ColdRate: rate}
		var names []steering.VM
		for n := range members {
			names = append(names, steering.VM(fmt.Sprint("vm-", n)))
		}
		var balancers []*placement.Balancer
		for _, name := range names {
			b := newBalancer(name, cold)
			b.SetPeers(map[steering.Region][]steering.VM{"centro": names})
			balancers = append(balancers, b)
		}
		var sent []time.Time
		for ms := 0; ms < 4000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i, b := range balancers {
				if rapid.IntRange(0, 3).Draw(t, "asks") > 0 && i >= 0 {
					if _, refusal := serve(b, now, request(fmt.Sprint(ms, i)), placement.Served); refusal == nil {
						sent = append(sent, now)
					}
				}
			}
		}
		for i := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					count++
				}
			}
			assert.Assert(t, float64(count) <= rate*1.5+5, "%d in a second", count)
		}
	})
}

// Symptom: traffic swings between regions. Each step of what a region keeps must
// be small, over all its services together, stay between 0 and 1, and end where
// its slots bear its demand.
func TestLendingMovesInSmallStepsToWhatSlotsBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const runMs, most = 100, 0.05
		services := []steering.Service{service, "passes"}
		regions := []steering.Region{"norte", "centro", "sur"}
		demand := make(map[steering.Region]placement.DemandOf)
		slots := make(map[steering.Service]map[steering.Region]float64)
		busy, room := map[steering.Service]float64{}, map[steering.Service]float64{}
		now := placement.Lending{}
		for _, s := range services {
			slots[s], now[s] = make(map[steering.Region]float64), make(map[steering.Region]float64)
			for _, r := range regions {
				if demand[r] == nil {
					demand[r] = make(placement.DemandOf)
				}
				wanted := rapid.Float32Range(0, 100).Draw(t, "demand")
				demand[r][s] = placement.Demand{Rate: wanted * 1000 / runMs, RunMs: runMs, Runs: 50}
				slots[s][r], now[s][r] = float64(rapid.IntRange(0, 100).Draw(t, "slots")), 1
				busy[s], room[s] = busy[s]+float64(wanted), room[s]+slots[s][r]
			}
		}
		for range 30 {
			next := placement.NextLending(now, demand, slots, len(regions), 0.15)
			for _, r := range regions {
				var moved, rate float64
				for _, s := range services {
					assert.Assert(t, math.Abs(next[s][r]-now[s][r]) <= 0.15+1e-9)
					assert.Assert(t, next[s][r] >= -1e-9 && next[s][r] <= 1+1e-9)
					moved += math.Abs(next[s][r]-now[s][r]) * float64(demand[r][s].Rate)
					rate += float64(demand[r][s].Rate)
				}
				assert.Assert(t, moved <= (most+1e-6)*rate, "%s moves %.4f of its requests", r, moved/rate)
			}
			now = next
		}
		for _, s := range services {
			for _, r := range regions {
				kept := now[s][r] * float64(demand[r][s].Rate) * runMs / 1000
				full := math.Max(0.65, busy[s]/math.Max(room[s], 1e-9)) * slots[s][r]
				assert.Assert(t, kept <= full+1e-3, "%s keeps %.1f of %s with %.0f slots", r, kept, s, slots[s][r])
			}
		}
	})
}

// Symptom: a region of few targets refuses for ten seconds, and then sends away
// what its own targets have room for. Sequence: a queue forms there and keys are
// lent to a region 70 ms away; the entry VM takes the waits and the way for the
// time of a run. Cause: learning from runs that waited or ran elsewhere.
func TestDemandCountsNeitherWaitsNorTheWayToOtherRegions(t *testing.T) {
	const run, way, wait = 100 * time.Millisecond, 70 * time.Millisecond, 300 * time.Millisecond
	b := newBalancer("vm", append(targets(2, "centro"), targets(4, "sur")...)...)
	b.SetLending(placement.Lending{service: {"centro": 0.5}})
	now := start
	for n := range 600 {
		now = now.Add(20 * time.Millisecond)
		b.Arrived(now, service)
		pick, refusal := b.Choose(now, request(fmt.Sprint("key-", n%40)))
		assert.Assert(t, refusal == nil)
		b.Began(now, pick.Target, "", pick.Trial)
		report := placement.Report{Outcome: placement.Served, Took: run, LoadKnown: true, Running: 1}
		if pick.Away {
			report.Took += way
		}
		if n%3 == 0 {
			report.Took, report.Running, report.Waiting = report.Took+wait, 3, 2
		}
		b.Ended(now, pick.Target, report, pick.Trial, false)
	}
	got := b.Demand(now)[service]
	assert.Assert(t, math.Abs(float64(got.RunMs)-100) < 15, "a run is taken to last %.0f ms", got.RunMs)
	assert.Assert(t, math.Abs(float64(got.Rate)-50) < 8, "%.0f requests a second", got.Rate)
}

// Symptom: as above, in a region that is hot from the start, where hardly a run is
// without a wait. Cause: each VM going by its own observations alone.
func TestHotRegionLearnsFromOthersHowLongARunLasts(t *testing.T) {
	hot := placement.DemandOf{service: {Rate: 90, RunMs: 400, Runs: 2}}
	calm := placement.DemandOf{service: {Rate: 90, RunMs: 100, Runs: 500}}
	demand := map[steering.Region]placement.DemandOf{"norte": hot, "centro": calm}
	all := placement.Runs(demand)
	assert.Assert(t, all[service].RunMs < 110, "%v", all)
	slots := map[steering.Service]map[steering.Region]float64{service: {"norte": 16, "centro": 16}}
	next := placement.NextLending(placement.Lending{service: {"norte": 1, "centro": 1}}, demand, slots, 2, 0.15)
	assert.Equal(t, next[service]["norte"], 1.0, "9 of 16 slots are busy")

	b := newBalancer("vm", targets(2, "centro")...)
	b.Choose(start, request("key")) // guesses by the aim
	b.Arrived(start, service)
	b.Learn(all)
	assert.Assert(t, b.Demand(start)[service].RunMs < 110)
}

// Symptom: a region whose callers ask twice as much of one service refuses for
// seconds. Sequence: only that service has to lend. Cause: a bound for each service
// that the others leave unused.
func TestOneServiceMayLendFasterThanAllTogether(t *testing.T) {
	demand := map[steering.Region]placement.DemandOf{
		"norte":  {service: {Rate: 100, RunMs: 100, Runs: 50}, "passes": {Rate: 100, RunMs: 10, Runs: 50}},
		"centro": {service: {Rate: 100, RunMs: 100, Runs: 50}, "passes": {Rate: 100, RunMs: 10, Runs: 50}}}
	slots := map[steering.Service]map[steering.Region]float64{service: {"norte": 4, "centro": 40}, "passes": {"norte": 20, "centro": 20}}
	now := placement.Lending{service: {"norte": 1, "centro": 1}, "passes": {"norte": 1, "centro": 1}}
	next := placement.NextLending(now, demand, slots, 2, 0.15)
	assert.Assert(t, math.Abs(now[service]["norte"]-next[service]["norte"]-0.1) < 1e-6, "%v", next)
	assert.Equal(t, next["passes"]["norte"], 1.0)
}

// Symptom: a region of few targets refuses through the first half of a morning.
// Sequence: its callers come later than those of other regions; until they do, it
// takes all lent keys back, and then lends them again no faster than is allowed.
// Cause: taking back as fast as lending, though keys that run elsewhere cost little.
func TestLentKeysComeBackSlowly(t *testing.T) {
	of := func(rate float32) map[steering.Region]placement.DemandOf {
		return map[steering.Region]placement.DemandOf{"norte": {service: {Rate: rate, RunMs: 100, Runs: 50}}, "centro": {service: {Rate: 100, RunMs: 100, Runs: 50}}}
	}
	slots := map[steering.Service]map[steering.Region]float64{service: {"norte": 8, "centro": 40}}
	l := placement.Lending{service: {"norte": 0.4, "centro": 1}}
	for range 8 {
		l = placement.NextLending(l, of(30), slots, 2, 0.15)
	}
	assert.Assert(t, l[service]["norte"] > 0.45 && l[service]["norte"] < 0.55, "keeps %v", l)
	for range 8 {
		l = placement.NextLending(l, of(200), slots, 2, 0.15)
	}
	assert.Assert(t, l[service]["norte"] < 0.3, "keeps %v", l)
}

// Symptom: callers of a region wait for targets of a region that is cut off.
// Sequence: keys are lent there, the links break. Cause: lending by slots alone.
func TestKeysAreNotLentToRegionsThatAreCutOff(t *testing.T) {
	all := append(append(targets(2, "centro"), targets(2, "sur")...), targets(2, "norte")...)
	b := newBalancer("vm", all...)
	b.SetLending(placement.Lending{service: {"centro": 0.1}})
	b.SetDark(map[steering.Zone]bool{"sur-a": true})
	for k := range 100 {
		pick, refusal := serve(b, start, request(fmt.Sprint(k)), placement.Served)
		assert.Assert(t, refusal == nil)
		assert.Assert(t, pick.Target.Region != "sur")
	}
}

// Symptom: a request runs in a region that its route forbids. Whatever is lent
// or lost, only allowed regions are chosen.
func TestOnlyAllowedRegionsAreChosen(t *testing.T) {
	all := append(targets(2, "centro"), targets(2, "sur")...)
	b := newBalancer("vm", all...)
	b.SetLending(placement.Lending{service: {"centro": 0.2}})
	for k := range 100 {
		r := request(fmt.Sprint(k))
		r.Allowed = func(region steering.Region) bool { return region == "centro" }
		pick, refusal := serve(b, start, r, placement.Served)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, pick.Target.Region, steering.Region("centro"))
	}
	none := request("k")
	none.Allowed = func(steering.Region) bool { return false }
	_, refusal := b.Choose(start, none)
	assert.Equal(t, refusal.Reason, steering.ReasonNoTarget)
}
