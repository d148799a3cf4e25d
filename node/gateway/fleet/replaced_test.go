package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

// testVM is an entry VM that reports replaced targets and learns of them.
type testVM struct {
	mu       sync.Mutex
	balancer *placement.Balancer
	fleet    *Fleet
}

func (k *testVM) closedTargets() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.balancer.Counts(time.Now())[0].Closed
}

// Checks the bound in the largest deployment: once one of 195 VMs finds that a target was replaced,
// none of them sends it requests a second later. Before heartbeats reported this, each VM found out
// by a request of its own, or when the target's entry expired after 4.5 s.
func TestReplacedTargetIsKnownToAll(t *testing.T) {
	const size, zones = 195, 9
	const bound = time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &network{conns: make(map[string]*memoryConn)}
		target := placement.Target{Name: "t-1", Generation: 1, Service: "s", Address: "10.9.9.9:80", Zone: "zone-0", Region: "here", Slots: 3}
		var all []*testVM
		var records []Member
		for i := range size {
			self := Member{Name: steering.VM(fmt.Sprint("vm-", i)), Zone: steering.Zone(fmt.Sprint("zone-", i%zones)), Region: "here",
				Peer: fmt.Sprintf("10.0.%d.%d:7620", i/250, i%250+1), Control: "c", Callers: "c"}
			k := &testVM{balancer: placement.NewBalancer(self.Name, "here")}
			k.balancer.SetTargets([]placement.Target{target})
			k.fleet = New(Config{Self: self, Log: log.NewNopLogger(), OnMembersChange: func() {}, Suspects: func(bool) []poison.Fact { return nil },
				FillBeat: func(b *Beat) {
					k.mu.Lock()
					defer k.mu.Unlock()
					b.Serving, b.Replaced = true, k.balancer.ReplacedToReport(time.Now())
				},
				HandleBeat: func(b Beat) {
					k.mu.Lock()
					defer k.mu.Unlock()
					k.balancer.MarkReplaced(time.Now(), b.Replaced)
				}}, w.listen(self.Peer))
			k.fleet.Add(records)
			records = append(records, self)
			all = append(all, k)
			go func() {
				time.Sleep(time.Duration(i%300) * time.Millisecond)
				k.fleet.Run(ctx)
			}()
		}
		time.Sleep(5 * time.Second)
		all[17].mu.Lock()
		all[17].balancer.RequestPlaced(time.Now(), target, "", false)
		all[17].balancer.RequestEnded(time.Now(), target, placement.Report{Outcome: placement.Replaced}, false, false)
		all[17].mu.Unlock()
		began := time.Now()
		known := 0
		for known < size && time.Since(began) < 5*time.Second {
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			known = 0
			for _, k := range all {
				known += k.closedTargets()
			}
		}
		took := time.Since(began)
		assert.Assert(t, known == size && took <= bound, "%d of %d VMs know after %v", known, size, took)
		t.Logf("known to all after %v", took)
		cancel()
		synctest.Wait()
	})
}
