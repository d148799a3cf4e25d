package fairshare_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/fairshare"
)

// flood lets five workspaces ask for 0.7 of the capacity, and then the first one for seven times its usual
// rate. It returns the smallest part of their requests that the others were served before and after.
func (f *fleet) flood(during func()) (before, after float64) {
	f.run(6 * time.Second)
	f.take()
	f.run(10 * time.Second)
	before = slices.Min(f.take()[1:])
	f.clients[0].rate *= 7
	f.run(3 * time.Second)
	f.take()
	if during != nil {
		during()
	}
	f.run(10 * time.Second)
	return before, slices.Min(f.parts()[1:])
}

// assertFull checks that the service ran at its capacity while it was divided.
func (f *fleet) assertFull(t *testing.T, d time.Duration) {
	t.Helper()
	served := 0
	for _, c := range f.clients {
		served += c.served
	}
	assert.Check(t, float64(served) >= 0.95*f.capacity()*d.Seconds(), "%d served", served)
}

// Guards against a workspace that takes the slots of all others by sending seven times its usual rate.
func TestFloodOfAWorkspaceDoesNotSlowOthers(t *testing.T) {
	for vms, slots := range map[int]int{1: 40, 3: 40, 12: 40, 195: 400} { // 195 VMs serve 2,000 requests a second
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(vms, 5, 0.7)
			f.resize(slots)
			f.divide = false
			before, after := f.flood(nil)
			t.Logf("undivided: %.3f before, %.3f after", before, after)
			assert.Check(t, after < 0.85, "the flood does no harm, so that this test shows nothing")

			f = newFleet(vms, 5, 0.7)
			f.resize(slots)
			before, after = f.flood(nil)
			t.Logf("divided: %.3f before, %.3f after, flood %.3f", before, after, f.parts()[0])
			assert.Check(t, after >= before-0.07, "%.3f before, %.3f after", before, after)
			for _, c := range f.clients[1:] {
				assert.Check(t, c.held == 0 || vms == 195 && c.held < c.asked/100, "%d of %d requests of %s held back within its share", c.held, c.asked, c.name)
			}
			f.assertFull(t, 10*time.Second)
		})
	}
}

// Guards against requests that are held back although nobody needs the room: a share that is not used, and
// a service that is no longer short.
func TestUnusedRoomGoesToTheFlood(t *testing.T) {
	f := newFleet(3, 5, 0.7)
	f.flood(nil)
	for _, c := range f.clients[1:] {
		c.rate /= 10
	}
	f.clients[0].rate *= 0.85 // which, with the others, is 0.9 of the capacity
	f.run(3 * time.Second)
	f.take()
	f.run(10 * time.Second)
	assert.Check(t, f.parts()[0] >= 0.95, "%.3f", f.parts()[0])
}

// Guards against a flood of less urgent requests that holds back more urgent ones.
func TestMoreUrgentRequestsAreNotHeldBackForOthers(t *testing.T) {
	f := newFleet(3, 5, 0.7)
	f.clients[0].rank = 1
	f.clients[1].rank = 1
	f.flood(nil)
	for _, c := range f.clients[2:] {
		assert.Check(t, c.held == 0, "%d of %d of %s", c.held, c.asked, c.name)
	}
	assert.Check(t, f.clients[0].held > 0)
	assert.Check(t, f.parts()[1] > f.parts()[0]+0.2, "%v", f.parts())
}

// Guards against a division that depends on reports: they are cut, late, corrupt or from another view of
// the fleet, or a VM starts again and knows nothing.
func TestDivisionHoldsWithoutReports(t *testing.T) {
	corrupt := func(f *fleet) func(int, int, []byte) (time.Duration, []byte) {
		return func(_, _ int, data []byte) (time.Duration, []byte) {
			changed := slices.Clone(data[:f.random.IntN(len(data)+1)])
			for range 3 {
				if len(changed) > 0 {
					changed[f.random.IntN(len(changed))] ^= byte(1 + f.random.IntN(255))
				}
			}
			return 0, changed
		}
	}
	for name, change := range map[string]func(f *fleet){
		"cut": func(f *fleet) { f.deliver = func(int, int, []byte) (time.Duration, []byte) { return 0, nil } },
		"late": func(f *fleet) {
			f.deliver = func(_, _ int, data []byte) (time.Duration, []byte) {
				return time.Duration(f.random.Int64N(int64(4 * time.Second))), data
			}
		},
		"corrupt": func(f *fleet) { f.deliver = corrupt(f) },
		"views differ": func(f *fleet) {
			f.deliver = func(from, to int, data []byte) (time.Duration, []byte) {
				if (from < 4) != (to < 7) {
					return 0, nil
				}
				return 0, data
			}
		},
		"restart": func(f *fleet) { f.dividers[3] = fairshare.NewDivider(1000) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(12, 5, 0.7)
			before, after := f.flood(func() { change(f) })
			t.Logf("%.3f before, %.3f after, flood %.3f, %d reports unreadable", before, after, f.parts()[0], f.errs)
			assert.Check(t, after >= before-0.1, "%.3f before, %.3f after", before, after)
			assert.Check(t, (f.errs > 0) == (name == "corrupt"), "%d reports unreadable", f.errs)
			f.assertFull(t, 10*time.Second)
		})
	}
}
