package feed

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/placement"
	"heatherlock/steering/storepos"
)

var testRegions = map[steering.Zone]steering.Region{"a": "centro", "b": "sur"}

// testAt returns a position in the first epoch of a store.
func testAt(revision int64) storepos.Position {
	return storepos.Position{Epoch: 1, Revision: revision}
}

func testTarget(i int, beat int64) platform.Target {
	return platform.Target{Name: steering.Target(fmt.Sprint("t", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i%250), Zone: []steering.Zone{"a", "b"}[i%2], Slots: 3, Beat: beat}
}

// drawChange changes one of n targets in a state.
func drawChange(t *rapid.T, s *State, now time.Time, n int, beat int64) {
	target := testTarget(rapid.IntRange(0, n-1).Draw(t, "target"), beat)
	c := platform.TargetChange{Target: target}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c = platform.TargetChange{Target: platform.Target{Name: target.Name}, Removed: true}
	case 1:
		c.Target.Leaving = true
	case 2:
		c.Target.Zone = "b"
	}
	s.ApplyTargetChanges(now, platform.TargetChanges{Changes: []platform.TargetChange{c}, At: testAt(s.at.Revision + 1)})
}

// Guards against VMs that place requests on other targets than the state holds, or exclude some that
// it holds, because a change was not passed on: all changes taken one after the other must lead to
// the targets that a complete list holds.
func TestChangesAddUpToTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewState(5*time.Second, testRegions)
		placed := make(map[steering.Target]placement.Target)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "evacuation") == 0 {
				s.SetEvacuations(now, []steering.Zone{"a", "b"}[:rapid.IntRange(0, 2).Draw(t, "zones")], testAt(int64(step+1)))
			} else {
				drawChange(t, s, now, 8, int64(step+1))
			}
			u, found := s.TakeChanges()
			if !found {
				continue
			}
			if u.Complete {
				clear(placed)
			}
			for _, p := range u.Changed {
				placed[p.Name] = p
			}
			for _, name := range u.Removed {
				delete(placed, name)
			}
			all := s.Placement()
			assert.Equal(t, len(placed), len(all))
			for _, p := range all {
				assert.DeepEqual(t, placed[p.Name], p)
			}
		}
	})
}

// Guards against VMs whose targets differ for good after an update that was made from the recorded
// changes: it must be the same as one for which all targets are looked at.
func TestUpdateFromHistoryIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewState(5*time.Second, testRegions)
		s.SetTargets(now, platform.TargetList{Targets: []platform.Target{testTarget(0, 1)}, At: testAt(10)})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			drawChange(t, s, now, 6, int64(step+2))
			s.history.trim(rapid.IntRange(5, 100).Draw(t, "limit"))
		}
		s.MarkRead(now)
		for since := int64(10); since <= s.at.Revision; since++ {
			kept := s.history
			got := s.UpdateSince(now, testAt(since))
			s.history = history{complete: testAt(math.MaxInt64)}
			want := s.UpdateSince(now, testAt(since))
			s.history = kept
			for _, k := range []*Update{&got, &want} {
				slices.SortFunc(k.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
				slices.Sort(k.Gone)
				slices.SortFunc(k.Departures, func(a, b departure.Departure) int { return cmp.Compare(a.Target, b.Target) })
			}
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want), "since %d", since)
		}
	})
}

// Guards against every VM fetching all targets after the loss of a zone with more targets than
// removals were remembered.
func TestLossOfALargeZoneIsSentAsChanges(t *testing.T) {
	const targets, lost = 10_000, 1_400
	now := time.Unix(1000, 0)
	s := NewState(5*time.Second, testRegions)
	list := platform.TargetList{At: testAt(10)}
	var changes platform.TargetChanges
	for i := range targets {
		list.Targets = append(list.Targets, testTarget(i, 1))
		if i < lost {
			changes.Changes = append(changes.Changes, platform.TargetChange{Target: platform.Target{Name: list.Targets[i].Name}, Removed: true})
		}
	}
	s.SetTargets(now, list)
	s.MarkRead(now)
	changes.At = testAt(20)
	s.ApplyTargetChanges(now, changes)
	update := s.UpdateSince(now, testAt(10))
	assert.Equal(t, update.Since, int64(10))
	assert.Equal(t, len(update.Entries), 0)
	assert.Equal(t, len(update.Gone), lost)
}

// Guards against a fleet in which each VM that starts reads all targets from the store, and against
// one in which a VM waits for others that do not come.
func TestFewVMsReadTheStoreAtAStart(t *testing.T) {
	reads := func(v ReadView) time.Duration { return v.UntilRead() + v.Uptime }
	started := ReadView{Interval: ReadInterval, Start: StartView{RecordsKnown: true, Heard: true}}
	at := func(rank int) time.Duration {
		v := started
		v.Start.Rank = rank
		return reads(v)
	}
	assert.Equal(t, at(0), time.Duration(0))
	assert.Equal(t, at(1), time.Duration(0))
	assert.Assert(t, at(2) >= 300*time.Millisecond, "%v", at(2))
	assert.Assert(t, at(100) > at(10) && at(1000) <= 3*time.Second, "%v", at(1000))
	fed := started
	fed.Start.Rank, fed.Start.PeerKnows = 100, true
	assert.Assert(t, reads(fed) > 5*time.Second, "%v: a peer has all that the store would send", reads(fed))
	alone := started
	alone.Start.Rank, alone.Start.Heard = 100, false
	assert.Assert(t, reads(alone) <= 1500*time.Millisecond, "%v", reads(alone))
	unread := started
	unread.Start.RecordsKnown = false
	assert.Assert(t, reads(unread) <= 2*time.Second)
}
