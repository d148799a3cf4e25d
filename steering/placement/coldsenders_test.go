package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Guards against a cold target that gets more than its rate because VMs beyond those that share it
// send as well, and against one that gets next to nothing because the share lies with VMs that have
// no callers.
func TestOnlyTheGivenVMsSendToColdTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := placement.Target{Name: "t", Generation: 1, Service: "s", Zone: "a", Region: "r", Slots: 4, ColdUntil: now.Add(time.Minute), ColdRate: 100}
	sends := func(vm steering.VM, sharing ...steering.VM) bool {
		b := placement.NewBalancer(vm, "r")
		b.SetPeers(map[steering.Region][]steering.VM{"r": sharing})
		b.SetTargets([]placement.Target{cold})
		_, refusal := b.Choose(now, placement.Request{Service: "s", Key: "k", Region: "r"})
		return refusal == nil
	}
	assert.Assert(t, sends("a", "a", "b", "c"))
	assert.Assert(t, sends("b", "a", "b", "c"))
	assert.Assert(t, !sends("d", "a", "b", "c"))
	assert.Assert(t, !sends("a"))
}
