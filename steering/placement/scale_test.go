package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/rendezvous"
)

// manyTargets returns n targets of three services in three regions.
func manyTargets(n int) []placement.Target {
	all := make([]placement.Target, n)
	for i := range all {
		region := steering.Region(fmt.Sprint("region-", i%3))
		all[i] = placement.Target{Name: steering.Target(fmt.Sprint("target-", i)), Generation: 1, Service: steering.Service(fmt.Sprint("service-", i/3%3)),
			Address: fmt.Sprint("10.0.0.1:", i), Zone: steering.Zone(fmt.Sprint(region, "-", i%2)), Region: region, Slots: 3 + i/9%2}
	}
	return all
}

// Guards against requests that run cold on most targets because the entry VMs disagree on the order
// of a key: a target must be chosen as if all targets were scored and sorted, whichever changed.
func TestOrderOfKeysIsThatOfAllScores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := manyTargets(rapid.IntRange(1, 90).Draw(t, "targets"))
		b := placement.NewBalancer("vm", "region-0")
		b.SetTargets(all)
		b.UpdateTargets(nil, []steering.Target{all[0].Name})
		for range rapid.IntRange(0, 20).Draw(t, "changes") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "changed")
			all[i].Closed = !all[i].Closed
			b.UpdateTargets(all[i:i+1], nil)
		}
		b.UpdateTargets(all[:1], nil)
		now := time.Unix(1000, 0)
		request := placement.Request{Service: "service-0", Key: rapid.String().Draw(t, "key"), ID: "id", Region: "region-0"}
		var want []placement.Target
		for _, target := range all {
			if target.Service == request.Service && target.Region == "region-0" && !target.Closed {
				want = append(want, target)
			}
		}
		key := request.Key
		if key == "" {
			key = request.ID
		}
		hash := rendezvous.Hash(string(request.Service) + "\x00" + key)
		score := func(target placement.Target) float64 {
			return rendezvous.Score(hash, rendezvous.Hash(string(target.Name)), float64(target.Slots))
		}
		slices.SortFunc(want, func(a, b placement.Target) int {
			if score(a) > score(b) {
				return -1
			}
			return 1
		})
		for rank, target := range want {
			pick, refusal := b.Choose(now, request)
			assert.Assert(t, refusal == nil)
			assert.Equal(t, pick.Target.Name, target.Name)
			assert.Equal(t, pick.Rank, 0, "targets that were tried do not count, of %d at %d", len(want), rank)
			request.Tried = append(request.Tried, target.Name)
		}
	})
}

// Guards against small VMs that spend their processor time on ordering targets: a VM of a fleet with
// 10,000 targets has 0.16 of a core, and every request waits while it places another one. Scoring
// and sorting all targets of a service allocates a candidate for each.
func TestPlacementOfARequestIsCheapWithManyTargets(t *testing.T) {
	const targets, requests = 20_000, 200
	b := placement.NewBalancer("vm", "region-0")
	b.SetTargets(manyTargets(targets))
	now := time.Unix(1000, 0)
	allocated := testing.AllocsPerRun(requests, func() {
		_, refusal := b.Choose(now, placement.Request{Service: "service-0", Key: fmt.Sprint(rand.Uint64()), Region: "region-0"})
		assert.Assert(t, refusal == nil)
	})
	assert.Assert(t, allocated < 40, "%.0f allocations for one request", allocated)
}

var sizes = []int{100, 726, 10_000, 20_000}

func BenchmarkChoose(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := placement.NewBalancer("vm", "region-0")
			balancer.SetTargets(manyTargets(n))
			now := time.Unix(1000, 0)
			b.ReportAllocs()
			for i := range b.N {
				balancer.Choose(now, placement.Request{Service: "service-0", Key: fmt.Sprint(i), Region: "region-0"})
			}
		})
	}
}

func BenchmarkUpdateOneTarget(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := manyTargets(n)
			balancer := placement.NewBalancer("vm", "region-0")
			balancer.SetTargets(all)
			b.ReportAllocs()
			for i := range b.N {
				target := all[i%n : i%n+1]
				target[0].Closed = !target[0].Closed
				balancer.UpdateTargets(target, nil)
			}
		})
	}
}
