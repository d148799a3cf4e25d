package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

func declaredTarget(n int) Target {
	return Target{Name: steering.Target(fmt.Sprint("t-", n)), Generation: 1, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "a", Region: "r", Slots: 3}
}

func closedOf(b *Balancer, now time.Time) int { return b.Counts(now)[0].Closed }

// Guards against reopening a replaced target when the list of other targets changes. When a fifth
// of the targets crash and others start at their addresses, the old entries remain for a while; if
// each entry VM sends each of them a request that the new target refuses, and again after every
// update of the list, the retry budget runs out. 4,961 requests at 257 targets ended that way, from
// 17 VMs each, 557 of them from a VM that had already found the target replaced, and 3,414 callers
// were refused.
func TestReplacedTargetStaysClosedUntilItsEntryChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBalancer("vm", "r")
	all := []Target{declaredTarget(1), declaredTarget(2)}
	b.SetTargets(all)
	b.RequestPlaced(now, all[0], "", false)
	b.RequestEnded(now, all[0], Report{Outcome: Replaced}, false, false)
	b.SetTargets(append(all, declaredTarget(3)))
	assert.Equal(t, closedOf(b, now), 1, "a change of other targets must not open it")

	moved := declaredTarget(1)
	moved.Address = "10.0.9.9:80"
	b.SetTargets([]Target{moved, all[1]})
	assert.Equal(t, closedOf(b, now), 0, "its address has changed")

	b.MarkReplaced(now, []StartID{startIDOf(moved)})
	assert.Equal(t, closedOf(b, now), 1)
	moved.Generation = 2
	b.SetTargets([]Target{moved, all[1]})
	assert.Equal(t, closedOf(b, now), 0, "it has restarted")
}

// A replaced target that one entry VM found must be closed on others, which report it further for a
// limited time only.
func TestReplacedTargetsAreReportedForLimitedTime(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := NewBalancer("vm-1", "r"), NewBalancer("vm-2", "r")
	all := []Target{declaredTarget(1), declaredTarget(2)}
	first.SetTargets(all)
	second.SetTargets(all)
	first.RequestPlaced(now, all[1], "", false)
	first.RequestEnded(now, all[1], Report{Outcome: Replaced}, false, false)
	reported := first.ReplacedToReport(now)
	assert.DeepEqual(t, reported, []StartID{startIDOf(all[1])})

	now = now.Add(time.Second)
	second.MarkReplaced(now, append(reported, 17)) // one that it does not know
	assert.Equal(t, closedOf(second, now), 1)
	assert.DeepEqual(t, second.ReplacedToReport(now), reported)
	now = now.Add(time.Second)
	first.MarkReplaced(now, second.ReplacedToReport(now))
	assert.Equal(t, len(first.ReplacedToReport(now)), 0, "a known replacement must not be reported forever")
}

// The number of replaced targets in one heartbeat must be limited, however many there are, and a VM
// that receives all heartbeats must close all of these targets.
func TestManyReplacedTargetsAreAllReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		first, second := NewBalancer("vm-1", "r"), NewBalancer("vm-2", "r")
		var all []Target
		for n := range rapid.IntRange(1, 200).Draw(t, "targets") {
			all = append(all, declaredTarget(n))
		}
		first.SetTargets(all)
		second.SetTargets(all)
		gone := rapid.IntRange(1, len(all)).Draw(t, "replaced")
		for n := range gone {
			first.RequestPlaced(now, all[n], "", false)
			first.RequestEnded(now, all[n], Report{Outcome: Replaced}, false, false)
			if n%maxReplacedShared == maxReplacedShared-1 || n == gone-1 {
				reported := first.ReplacedToReport(now)
				assert.Assert(t, len(reported) <= maxReplacedShared)
				second.MarkReplaced(now, reported)
				now = now.Add(2 * replacedSharedFor)
			}
		}
		assert.Equal(t, closedOf(first, now), gone)
		assert.Equal(t, closedOf(second, now), gone)
	})
}
