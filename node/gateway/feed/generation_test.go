package feed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
)

// entryOf returns the entry that a process of a target with the given generation has written.
func entryOf(name string, generation steering.Generation, beat int64, leaving bool) platform.Target {
	t := target(name, beat, leaving)
	t.Generation = generation
	return t
}

// Guards against a restarted target that gets no requests for as long as its previous process ran,
// or that gets requests while it leaves. A target counts its heartbeats from 1 again after a
// restart, and the lower count was taken for an older state of the entry.
func TestRestartedTargetCountsHeartbeatsAnew(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{entryOf("a", 100, 50, true)}, 10))
	s.MarkRead(start)
	assert.Assert(t, s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: entryOf("a", 200, 1, false)}}, 11)))
	assert.Assert(t, !placedByName(s)["a"].Closed)
	assert.Equal(t, placedByName(s)["a"].Generation, steering.Generation(200))
	assert.Assert(t, s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: entryOf("a", 200, 2, true)}}, 12)))
	assert.Assert(t, placedByName(s)["a"].Closed)
}

// Guards against requests to a process of a target that has ended. The store may complete a write
// whose reply was lost seconds later, after the target has restarted or ended, so the entry read
// last is not always the newest.
func TestEntryOfEndedProcessIsIgnored(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{entryOf("a", 200, 1, true)}, 10))
	s.MarkRead(start)
	assert.Assert(t, !s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: entryOf("a", 100, 90, false)}}, 11)))
	assert.Assert(t, placedByName(s)["a"].Closed)
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: platform.Target{Name: "a"}, Removed: true}}, 12))
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: entryOf("a", 100, 91, false)}}, 13))
	assert.Equal(t, len(placedByName(s)), 0)
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: entryOf("a", 200, 2, false)}}, 14))
	assert.Equal(t, len(placedByName(s)), 1, "the same process, back after its entry expired")
}

// Guards against an entry overwritten with unusable content by another writer, which keeps its
// target in use, or out of use for good. Such an entry must drop the target at once, without the
// time to reappear that is given after an outage, and the target's next write must restore it.
func TestUnusableEntryDropsTargetUntilNextWrite(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{entryOf("a", 100, 5, false), entryOf("b", 100, 5, false)}, 10))
	s.MarkRead(start)
	now := start.Add(time.Minute) // as after an outage, when removals are held back
	assert.Assert(t, s.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: platform.Target{Name: "a"}, Invalid: true}}, 11)))
	_, found := placedByName(s)["a"]
	assert.Assert(t, !found && len(placedByName(s)) == 1)
	s.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: entryOf("a", 100, 6, false)}}, 12))
	assert.Equal(t, len(placedByName(s)), 2)
	all := listed([]platform.Target{entryOf("b", 100, 6, false)}, 13)
	all.InvalidEntries = []platform.InvalidEntry{{Name: "a", Reason: "cannot be read"}}
	s.SetTargets(now, all)
	assert.Equal(t, len(placedByName(s)), 1)
}

// Guards against requests to a target in a zone that the settings do not name, for which the limits
// on regions cannot be enforced.
func TestTargetOfAnUnknownZoneIsNotPlaced(t *testing.T) {
	s := feed.NewState(beat, regions)
	odd := target("odd", 1, false)
	odd.Zone = "nowhere"
	s.SetTargets(start, listed([]platform.Target{odd, target("a", 1, false)}, 10))
	s.MarkRead(start)
	assert.Equal(t, len(placedByName(s)), 1)
}

// Checks that no VM returns to an earlier generation of a target, in whatever order two VMs read
// the writes of several generations and send them to each other, and that both end with the last
// write of the last generation.
func TestGenerationsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := feed.NewState(beat, regions), feed.NewState(beat, regions)
		now, revision := start, int64(1)
		last := map[steering.Target]platform.Target{}
		highest := map[*feed.State]map[steering.Target]steering.Generation{a: {}, b: {}}
		check := func(s *feed.State) {
			for name, placed := range placedByName(s) {
				if placed.Generation < highest[s][name] {
					t.Fatalf("%s went back from generation %d to %d", name, highest[s][name], placed.Generation)
				}
				highest[s][name] = placed.Generation
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now, revision = now.Add(300*time.Millisecond), revision+1
			name := steering.Target(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "which")))
			to := rapid.SampledFrom([]*feed.State{a, b}).Draw(t, "reader")
			other := a
			if to == a {
				other = b
			}
			w := last[name]
			switch rapid.SampledFrom([]string{"beat", "beat", "restart", "late", "remove", "tell"}).Draw(t, "event") {
			case "beat":
				w = entryOf(string(name), max(w.Generation, 1), w.Beat+1, rapid.Bool().Draw(t, "leaving"))
				last[name] = w
				to.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: w}}, revision))
			case "restart":
				w = entryOf(string(name), w.Generation+1, 1, false)
				last[name] = w
				to.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: w}}, revision))
			case "late":
				if w.Generation > 1 {
					to.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: entryOf(string(name), w.Generation-1, 99, false)}}, revision))
				}
			case "remove":
				to.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: platform.Target{Name: name}, Removed: true}}, revision))
			case "tell":
				other.Apply(now, to.UpdateSince(now, other.KnownPosition()))
			}
			to.MarkRead(now)
			check(a)
			check(b)
		}
		var all []platform.Target
		for _, w := range last {
			w.Beat++
			all = append(all, w)
		}
		for _, s := range []*feed.State{a, b} {
			s.SetTargets(now, listed(all, revision+1))
			check(s)
			for _, w := range all {
				if placedByName(s)[w.Name].Generation != w.Generation {
					t.Fatalf("%s: generation %d is in use, the last one is %d", w.Name, placedByName(s)[w.Name].Generation, w.Generation)
				}
			}
		}
	})
}
