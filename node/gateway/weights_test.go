package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/platform"
	"heatherlock/steering"
)

// weightOf returns the weight of a target as an entry VM has it in force, and the balancer that it follows.
func (s *testCluster) weightOf(v *vm, target steering.Target) (weight float64, from steering.VM) {
	result := s.status(v)
	for _, b := range result.Balancers {
		from = b.From
	}
	for _, service := range result.Services {
		for _, w := range service.Weights {
			if w.Target == target {
				return w.Weight, from
			}
		}
	}
	return 1, from
}

// sameWeights reports whether all VMs have the same weight of t1 below 1, of a balancer among them.
func (s *testCluster) sameWeights(all []*vm) bool {
	weight, from := s.weightOf(all[0], "t1")
	for _, v := range all[1:] {
		if w, f := s.weightOf(v, "t1"); w != weight || f != from {
			return false
		}
	}
	for _, v := range all {
		if v.settings.VM == from {
			return weight < 1
		}
	}
	return false
}

// Guards against VMs that order the targets of a key by different weights, so that keys run cold, at first and
// after the balancer has left, and against weights that are not in the store.
func TestAllVMsUseTheWeightsOfOneBalancer(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	for n := range 6 {
		s.addTarget(fmt.Sprint("u", n))
	}
	s.route("look", "safe")
	s.routes[len(s.routes)-1]["targetLatencyMs"] = 500
	s.apiKey = secret + "all"
	s.workspace("all", 1e6, s.apiKey)
	s.configure()
	for name, target := range s.targets {
		target.SetLoad("0,0,3")
		if name == "t1" {
			target.SetLoad("2,3,3")
		}
	}
	all := s.startAll(4)
	// requests sends requests of both routes, which differ in their latency objective.
	requests := func(to []*vm, d time.Duration) {
		var looking sync.WaitGroup
		looking.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				s.request(to[n%len(to)], fmt.Sprint("/look/", n))
				time.Sleep(10 * time.Millisecond)
			}
		})
		s.requestAll(to, 100, d)
		looking.Wait()
	}
	limit := time.Now().Add(20 * time.Second)
	for !s.sameWeights(all) && time.Now().Before(limit) {
		requests(all, time.Second)
	}
	assert.Assert(t, s.sameWeights(all))
	saved := func() bool { return len(s.store.Names("heatherlock-weights")) == 1 }
	for !saved() && time.Now().Before(limit) {
		requests(all, time.Second)
	}
	assert.Assert(t, saved(), "the weights are not in the store")

	_, balancer := s.weightOf(all[0], "t1")
	var rest []*vm
	for _, v := range all {
		if v.settings.VM == balancer {
			v.stop()
			assert.NilError(t, <-v.done)
		} else {
			rest = append(rest, v)
		}
	}
	followed := func() bool {
		_, from := s.weightOf(rest[0], "t1")
		return from != balancer && s.sameWeights(rest)
	}
	for limit = time.Now().Add(15 * time.Second); !followed() && time.Now().Before(limit); {
		requests(rest, time.Second)
	}
	assert.Assert(t, followed())

	for _, v := range rest {
		v.stop()
		assert.NilError(t, <-v.done)
	}
	w, _, err := platform.NewStore(s.address).Weights(context.Background(), "r")
	assert.NilError(t, err)
	assert.Assert(t, w.Eighths["t1"] < 8 && w.Eighths["t1"] > 0, "%v", w)
}

// Guards against weights and datagrams for services that need none: targets that do not report how slow
// their machines are, and routes of one kind.
func TestNoWeightsWhereNoneAreUsed(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.targets["t1"].SetLoad("2,3,3")
	all := s.startAll(2)
	s.requestAll(all, 60, 5*time.Second)
	for _, v := range all {
		assert.Equal(t, len(s.status(v).Balancers), 0)
		weight, _ := s.weightOf(v, "t1")
		assert.Equal(t, weight, 1.0)
		_, metrics := s.get(fmt.Sprintf("http://%s:%d/metrics", v.settings.IP, v.settings.MetricsPort))
		assert.Assert(t, !strings.Contains(metrics, "load_reports_sent"), "datagrams were sent")
	}
}
