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
