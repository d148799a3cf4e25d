package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/allowance"
)

// sums adds up what became of all requests.
func (f *fleet) sums() (asked, refused, below int) {
	for _, s := range f.spaces {
		asked, refused, below = asked+s.asked, refused+s.refused, below+s.below
	}
	return asked, refused, below
}

func (f *fleet) holds(t assert.TestingT, what string) {
	for n, s := range f.spaces {
		if over := f.excess(s, s.limit, 0); over > 0 {
			assert.Assert(t, false, "%s: workspace %d of %.0f requests a second ran %.0f more than its limit allows with its slack", what, n, s.limit.Rate, over)
		}
	}
}

var sizes = []struct{ vms, spaces int }{{12, 88}, {91, 88}, {195, 88}}

// Guards against workspaces that are refused though they ask less than they may.
func TestNothingIsRefusedWithinTheLimit(t *testing.T) {
	for _, size := range sizes {
		f := newFleet(1, size.vms, size.spaces, 2000)
		f.driveAll(12 * time.Second)
		asked, refused, below := f.sums()
		f.holds(t, "quiet")
		t.Logf("%d VMs: %d asked, %d refused, %d below the limit, %.1f messages and %.0f bytes a VM and second", size.vms, asked, refused, below,
			float64(f.messages)/12/float64(size.vms), float64(f.bytes)/12/float64(size.vms))
		assert.Check(t, below*500 <= asked, "%d VMs: %d of %d requests within the limit were refused", size.vms, below, asked)
	}
}

// Guards against a workspace that sends many times its usual and gets more than its limit,
// or less, whichever its size.
func TestHotWorkspaceGetsItsLimit(t *testing.T) {
	for _, size := range sizes {
		for _, hot := range []int{0, 3, 20, 87} {
			f := newFleet(2, size.vms, size.spaces, 2000)
			f.driveAll(4 * time.Second)
			s := f.spaces[hot]
			usual := s.demand
			s.demand *= 7.5
			from := len(s.runs)
			f.driveAll(10 * time.Second)
			f.holds(t, "hot")
			got := float64(len(s.runs)-from) / 10
			t.Logf("%d VMs, workspace %d: limit %.1f, asked %.1f, ran %.1f a second", size.vms, hot, s.limit.Rate, s.demand, got)
			assert.Check(t, got >= 0.85*s.limit.Rate, "%d VMs, workspace %d: %.1f of %.1f a second ran", size.vms, hot, got, s.limit.Rate)
			s.demand = usual
		}
	}
}

// Guards against a fresh burst for each VM that starts, for each side of a cut, and for a
// whole fleet that starts again, while a workspace asks many times what it may.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"half of the VMs killed": func(f *fleet) {
			for i := 0; i < len(f.vms); i += 2 {
				f.kill(i)
			}
			f.driveAll(noticeAfter)
			f.look()
			f.driveAll(time.Second)
			for i := 0; i < len(f.vms); i += 2 {
				f.restart(i)
			}
			f.driveAll(200 * time.Millisecond)
			f.look()
		},
		"all lose power": func(f *fleet) {
			for i := range f.vms {
				f.kill(i)
			}
			f.driveAll(time.Second)
			for i := range f.vms {
				f.restart(i)
			}
			f.look()
		},
		"a zone cut off": func(f *fleet) {
			for _, vm := range f.vms {
				if vm.zone == 2 {
					vm.island = 1
				}
			}
			f.driveAll(noticeAfter)
			f.look()
			f.driveAll(6 * time.Second)
			for _, vm := range f.vms {
				vm.island = 0
			}
			f.driveAll(300 * time.Millisecond)
			f.look()
		},
		"a third of the VMs alone": func(f *fleet) {
			for i, vm := range f.vms {
				if i%3 == 0 {
					vm.island = i + 1
				}
			}
			f.driveAll(noticeAfter)
			f.look()
			f.driveAll(6 * time.Second)
			for _, vm := range f.vms {
				vm.island = 0
			}
			f.look()
		},
		"VMs paused": func(f *fleet) {
			for i := 0; i < len(f.vms); i += 5 {
				f.vms[i].paused = true
			}
			f.driveAll(700 * time.Millisecond)
			for _, vm := range f.vms {
				vm.paused = false
			}
		},
		"one datagram in ten lost": func(f *fleet) { f.lossy = 0.1 },
		"callers move to other VMs": func(f *fleet) {
			for _, s := range f.spaces {
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
				f.spaces[hot].demand *= 7.5
				f.driveAll(3 * time.Second)
				fault(f)
				f.driveAll(6 * time.Second)
				f.holds(t, name)
			}
		})
	}
}

// Guards against a limit that was lowered far and goes on being used up as before.
func TestLoweredLimitHoldsAfterOneWindow(t *testing.T) {
	f := newFleet(4, 91, 88, 2000)
	s := f.spaces[0]
	f.driveAll(3 * time.Second)
	lower := allowance.Limit{Rate: s.limit.Rate / 8, Burst: s.limit.Burst / 8}
	s.limit = lower
	for _, vm := range f.vms {
		if a := vm.accounts[s]; a != nil {
			a.Configure(f.now, lower, len(f.vms))
		}
	}
	from := f.now.Sub(f.began)
	f.driveAll(10 * time.Second)
	over := f.excess(s, lower, from)
	assert.Assert(t, over <= 0, "%.0f more ran than the lowered limit allows", over)
	s.limit = allowance.Limit{Rate: lower.Rate * 16, Burst: lower.Burst * 16}
	for _, vm := range f.vms {
		if a := vm.accounts[s]; a != nil {
			a.Configure(f.now, s.limit, len(f.vms))
		}
	}
	f.driveAll(time.Second)
	before := s.refused
	f.driveAll(5 * time.Second)
	assert.Assert(t, s.refused == before, "%d refused after the limit was raised", s.refused-before)
}

// The limit holds over any sequence of faults that come one after the other, and half of
// what it allows is used by callers that ask for more.
func TestLimitHoldsOverAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 24, 10, 300)
		hot := rapid.IntRange(0, 9).Draw(t, "hot")
		f.spaces[hot].demand *= rapid.Float64Range(1, 10).Draw(t, "times")
		f.driveAll(2 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			i := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				f.kill(i)
				f.driveAll(noticeAfter)
				f.look()
				f.restart(i)
				f.driveAll(200 * time.Millisecond)
			case 1:
				f.vms[i].island = i + 1
				f.driveAll(noticeAfter)
				f.look()
				f.driveAll(time.Second)
				f.vms[i].island = 0
			case 2:
				f.vms[i].paused = true
				f.driveAll(500 * time.Millisecond)
				f.vms[i].paused = false
			case 3:
				f.lossy = rapid.Float64Range(0, 0.1).Draw(t, "lost")
			}
			f.look()
			f.driveAll(time.Second)
		}
		f.holds(t, "any sequence")
	})
}
