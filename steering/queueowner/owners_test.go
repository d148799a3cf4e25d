package queueowner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/queueowner"
)

var now = time.Unix(1_700_000_000, 0)

func drawVMs(t *rapid.T) []queueowner.VM {
	all := make([]queueowner.VM, rapid.IntRange(1, 24).Draw(t, "VMs"))
	for i := range all {
		all[i] = queueowner.VM{Name: steering.VM(fmt.Sprint("vm-", i)), Zone: steering.Zone(fmt.Sprint("z", i%3)),
			Capacity: rapid.SampledFrom([]float64{0, 300, 2400}).Draw(t, "capacity")}
	}
	return all
}

// Guards against two VMs that both own a target, or none, while they see the same VMs as live.
func TestEachTargetHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawVMs(t)
		for n := range 40 {
			target, zone := steering.Target(fmt.Sprint("t", n)), steering.Zone(fmt.Sprint("z", n%3))
			owning, others := 0, 0
			for _, vm := range all {
				o := queueowner.New(vm.Name, all)
				if o.Owns(target, zone) {
					owning++
				}
				if owner, elsewhere := o.Elsewhere(now, target, zone); elsewhere {
					others++
					assert.Equal(t, owner.Zone, zone)
				}
			}
			inZone := 0
			for _, vm := range all {
				if vm.Zone == zone {
					inZone++
				}
			}
			assert.Equal(t, owning, min(inZone, 1))
			assert.Equal(t, others, len(all)*min(inZone, 1)-owning)
		}
	})
}

// Guards against targets that change their owner, and so lose what it knows of them, because another VM ended.
func TestEndOfAVMMovesItsTargetsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawVMs(t)
		ended := rapid.IntRange(0, len(all)-1).Draw(t, "ended")
		rest := append(append([]queueowner.VM{}, all[:ended]...), all[ended+1:]...)
		before, after := queueowner.New("self", all), queueowner.New("self", rest)
		for n := range 60 {
			target, zone := steering.Target(fmt.Sprint("t", n)), steering.Zone(fmt.Sprint("z", n%3))
			was, found := before.Of(target, zone)
			if !found || was.Name == all[ended].Name {
				continue
			}
			is, _ := after.Of(target, zone)
			assert.Equal(t, is.Name, was.Name)
		}
	})
}

// Guards against requests that keep going to a VM which does not take them.
func TestVMThatTookNoRequestIsAvoided(t *testing.T) {
	all := []queueowner.VM{{Name: "a", Zone: "z"}}
	o := queueowner.New("b", all)
	_, elsewhere := o.Elsewhere(now, "t", "z")
	assert.Assert(t, elsewhere)
	o.Avoid(now, "a")
	newer := queueowner.New("b", all)
	newer.TakeOver(o)
	_, elsewhere = newer.Elsewhere(now.Add(900*time.Millisecond), "t", "z")
	assert.Assert(t, !elsewhere)
	_, elsewhere = newer.Elsewhere(now.Add(time.Second), "t", "z")
	assert.Assert(t, elsewhere)
}
