package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/balance"
)

// Guards against weights outside their bounds, against more weight that moves in a second than callers can
// bear as cold runs, against weights of targets that are not judged, and against keys that move although
// all targets are equally loaded.
func TestNextWeightsKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		equal := rapid.Bool().Draw(t, "equal")
		common := rapid.Float64Range(0, 8).Draw(t, "common load")
		current, loads := map[steering.Target]float64{}, map[steering.Target]balance.Load{}
		total, sum, judged := 0.0, 0.0, 0.0
		for n := range rapid.IntRange(1, 40).Draw(t, "targets") {
			name := steering.Target(fmt.Sprint("t", n))
			current[name] = rapid.Float64Range(balance.MinWeight, 1).Draw(t, "weight")
			l := balance.Load{Mean: common, Responses: rapid.Float64Range(0, 20).Draw(t, "responses"),
				Slots: rapid.IntRange(1, 16).Draw(t, "slots"), Fixed: rapid.Bool().Draw(t, "fixed"), Held: rapid.Bool().Draw(t, "held")}
			if !equal {
				l.Mean = rapid.Float64Range(0, 8).Draw(t, "load")
			}
			loads[name] = l
			if !l.Fixed && l.Responses >= 3 {
				sum, judged = sum+l.Mean*float64(l.Slots), judged+float64(l.Slots)
			}
			total += current[name] * float64(l.Slots)
		}
		elapsed := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		moved := 0.0
		for name, weight := range balance.NextWeights(current, loads, elapsed) {
			l := loads[name]
			assert.Assert(t, weight >= balance.MinWeight && weight <= 1, "%v", weight)
			moved += math.Abs(weight-current[name]) * float64(l.Slots)
			if weight == current[name] {
				continue
			}
			assert.Assert(t, !equal && !l.Fixed && l.Responses >= 3, "%s moved: %+v", name, l)
			mean := sum / judged
			falls, rises := weight < current[name], weight > current[name]
			assert.Assert(t, falls && l.Mean > 1 && l.Mean > mean || rises && l.Mean < mean && l.Mean < 0.6*max(1, mean) && !l.Held, "%s moved from %v to %v: %+v", name, current[name], weight, l)
		}
		assert.Assert(t, moved <= 0.05*total*min(elapsed.Seconds(), 2)+1e-9, "moved %v of %v in %v", moved, total, elapsed)
	})
}

// Guards against weights that do not come to rest, which would move keys back and forth, and against an
// overload that stays although other targets have room. The load of a target follows its weight.
func TestWeightsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(8, 60).Draw(t, "targets")
		natural, all := make([]float64, count), make([]balance.Target, count)
		sum := 0.0
		for n := range natural {
			natural[n] = math.Exp(rapid.Float64Range(-1, 1).Draw(t, "share"))
			sum += natural[n]
			all[n] = balance.Target{Name: steering.Target(fmt.Sprint("t", n)), Service: "s", Slots: 8}
		}
		utilization := rapid.Float64Range(0.2, 0.75).Draw(t, "utilization")
		r := balance.NewRegion()
		now := time.Unix(1700000000, 0)
		r.Start(now, nil)
		changes, highest := 0, 0.0
		for second := range 600 {
			now = now.Add(time.Second)
			weights, weighted := r.Weights(), 0.0
			weight := func(n int) float64 {
				if w, found := weights[all[n].Name]; found {
					return w
				}
				return 1
			}
			for n := range all {
				weighted += natural[n] * weight(n)
			}
			highest = 0
			for n, target := range all {
				load := utilization * float64(count) * natural[n] * weight(n) / weighted
				highest = max(highest, load)
				r.Report(now, balance.Report{Target: target.Name, Mean: load, Responses: 10})
			}
			made := r.Step(now, all)
			if second >= 420 {
				changes += len(made)
			}
		}
		assert.Assert(t, highest <= 1.12, "load %v after ten minutes, %v on average", highest, utilization)
		assert.Assert(t, changes <= count/4, "%d changes of %d targets in the last three minutes", changes, count)
	})
}

// Guards against a region that moves more than a twentieth of its weight in a second when the levels of
// many targets change at once, and against a starting VM that moves keys before it knows the region.
func TestLevelsMoveSlowly(t *testing.T) {
	now := time.Unix(1700000000, 0)
	var all []balance.Target
	for n := range 40 {
		all = append(all, balance.Target{Name: steering.Target(fmt.Sprint("t", n)), Service: "s", Slots: 4})
	}
	r := balance.NewRegion()
	r.Start(now, nil)
	moved := 0.0
	for second := 1; second <= 20; second++ {
		now = now.Add(time.Second)
		for n, target := range all {
			r.Report(now, balance.Report{Target: target.Name, Mean: 0.2 + 2*float64(n%2), Responses: 10})
		}
		for _, c := range r.Step(now, all) {
			moved += math.Abs(c.To-c.From) * 4
		}
		assert.Assert(t, moved <= 0.05*160*float64(max(0, second-2)), "%v moved after %d s", moved, second)
	}
	assert.Assert(t, moved > 20, "only %v moved", moved)
}

// Guards against a VM that follows a balancer that it does not see as live, or an older message, and against
// weights that stay after the balancer is gone.
func TestHolderFollowsItsBalancer(t *testing.T) {
	now := time.Unix(1700000000, 0)
	all := func(start int64, number uint32, level float64) balance.Message {
		return balance.Message{Term: balance.Term{Start: start, Number: number}, Last: math.MaxUint32, Levels: map[uint32]float64{7: level}}
	}
	h := balance.NewHolder()
	assert.Assert(t, !h.Apply(now, "b", "a", all(9, 9, 0.5)))
	assert.Assert(t, h.Apply(now, "a", "a", all(5, 2, 0.5)))
	assert.Assert(t, !h.Apply(now, "a", "a", all(5, 1, 0.25)))
	assert.Assert(t, h.Apply(now, "b", "b", all(4, 1, 0.75)), "the next balancer")
	assert.DeepEqual(t, h.Levels(now.Add(10*time.Second)), map[uint32]float64{7: 0.75})
	assert.DeepEqual(t, h.Levels(now.Add(11*time.Second)), map[uint32]float64{7: 0.875})
	assert.Equal(t, len(h.Levels(now.Add(16*time.Second))), 0)
	vm, found := balance.BalancerOf("sur", []balance.Candidate{{"a", "norte"}, {"b", "sur"}, {"c", "sur"}})
	assert.Assert(t, found && vm == "b")
}
