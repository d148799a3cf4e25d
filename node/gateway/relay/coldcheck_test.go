package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/standin/endpoint"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

// Guards against full traffic to a target that becomes cold while the store, which would say so, is away.
func TestTargetThatBecomesColdWhileTheStoreIsAway(t *testing.T) {
	const coldRate, allowed = 10, 20           // requests per second; what is allowed leaves room for VMs that do not agree
	vms := []steering.VM{"vm", "vm-1", "vm-2"} // each of the three is called vm
	first := newRig(t, 2, func(c *endpoint.Config) { c.Slots, c.Work = 12, 15*time.Millisecond })
	rigs := []*rig{first}
	for range len(vms) - 1 {
		rigs = append(rigs, newRigOf(t, first.targets, upstream.Dial, upstream.Dial))
	}
	var targets []placement.Target
	for n, e := range first.targets {
		targets = append(targets, placement.Target{Name: steering.Target(fmt.Sprint("target-", n)), Service: service, Address: e.Address(), Zone: "a", Region: "centro", Slots: 12, ColdRate: coldRate})
	}
	for _, g := range rigs {
		old := g.relay.Table()
		g.relay.SetTable(routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50, HealthPath: endpoint.HealthPath}}, old.Limits))
		g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
			b.SetPeers(map[steering.Region][]steering.VM{"centro": vms})
		})
		g.relay.SetTargets(targets)
		g.relay.SetStoreAge(5 * time.Second)
	}
	var asking sync.WaitGroup
	began, failed := time.Now(), 0
	var mu sync.Mutex
	coldAt := time.Time{}
	for n := 0; time.Since(began) < 3500*time.Millisecond; n++ {
		if n == 60 {
			coldAt = time.Now()
			first.targets[0].SetCold(3 * time.Second)
			first.targets[1].SetCold(0)
		}
		g := rigs[n%len(rigs)]
		asking.Go(func() {
			if got := g.askWithKey(fmt.Sprint(n%40), http.MethodGet, "/read/1", "", time.Second); got.status != http.StatusOK {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
		time.Sleep(14 * time.Millisecond) // 70 a second: 35 for each target
	}
	asking.Wait()
	most, times := 0, first.targets[0].ArrivalsAfter(coldAt)
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second && at.Before(coldAt.Add(3*time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	assert.Check(t, most <= allowed, "%d requests in a second to a cold target", most)
	assert.Check(t, failed < 30, "%d requests failed though the other target has room", failed)
	t.Log(most, "in a second;", failed, "failed;", first.targets[0].Checks(), "checks")
}

// Guards against health checks while the store tells what is cold.
func TestTargetsAreNotAskedWhileTheStoreAnswers(t *testing.T) {
	g := newRig(t, 1, nil)
	g.relay.SetStoreAge(time.Second)
	for range 30 {
		assert.Equal(t, g.ask(http.MethodGet, "/read/1", "", time.Second).status, http.StatusOK)
	}
	assert.Equal(t, g.targets[0].Checks(), 0)
}

// Guards against a warm target that gets no more than a cold one while the store is away, because its health path says that it is ill.
func TestIllTargetThatSaysItIsWarmIsNotCold(t *testing.T) {
	g := newRig(t, 1, nil)
	old := g.relay.Table()
	g.relay.SetTable(routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50, HealthPath: endpoint.HealthPath}}, old.Limits))
	g.relay.SetTargets([]placement.Target{{Name: "target-0", Service: service, Address: g.targets[0].Address(), Zone: "a", Region: "centro", Slots: 3, ColdRate: 1}})
	g.relay.SetStoreAge(5 * time.Second)
	g.targets[0].SetIll()
	for n := range 40 {
		assert.Check(t, g.ask(http.MethodGet, "/read/1", "", time.Second).status == http.StatusOK, "request %d", n)
	}
	assert.Check(t, g.targets[0].Checks() > 0)
}

// Guards against full traffic to a target that has become cold, from a VM that has just started or stood still while the store is away.
func TestTargetsAreAskedOnceTheReadIsTooOldWhateverTellsIt(t *testing.T) {
	for name, known := range map[string]func(*relay.Relay){
		"just started": func(*relay.Relay) {},
		"told before then": func(f *relay.Relay) {
			f.SetStoreAge(placement.ColdKnownFor - 50*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1, nil)
			old := g.relay.Table()
			g.relay.SetTable(routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50, HealthPath: endpoint.HealthPath}}, old.Limits))
			g.relay.SetTargets([]placement.Target{{Name: "target-0", Service: service, Address: g.targets[0].Address(), Zone: "a", Region: "centro", Slots: 3, ColdRate: 1}})
			known(g.relay)
			for range 20 {
				assert.Equal(t, g.ask(http.MethodGet, "/read/1", "", time.Second).status, http.StatusOK)
			}
			assert.Assert(t, g.targets[0].Checks() > 0)
		})
	}
}
