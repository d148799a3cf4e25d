package allowance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// A target that names a limit may get in any limitWindow limitFactor times what it allows, and
// limitSlack requests, from all VMs together.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// targetRates are the limits of the targets in these tests, in requests per second.
var targetRates = []float64{0.5, 2.6, 10, 50}

// newTargetFleet returns a fleet whose workspaces stand for targets that name limits, each with
// five times the demand that it takes, from callers of all VMs.
func newTargetFleet(seed uint64, vms int) *fleet {
	f := newFleet(seed, vms, len(targetRates), 1)
	f.slack = allowance.Slack{}
	for _, vm := range f.vms {
		f.resetState(vm)
	}
	f.updateMembership()
	for n, s := range f.workspaces {
		s.id = allowance.TargetID(steering.Target(fmt.Sprint("t", n)), 1)
		s.limit, s.demand, s.callers = allowance.TargetLimit(targetRates[n]), 5*targetRates[n], nil
		for i := range vms {
			s.callers = append(s.callers, i)
		}
	}
	return f
}

// mostRuns returns the largest number of requests in any limitWindow.
func (s *simWorkspace) mostRuns() int {
	most, first := 0, 0
	for n, at := range s.runs {
		for at-s.runs[first] >= limitWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func (f *fleet) assertTargetLimits(t assert.TestingT, what string) {
	for _, s := range f.workspaces {
		allowed := s.limit.Rate*limitFactor*limitWindow.Seconds() + limitSlack
		assert.Check(t, float64(s.mostRuns()) <= allowed, "%s: %d requests in %v for a limit of %.1f, allowed %.0f", what, s.mostRuns(), limitWindow, s.limit.Rate, allowed)
	}
}

// Guards against limits of targets that grow with the number of VMs, or that are hardly used because
// the VMs that hold credits have no requests.
func TestLimitOfATargetIsKeptAndUsedAtAnySize(t *testing.T) {
	for _, vms := range []int{12, 100, 986} {
		f := newTargetFleet(1, vms)
		f.runTraffic(20 * time.Second)
		f.assertTargetLimits(t, fmt.Sprint(vms, " VMs"))
		for _, s := range f.workspaces {
			used := float64(len(s.runs)) / (20 * s.limit.Rate)
			t.Logf("%d VMs, limit %.1f: %.2f of it used, at most %d in %v", vms, s.limit.Rate, used, s.mostRuns(), limitWindow)
			assert.Check(t, used >= 0.9, "%d VMs: %.2f of a limit of %.1f used", vms, used, s.limit.Rate)
		}
	}
}

// Guards against limits of targets that are exceeded when owners are lost, when two VMs act as owner
// for a time, or when messages are late or lost.
func TestLimitOfATargetHoldsThroughFaults(t *testing.T) {
	for _, vms := range []int{12, 100, 986} {
		for name, fault := range map[string]func(f *fleet){
			"a third of the VMs killed": func(f *fleet) {
				for i := 0; i < vms; i += 3 {
					f.kill(i)
				}
				f.runTraffic(failureDetectionDelay)
				f.updateMembership()
				f.runTraffic(2 * time.Second)
				for i := 0; i < vms; i += 3 {
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
				f.runTraffic(3 * time.Second)
				for _, vm := range f.vms {
					vm.partition = 0
				}
				f.updateMembership()
			},
			"views differ":             func(f *fleet) { f.updateSomeMemberships() },
			"VMs paused":               func(f *fleet) { f.pauseSome(700 * time.Millisecond) },
			"one datagram in ten lost": func(f *fleet) { f.lossRate = 0.1 },
		} {
			t.Run(fmt.Sprint(name, ", ", vms), func(t *testing.T) {
				t.Parallel()
				f := newTargetFleet(2, vms)
				f.runTraffic(4 * time.Second)
				fault(f)
				f.runTraffic(5 * time.Second)
				f.assertTargetLimits(t, name)
			})
		}
	}
}

// Guards against credits that are lent twice, or refused, once VMs have forgotten their accounts of a limit
// that they had not used for a time.
func TestLimitOfATargetHoldsAfterAQuietTime(t *testing.T) {
	for _, vms := range []int{12, 84, 300, 986} {
		for _, demand := range []float64{12, 40, 200} {
			t.Run(fmt.Sprint(vms, " VMs, ", demand, " requests/s"), func(t *testing.T) {
				t.Parallel()
				f := newTargetFleet(1, vms)
				for _, s := range f.workspaces {
					s.demand = demand
				}
				f.runTraffic(12 * time.Second)
				f.advance(32 * time.Second)
				for _, s := range f.workspaces {
					s.runs = nil
				}
				f.runTraffic(20 * time.Second)
				f.assertTargetLimits(t, "after a quiet time")
				for _, s := range f.workspaces {
					used := float64(len(s.runs)) / (20 * s.limit.Rate)
					allowed := 1 + s.limit.Burst/(20*s.limit.Rate)
					assert.Check(t, used <= allowed, "%.2f of a limit of %.1f used, at most %.2f accrues", used, s.limit.Rate, allowed)
					assert.Check(t, used >= 0.9 || s.demand < 4*s.limit.Rate, "%.2f of a limit of %.1f used", used, s.limit.Rate)
				}
			})
		}
	}
}

// Guards against two VMs that own the same limit for as long as a part of the VMs does not see one of them.
func TestLimitOfATargetHoldsWhileViewsDiffer(t *testing.T) {
	for _, vms := range []int{12, 96, 986} {
		for _, unseen := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint(vms, " VMs, ", unseen), func(t *testing.T) {
				t.Parallel()
				f := newTargetFleet(2, vms)
				f.runTraffic(4 * time.Second)
				f.hideOwners()
				f.schedule(viewsCompared, f.lendAgreeingShares)
				f.runTraffic(unseen)
				f.updateMembership()
				f.runTraffic(5 * time.Second)
				f.assertTargetLimits(t, "views differ")
			})
		}
	}
}

// Guards against credits that come from a share of the fleet which falls and rises again and again.
func TestShareThatChangesOftenLendsNothingBeyondTheLimit(t *testing.T) {
	f := newTargetFleet(1, 12)
	var flap func(share float64)
	flap = func(share float64) {
		for _, vm := range f.vms {
			vm.ledger.SetFleetShare(f.now, share)
		}
		f.schedule(100*time.Millisecond, func() { flap(1.1 - share) })
	}
	flap(0.1)
	f.runTraffic(20 * time.Second)
	f.assertTargetLimits(t, "a share that changes often")
}

// hideOwners makes every second VM lose sight of the VMs that own limits, but for these themselves.
func (f *fleet) hideOwners() {
	owners := make(map[steering.VM]bool)
	for _, s := range f.workspaces {
		owner, _ := allowance.OwnerOf(s.id, f.vms[0].live)
		owners[owner] = true
	}
	for i, vm := range f.vms {
		if i%2 == 0 && !owners[vm.name] {
			vm.live = slices.DeleteFunc(slices.Clone(vm.live), func(c allowance.Candidate) bool { return owners[c.VM] })
		}
	}
}

// viewsCompared is how long it takes until a VM goes by other VMs' views: a heartbeat over the longest link, the
// time for which views may differ, and the time between two comparisons.
const viewsCompared = 1400 * time.Millisecond

// lendAgreeingShares lets each VM lend the part of the fleet that sees the same VMs as it does.
func (f *fleet) lendAgreeingShares() {
	view := func(vm *simVM) string { return fmt.Sprint(vm.live) }
	sharing := make(map[string]int)
	for _, vm := range f.vms {
		sharing[view(vm)]++
	}
	for _, vm := range f.vms {
		vm.ledger.SetFleetShare(f.now, float64(sharing[view(vm)])/float64(len(f.vms)))
	}
}

// Guards against VMs that get no credits, because they ask again before the reply of a distant owner arrives.
func TestVMsFarFromTheOwnerGetCredits(t *testing.T) {
	assertUsedFromAfar(t, 20*time.Millisecond)
	assertUsedFromAfar(t, 35*time.Millisecond)
}

// Guards against limits that are hardly used from other regions at twice the distance.
func TestVMsTwiceAsFarFromTheOwnerGetCredits(t *testing.T) {
	assertUsedFromAfar(t, 70*time.Millisecond)
}

// assertUsedFromAfar checks limits with requests from other regions than the owners' alone.
func assertUsedFromAfar(t *testing.T, delay time.Duration) {
	f := newTargetFleet(1, 84)
	f.regionDelay = delay
	for _, s := range f.workspaces {
		owner, _ := allowance.OwnerOf(s.id, f.vms[0].live)
		at := slices.IndexFunc(f.vms, func(vm *simVM) bool { return vm.name == owner })
		s.callers = slices.DeleteFunc(s.callers, func(i int) bool { return f.vms[i].zone%regionCount == f.vms[at].zone%regionCount })
	}
	f.runTraffic(20 * time.Second)
	f.assertTargetLimits(t, delay.String())
	for _, s := range f.workspaces {
		used := float64(len(s.runs)) / (20 * s.limit.Rate)
		assert.Check(t, used >= 0.9, "%v: %.2f of a limit of %.1f used", delay, used, s.limit.Rate)
	}
}

// updateSomeMemberships makes every second VM lose sight of a zone, so that two VMs own the same
// limit for a second.
func (f *fleet) updateSomeMemberships() {
	for i, vm := range f.vms {
		if i%2 == 0 {
			vm.live = nil
			for _, other := range f.vms {
				if other.zone != 3 {
					vm.live = append(vm.live, allowance.Candidate{VM: other.name, Hash: allowance.HashOf(other.name), Weight: 1})
				}
			}
		}
	}
	f.runTraffic(time.Second)
	f.updateMembership()
}

// pauseSome pauses every fifth VM for d.
func (f *fleet) pauseSome(d time.Duration) {
	for i := 0; i < len(f.vms); i += 5 {
		f.vms[i].paused = true
	}
	f.runTraffic(d)
	for _, vm := range f.vms {
		vm.paused = false
	}
}

// Measures what the credits of many targets with limits cost in messages: a tenth of 10,002 targets,
// and four requests per second and VM for them.
func TestCostOfManyLimitedTargets(t *testing.T) {
	const vms, targets, perVM, seconds = 986, 1000, 4, 5
	f := newFleet(3, vms, targets, vms*perVM)
	f.slack = allowance.Slack{}
	for _, vm := range f.vms {
		f.resetState(vm)
	}
	f.updateMembership()
	for n, s := range f.workspaces {
		s.id, s.limit, s.demand = allowance.TargetID(steering.Target(fmt.Sprint("t", n)), 1), allowance.TargetLimit(2.6), vms*perVM/targets
		s.callers = s.callers[:0]
		for i := range vms {
			s.callers = append(s.callers, i)
		}
	}
	f.runTraffic(time.Second)
	f.messages, f.bytes = 0, 0
	f.runTraffic(seconds * time.Second)
	f.assertTargetLimits(t, "many targets")
	bytes := float64(f.bytes) / vms / seconds
	t.Logf("%.1f messages and %.0f bytes per VM and second", float64(f.messages)/vms/seconds, bytes)
	assert.Check(t, bytes < 1024, "%.0f bytes per VM and second", bytes)
}
