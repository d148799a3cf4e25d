package reach_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/reach"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// cutOff returns the links of a VM that was found to be cut off at the time.
func cutOff(t *testing.T, l *reach.Links, now time.Time) {
	t.Helper()
	assert.Assert(t, l.ConnectFailed(now, now.Add(-time.Millisecond), "t1"))
	assert.Assert(t, l.CheckEnded(now, 0, reach.SampleSize))
}

// Guards against a VM that takes a failed target for its own fault.
func TestFailedTargetIsNotTakenForACut(t *testing.T) {
	t.Run("others answer", func(t *testing.T) {
		var l reach.Links
		l.Answered(at(50 * time.Millisecond))
		assert.Check(t, !l.ConnectFailed(at(200*time.Millisecond), at(0), "t1"))
		assert.Check(t, !l.Overdue(at(300*time.Millisecond), at(0)))
	})
	t.Run("others accept connections", func(t *testing.T) {
		var l reach.Links
		assert.Check(t, l.ConnectFailed(at(200*time.Millisecond), at(0), "t1"))
		assert.Check(t, !l.CheckEnded(at(210*time.Millisecond), 1, reach.SampleSize-1))
		assert.Check(t, !l.CutOff())
		assert.Check(t, !l.ConnectFailed(at(400*time.Millisecond), at(300*time.Millisecond), "t1"), "checked too often")
	})
	t.Run("a connection was opened meanwhile", func(t *testing.T) {
		var l reach.Links
		assert.Check(t, l.ConnectFailed(at(200*time.Millisecond), at(0), "t1"))
		l.Opened(at(250 * time.Millisecond))
		assert.Check(t, !l.CheckEnded(at(400*time.Millisecond), 0, reach.SampleSize))
	})
	t.Run("no targets are known", func(t *testing.T) {
		var l reach.Links
		assert.Check(t, l.Overdue(at(200*time.Millisecond), at(0)))
		assert.Check(t, !l.CheckEnded(at(210*time.Millisecond), 0, 0))
	})
	t.Run("one target refuses connections all the time", func(t *testing.T) {
		var l reach.Links
		for n := range 20 {
			now := at(time.Duration(n) * 100 * time.Millisecond)
			l.Answered(now)
			assert.Check(t, !l.ConnectFailed(now, now.Add(-time.Millisecond), "t1"))
		}
	})
}

// Guards against a cut that is not noticed because open connections still carry responses.
func TestRefusedConnectionsAreCheckedWhileOthersAnswer(t *testing.T) {
	var l reach.Links
	l.Answered(at(200 * time.Millisecond))
	assert.Check(t, !l.ConnectFailed(at(200*time.Millisecond), at(0), "t1"))
	assert.Check(t, l.ConnectFailed(at(210*time.Millisecond), at(10*time.Millisecond), "t2"))
	assert.Check(t, l.CheckEnded(at(300*time.Millisecond), 0, reach.SampleSize))
	assert.Equal(t, l.TroubleSince(), at(0))
	l.Answered(at(400 * time.Millisecond))
	assert.Check(t, l.ConnectionsLive(at(450*time.Millisecond)))
	assert.Check(t, !l.ConnectionsLive(at(2*time.Second)), "silent connections count as live")
}

// Guards against a VM that goes back and forth between its own links and other VMs while cuts come in
// series, and against one that stays without help because it did so.
func TestRepeatedCutsAreHeld(t *testing.T) {
	var l reach.Links
	now := at(0)
	held := make([]time.Duration, 0, 6)
	for range 6 {
		cutOff(t, &l, now)
		since := now
		for now = now.Add(reach.ProbeInterval); !l.ProbeEnded(now, 1, true); now = now.Add(reach.ProbeInterval) {
		}
		held = append(held, now.Sub(since))
		now = now.Add(100 * time.Millisecond)
	}
	for n := 1; n < len(held); n++ {
		assert.Check(t, held[n] >= held[n-1] && held[n] <= 9*time.Second, "%v", held)
	}
	cutOff(t, &l, now)
	assert.Check(t, !l.ProbeEnded(now, 0, false))
	assert.Check(t, l.ProbeEnded(now, 1, false), "held although no VM passes its requests on")
}

func fleet(n int) []reach.Helper {
	var all []reach.Helper
	for i := range n {
		all = append(all, reach.Helper{VM: steering.VM(fmt.Sprint("vm-", i)), Region: steering.Region(fmt.Sprint("r", i%3)), Address: fmt.Sprint("10.0.0.", i), Capacity: 900})
	}
	return all
}

func anywhere(steering.Region) bool { return true }

// Guards against one VM that takes the requests of all VMs which are cut off.
func TestHelpersShareTheRequests(t *testing.T) {
	for _, size := range []int{12, 100, 986} {
		all := fleet(size)
		cut, left := all[:size/3], all[size/3:]
		load := make(map[steering.VM]int)
		for _, v := range cut {
			h := reach.NewHelpers(v.VM, v.Region, append([]reach.Helper(nil), left...), 0)
			for n := range 200 {
				helper, found := h.For(at(0), fmt.Sprint(v.VM, n), anywhere, nil)
				assert.Assert(t, found)
				assert.Equal(t, helper.Region, v.Region)
				load[helper.VM]++
			}
		}
		busiest := 0
		for _, n := range load {
			busiest = max(busiest, n)
		}
		mean := float64(200*len(cut)) / float64(len(left))
		t.Logf("%d VMs: busiest helper %.1f times the mean", size, float64(busiest)/mean)
		assert.Check(t, float64(busiest) <= 4*mean, "%d requests, mean %.0f", busiest, mean)
	}
}

// Guards against the few VMs that are left of a region taking more than they can forward while other
// regions have room.
func TestHelpersOfOtherRegionsTakeWhatARegionCannotBear(t *testing.T) {
	all := []reach.Helper{{VM: "a", Region: "r0", Capacity: 100}, {VM: "b", Region: "r1", Capacity: 1000}, {VM: "c", Region: "r2", Capacity: 1000}}
	h := reach.NewHelpers("self", "r0", all, 280)
	counts := make(map[steering.VM]int)
	for n := range 1000 {
		helper, _ := h.For(at(0), fmt.Sprint(n), anywhere, nil)
		counts[helper.VM]++
	}
	assert.Check(t, counts["a"] > 150 && counts["a"] < 350, "%v", counts)
	assert.Check(t, counts["b"] > 250 && counts["c"] > 250, "%v", counts)
}

// Guards against a helper that is not asked though it answers.
func TestHelperThatAnswersIsNoLongerAvoided(t *testing.T) {
	h := reach.NewHelpers("self", "r0", []reach.Helper{{VM: "a", Region: "r0"}}, 0)
	h.Avoid(at(0), "a")
	_, found := h.For(at(100*time.Millisecond), "id", anywhere, nil)
	assert.Check(t, !found)
	h.Answered("a")
	_, found = h.For(at(100*time.Millisecond), "id", anywhere, nil)
	assert.Check(t, found)
}

// Guards against requests that go to a region where they may not run, to a VM that has already refused
// them, or to one that could not help a moment ago.
func TestHelperIsAllowedAndNotTried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(0, 12).Draw(t, "size"))
		h := reach.NewHelpers("self", "r0", append([]reach.Helper(nil), all...), rapid.Float64Range(0, 5000).Draw(t, "demand"))
		home := steering.Region(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "home")))
		var tried []steering.VM
		usable := make(map[steering.VM]bool)
		for _, v := range all {
			usable[v.VM] = v.Region == home
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				tried = append(tried, v.VM)
				usable[v.VM] = false
			case 1:
				h.Avoid(at(0), v.VM)
				usable[v.VM] = false
			}
		}
		left := 0
		for _, ok := range usable {
			if ok {
				left++
			}
		}
		helper, found := h.For(at(500*time.Millisecond), rapid.String().Draw(t, "id"), func(r steering.Region) bool { return r == home }, tried)
		assert.Check(t, found == (left > 0))
		assert.Check(t, !found || usable[helper.VM], "%v", helper)
	})
}
