package placement_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/placement"
)

// useWeights makes the targets report how slow their machines are, and entry VMs use weights.
func (p *simulation) useWeights() {
	p.weights = make(map[steering.Region]*balance.Region)
	for region := range targetsPerRegion {
		p.weights[region] = balance.NewRegion()
		p.weights[region].Start(p.now, nil)
	}
}

// moveWeights makes one step of the weights and puts them in force on all entry VMs.
func (p *simulation) moveWeights() {
	if p.weights == nil {
		return
	}
	for _, b := range p.entryVMs() {
		for _, s := range b.LoadSamples(p.now) {
			p.weights[s.Region].Report(p.now, balance.Report{Target: s.Target, Mean: s.Mean, Responses: s.Responses})
		}
	}
	all := make(map[steering.Target]float64)
	for region, r := range p.weights {
		var targets []balance.Target
		for _, t := range p.entryVMs()[0].TargetWeights(p.now, region) {
			targets = append(targets, balance.Target{Name: t.Name, Service: t.Service, Slots: t.Slots, Fixed: !t.Steady})
		}
		p.moved += len(r.Step(p.now, targets))
		maps.Copy(all, r.Weights())
	}
	for _, b := range p.entryVMs() {
		b.SetWeights(all)
	}
}

// popularity draws keys of which the nth is requested in proportion to 1/n^exponent.
type popularity []float64

func newPopularity(keys int, exponent float64) popularity {
	sums := make(popularity, keys)
	sum := 0.0
	for n := range sums {
		sum += math.Pow(float64(n+1), -exponent)
		sums[n] = sum
	}
	return sums
}

func (p popularity) draw(random float64) int {
	n, _ := slices.BinarySearch(p, random*p[len(p)-1])
	return n
}

// Guards against targets that stay overloaded by chance while others have room, with keys of uneven
// popularity at 0.64 of the capacity with warm keys and four entry VMs a region, and against weights that move keys back and forth.
func TestWeightsServeUnevenKeys(t *testing.T) {
	inTime := func(weights bool) (share float64, p *simulation) {
		p = newSimulationOf(4, 240)
		keys := newPopularity(keysPerRegion, 0.7)
		p.keyOf = func(region steering.Region) string { return fmt.Sprint(region, "-key-", keys.draw(p.random.Float64())) }
		if weights {
			p.useWeights()
		}
		p.run(45 * time.Second)
		p.moved = 0
		cold := p.coldRuns()
		all := &tally{}
		for _, got := range p.run(60 * time.Second) {
			all.requests, all.inTime = all.requests+got.requests, all.inTime+got.inTime
		}
		t.Logf("weights %v: %.3f in time, %d cold runs of %d, %d changes of weights", weights, all.inTimeShare(), p.coldRuns()-cold, all.requests, p.moved)
		return all.inTimeShare(), p
	}
	without, _ := inTime(false)
	with, p := inTime(true)
	assert.Assert(t, with > without+0.01, "%.3f in time with weights, %.3f without", with, without)
	assert.Assert(t, p.moved <= 56, "%d changes of weights in the last minute", p.moved)
}

// coldRuns returns the cold runs since the start.
func (p *simulation) coldRuns() int {
	n := 0
	for _, s := range p.servers {
		n += s.cold
	}
	return n
}

// balancerOf returns a balancer with targets of 4 slots in its region.
func balancerOf(targets int) (*placement.Balancer, []placement.Target) {
	b := placement.NewBalancer("vm", "norte")
	var all []placement.Target
	for n := range targets {
		all = append(all, placement.Target{Name: steering.Target(fmt.Sprint("t", n)), Service: service, Region: "norte", Zone: "norte-a", Slots: 4})
	}
	b.SetTargets(all)
	return b, all
}

// Guards against weights that move keys of other targets than the one whose weight fell, and against more or
// fewer keys than in proportion.
func TestWeightMovesOnlyKeysOfItsTarget(t *testing.T) {
	b, all := balancerOf(10)
	first := func() (of map[string]steering.Target) {
		of = make(map[string]steering.Target)
		for n := range 4000 {
			key := fmt.Sprint("key-", n)
			pick, refusal := b.Choose(start, placement.Request{Service: service, Key: key, Region: "norte"})
			assert.Assert(t, refusal == nil)
			of[key] = pick.Target.Name
		}
		return of
	}
	before := first()
	b.SetWeights(map[steering.Target]float64{"t3": 0.5, "unknown": 0.25})
	kept, moved := 0, 0
	for key, target := range first() {
		switch {
		case before[key] != "t3":
			assert.Equal(t, target, before[key], "%s", key)
		case target == "t3":
			kept++
		default:
			moved++
		}
	}
	share := float64(kept) / float64(kept+moved)
	assert.Assert(t, share > 0.42 && share < 0.62, "%d of %d keys stayed", kept, kept+moved)
	all[3].Generation++
	b.UpdateTargets(all[3:4], nil)
	w := b.WeightsByService()[service]
	assert.DeepEqual(t, w.Targets, []placement.WeightOf{{Target: "t3", Weight: 0.5}}) // a restart changes no keys
	assert.Assert(t, math.Abs(w.Moved-0.05) < 1e-9, "%v", w.Moved)
	b.SetWeights(nil)
	assert.DeepEqual(t, first(), before)
}

// Guards against costs of services that use no weights, and against samples that stay after they were taken
// or after their target is gone.
func TestLoadSamplesAreTakenWhereWeightsAreUsed(t *testing.T) {
	b, all := balancerOf(3)
	report := func(n, running int) {
		b.RequestPlaced(start, all[n], "", false)
		b.RequestEnded(start, all[n], placement.Report{Outcome: placement.Served, LoadKnown: true, Running: running}, false, false)
	}
	// count lets two routes share the service, the second with the given latency objective.
	count := func(until time.Time, aim time.Duration) {
		for n := range 100 {
			b.HasOwners(until.Add(time.Duration(n-100)*50*time.Millisecond), placement.Request{Service: service, Workspace: true, Route: fmt.Sprint(n % 2),
				RouteAim: time.Second + time.Duration(n%2)*(aim-time.Second)})
		}
	}
	report(0, 4)
	assert.Equal(t, len(b.LoadSamples(start)), 0)
	count(start, 2*time.Second)
	report(0, 4)
	report(0, 2)
	report(1, 8)
	report(2, -1)
	b.UpdateTargets(nil, []steering.Target{"t2"})
	want := []placement.LoadSample{{Target: "t1", Service: service, Region: "norte", Mean: 2, Responses: 1}, {Target: "t0", Service: service, Region: "norte", Mean: 0.75, Responses: 2}}
	assert.DeepEqual(t, b.LoadSamples(start), want)
	assert.Equal(t, len(b.LoadSamples(start)), 0)
	count(start.Add(time.Minute), time.Second)
	report(0, 4)
	assert.Equal(t, len(b.LoadSamples(start)), 0)
}
