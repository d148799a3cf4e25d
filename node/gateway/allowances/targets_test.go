package allowances_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
)

// floodTarget sends requests for a target to all VMs for d, one at a time on each, and returns how
// many were admitted.
func (g *group) floodTarget(t *testing.T, said func(vm int) placement.NamedLimit, d time.Duration) int {
	var ran atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(d)
	target := placement.Target{Name: "t1"}
	for n, s := range g.all {
		all.Go(func() {
			for time.Now().Before(end) {
				_, wait, ok := s.AdmitToTarget(t.Context(), target, said(n))
				if ok {
					ran.Add(1)
					wait = 5 * time.Millisecond
				}
				time.Sleep(wait)
			}
		})
	}
	all.Wait()
	return int(ran.Load())
}

// Guards against VMs that each keep the limit of a target by themselves, and against one that is
// used by the owner alone.
func TestVMsShareTheLimitOfATarget(t *testing.T) {
	g := newGroup(t, 8)
	limit := placement.NamedLimit{InForce: true, PerSecond: 10, HeardAt: time.Now()}
	ran := g.floodTarget(t, func(int) placement.NamedLimit { return limit }, 3*time.Second)
	assert.Assert(t, ran <= 35, "%d requests in 3 s, 30 may", ran)
	assert.Assert(t, ran >= 24, "%d requests in 3 s, 30 may", ran)
}

// Guards against a VM that goes on keeping a limit that has ended, because it gets no credit and so no
// response that says so.
func TestEndOfALimitReachesVMsWithoutCredits(t *testing.T) {
	g := newGroup(t, 6)
	target := placement.Target{Name: "t1"}
	limit := placement.NamedLimit{InForce: true, PerSecond: 0, HeardAt: time.Now()}
	g.floodTarget(t, func(int) placement.NamedLimit { return limit }, time.Second)
	for n, s := range g.all {
		if n == 0 {
			s.LimitHeard(target, placement.NamedLimit{HeardAt: time.Now()})
		}
	}
	time.Sleep(1200 * time.Millisecond)
	for n, s := range g.all {
		began := time.Now()
		newest, _, ok := s.AdmitToTarget(t.Context(), target, limit)
		assert.Check(t, ok && !newest.InForce, "VM %d still keeps the limit", n)
		assert.Check(t, time.Since(began) < allowance.OwnerTimeout/2, "VM %d waited %v", n, time.Since(began))
	}
}
