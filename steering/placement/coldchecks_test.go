package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Guards against too many requests from all VMs together to a target that becomes cold while the store is away, also
// if it answers no check for its queue is long.
func TestVMsTogetherFindOutThatATargetIsCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const coldRate, allowed = 10, 20
		n := rapid.IntRange(1, 12).Draw(t, "VMs")
		perSecond := rapid.IntRange(10, 40).Draw(t, "requests per second and target")
		silent := rapid.Bool().Draw(t, "silent")
		const targetCount = 3
		var names []steering.VM
		for i := range n {
			names = append(names, steering.VM(fmt.Sprint("vm-", i)))
		}
		all := targets(targetCount, "centro")
		for i := range all {
			all[i].Slots, all[i].ColdRate = 50, coldRate
		}
		vms := make([]*placement.Balancer, n)
		for i := range vms {
			vms[i] = newBalancer(names[i], all...)
			vms[i].SetPeers(map[steering.Region][]steering.VM{"centro": names})
			vms[i].SetStoreRead(start.Add(-time.Minute))
		}
		turned := start.Add(6 * time.Second)
		warm := turned.Add(3 * time.Second)
		var arrivals []time.Time
		step := time.Second / time.Duration(perSecond*targetCount)
		for k, now := 0, start; now.Before(warm); k, now = k+1, now.Add(step) {
			b := vms[rapid.IntRange(0, n-1).Draw(t, "VM")]
			r := request(fmt.Sprint("key-", k%60))
			for range targetCount {
				pick, refusal := b.Choose(now, r)
				if refusal != nil {
					break
				}
				b.RequestPlaced(now, pick.Target, r.Key, pick.Trial)
				isCold := pick.Target.Name == all[0].Name && !now.Before(turned)
				if b.ColdCheckDue(now, pick.Target) {
					left := time.Duration(0)
					if isCold && !silent {
						left = warm.Sub(now)
					}
					b.ColdChecked(now, pick.Target, left, !isCold || !silent)
				}
				if b.TurnedCold(now, pick) {
					b.NotSent(now, pick.Target, placement.Abandoned, pick.Trial)
					r.Tried = append(r.Tried, pick.Target.Name)
					continue
				}
				b.RequestEnded(now, pick.Target, placement.Report{Outcome: placement.Served, Latency: 100 * time.Millisecond}, pick.Trial, false)
				if isCold {
					arrivals = append(arrivals, now)
				}
				break
			}
		}
		for i := range arrivals {
			inSecond := 0
			for _, at := range arrivals[i:] {
				if at.Sub(arrivals[i]) < time.Second {
					inSecond++
				}
			}
			assert.Assert(t, inSecond <= allowed, "%d requests in a second from %d VMs", inSecond, n)
		}
	})
}

// Guards against checks while the store tells what is cold, at targets that get too little to matter, and at those
// that take any rate.
func TestColdChecksOnlyWhereTheyMatter(t *testing.T) {
	for name, c := range map[string]struct {
		away     bool
		coldRate float64
		every    time.Duration
		due      bool
	}{
		"store answers": {false, 10, 50 * time.Millisecond, false},
		"no cold rate":  {true, 0, 50 * time.Millisecond, false},
		"low rate":      {true, 10, 200 * time.Millisecond, false},
		"high rate":     {true, 10, 50 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			all := targets(1, "centro")
			all[0].ColdRate = c.coldRate
			b := newBalancer("vm", all...)
			due := false
			for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(c.every) {
				if !c.away {
					b.SetStoreRead(now)
				}
				pick, _ := serve(b, now, request("key"), placement.Served)
				due = due || b.ColdCheckDue(now, pick.Target)
			}
			assert.Equal(t, due, c.due)
		})
	}
}

// Guards against a burst at a cold target of another region: this VM sends it little, but its own region's VMs may send it what it may get.
func TestTargetOfAnotherRegionIsAskedBeforeTheFirstRequest(t *testing.T) {
	all := targets(1, "norte")
	all[0].ColdRate = 10
	b := newBalancer("vm", all...)
	b.SetStoreRead(start)
	assert.Assert(t, !b.ColdCheckDue(start.Add(placement.ColdKnownFor), all[0]))
	now := start.Add(placement.ColdKnownFor + time.Millisecond)
	assert.Assert(t, b.ColdCheckDue(now, all[0]))
	b.ColdChecked(now, all[0], 0, true)
	assert.Assert(t, !b.ColdCheckDue(now.Add(100*time.Millisecond), all[0]))
	assert.Assert(t, b.ColdCheckDue(now.Add(time.Second), all[0]))
}

// Guards against full traffic to a cold target from VMs that leave, each of which takes those of its region that stay for all that send.
func TestLeavingVMsCountAsSendersOfColdChecks(t *testing.T) {
	all := targets(1, "centro")
	all[0].ColdRate = 10
	for leaving, want := range []bool{false, true} {
		b := newBalancer("vm", all...)
		b.SetLeavingPeers(leaving)
		due := false
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(150 * time.Millisecond) {
			pick, _ := serve(b, now, request("key"), placement.Served)
			due = due || b.ColdCheckDue(now, pick.Target)
		}
		assert.Equal(t, due, want, "%d leave", leaving)
	}
}
