package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/allowance"
)

// totals adds up the results of the requests of all workspaces.
func (f *fleet) totals() (asked, refused, refusedBelowLimit int) {
	for _, s := range f.workspaces {
		asked, refused, refusedBelowLimit = asked+s.asked, refused+s.refused, refusedBelowLimit+s.refusedBelowLimit
	}
	return asked, refused, refusedBelowLimit
}

func (f *fleet) assertLimits(t assert.TestingT, what string) {
	for n, s := range f.workspaces {
		if over := f.excess(s, s.limit, 0); over > 0 {
			assert.Assert(t, false, "%s: workspace %d with a limit of %.0f requests per second ran %.0f more than its limit and slack allow", what, n, s.limit.Rate, over)
		}
	}
}

var sizes = []struct{ vms, workspaces int }{{12, 88}, {91, 88}, {195, 88}}

// Guards against refusals of workspaces whose demand is within their limit.
func TestNothingIsRefusedWithinTheLimit(t *testing.T) {
	for _, size := range sizes {
		f := newFleet(1, size.vms, size.workspaces, 2000)
		f.runTraffic(12 * time.Second)
		asked, refused, belowLimit := f.totals()
		f.assertLimits(t, "quiet")
		t.Logf("%d VMs: %d asked, %d refused, %d below the limit, %.1f messages and %.0f bytes per VM and second", size.vms, asked, refused, belowLimit,
			float64(f.messages)/12/float64(size.vms), float64(f.bytes)/12/float64(size.vms))
		assert.Check(t, belowLimit*500 <= asked, "%d VMs: %d of %d requests within the limit were refused", size.vms, belowLimit, asked)
	}
}

// Guards against a workspace, large or small, that sends many times its usual demand and is
// admitted well above or below its limit.
func TestHotWorkspaceGetsItsLimit(t *testing.T) {
	for _, size := range sizes {
		for _, hot := range []int{0, 3, 20, 87} {
			f := newFleet(2, size.vms, size.workspaces, 2000)
			f.runTraffic(4 * time.Second)
			s := f.workspaces[hot]
			usual := s.demand
			s.demand *= 7.5
			from := len(s.runs)
			f.runTraffic(10 * time.Second)
			f.assertLimits(t, "hot")
			got := float64(len(s.runs)-from) / 10
			t.Logf("%d VMs, workspace %d: limit %.1f, demand %.1f, ran %.1f requests per second", size.vms, hot, s.limit.Rate, s.demand, got)
			assert.Check(t, got >= 0.85*s.limit.Rate, "%d VMs, workspace %d: %.1f of %.1f requests per second ran", size.vms, hot, got, s.limit.Rate)
			s.demand = usual
		}
	}
}

// Guards against a fresh burst for each VM that starts, for each side of a network partition, and
// for a fleet that restarts as a whole, while the demand of a workspace is many times its limit.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"half of the VMs killed": func(f *fleet) {
			for i := 0; i < len(f.vms); i += 2 {
				f.kill(i)
			}
			f.runTraffic(failureDetectionDelay)
			f.updateMembership()
			f.runTraffic(time.Second)
			for i := 0; i < len(f.vms); i += 2 {
				f.restart(i)
			}
			f.runTraffic(200 * time.Millisecond)
			f.updateMembership()
		},
		"all lose power": func(f *fleet) {
			for i := range f.vms {
				f.kill(i)
			}
			f.runTraffic(time.Second)
			for i := range f.vms {
				f.restart(i)
			}
			f.updateMembership()
		},
		"a zone cut off": func(f *fleet) {
			for _, vm := range f.vms {
				if vm.zone == 2 {
					vm.partition = 1
				}
			}
			f.runTraffic(failureDetectionDelay)
			f.updateMembership()
			f.runTraffic(6 * time.Second)
			for _, vm := range f.vms {
				vm.partition = 0
			}
			f.runTraffic(300 * time.Millisecond)
			f.updateMembership()
		},
		"a third of the VMs alone": func(f *fleet) {
			for i, vm := range f.vms {
				if i%3 == 0 {
					vm.partition = i + 1
				}
			}
			f.runTraffic(failureDetectionDelay)
			f.updateMembership()
			f.runTraffic(6 * time.Second)
			for _, vm := range f.vms {
				vm.partition = 0
			}
			f.updateMembership()
		},
		"VMs paused": func(f *fleet) {
			for i := 0; i < len(f.vms); i += 5 {
				f.vms[i].paused = true
			}
			f.runTraffic(700 * time.Millisecond)
			for _, vm := range f.vms {
				vm.paused = false
			}
		},
		"one datagram in ten lost": func(f *fleet) { f.lossRate = 0.1 },
		"callers move to other VMs": func(f *fleet) {
			for _, s := range f.workspaces {
				for n := range s.callers {
					s.callers[n] = f.rng.IntN(len(f.vms))
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, hot := range []int{0, 20} {
				f := newFleet(3, 91, 88, 2000)
				f.workspaces[hot].demand *= 7.5
				f.runTraffic(3 * time.Second)
				fault(f)
				f.runTraffic(6 * time.Second)
				f.assertLimits(t, name)
			}
		})
	}
}

// Guards against VMs that go on admitting requests under the previous limit after the limit was
// lowered a lot.
func TestLoweredLimitHoldsAfterOneWindow(t *testing.T) {
	f := newFleet(4, 91, 88, 2000)
	s := f.workspaces[0]
	f.runTraffic(3 * time.Second)
	lower := allowance.Limit{Rate: s.limit.Rate / 8, Burst: s.limit.Burst / 8}
	s.limit = lower
	for _, vm := range f.vms {
		if a := vm.accounts[s]; a != nil {
			a.Configure(f.now, lower, len(f.vms))
		}
	}
	from := f.now.Sub(f.startedAt)
	f.runTraffic(10 * time.Second)
	over := f.excess(s, lower, from)
	assert.Assert(t, over <= 0, "%.0f more requests ran than the lowered limit allows", over)
	s.limit = allowance.Limit{Rate: lower.Rate * 16, Burst: lower.Burst * 16}
	for _, vm := range f.vms {
		if a := vm.accounts[s]; a != nil {
			a.Configure(f.now, s.limit, len(f.vms))
		}
	}
	f.runTraffic(time.Second)
	before := s.refused
	f.runTraffic(5 * time.Second)
	assert.Assert(t, s.refused == before, "%d requests were refused after the limit was raised", s.refused-before)
}

// Checks that the limit holds through any sequence of faults, one after the other, while the
// demand of one workspace is up to ten times its usual.
func TestLimitHoldsOverAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 24, 10, 300)
		hot := rapid.IntRange(0, 9).Draw(t, "hot")
		f.workspaces[hot].demand *= rapid.Float64Range(1, 10).Draw(t, "times")
		f.runTraffic(2 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				f.kill(i)
				f.runTraffic(failureDetectionDelay)
				f.updateMembership()
				f.restart(i)
				f.runTraffic(200 * time.Millisecond)
			case 1:
				f.vms[i].partition = i + 1
				f.runTraffic(failureDetectionDelay)
				f.updateMembership()
				f.runTraffic(time.Second)
				f.vms[i].partition = 0
			case 2:
				f.vms[i].paused = true
				f.runTraffic(500 * time.Millisecond)
				f.vms[i].paused = false
			case 3:
				f.lossRate = rapid.Float64Range(0, 0.1).Draw(t, "lost")
			}
			f.updateMembership()
			f.runTraffic(time.Second)
		}
		f.assertLimits(t, "any sequence")
	})
}
