package feed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

// restoredAt returns a position after a number of restores of the store.
func restoredAt(restores uint64, revision int64) storepos.Position {
	return storepos.Position{Epoch: 1 + restores, Revision: revision}
}

// readAll returns a state that has read a store with the given targets, and nothing else, at a position.
func readAll(at storepos.Position, targets ...platform.Target) *feed.State {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, platform.TargetList{Targets: targets, At: at})
	s.SetEvacuations(start, nil, at)
	s.ApplyConfigRead(start, table(3), at)
	s.MarkRead(start)
	return s
}

// exchange passes on the digest of one state to another, and the update that this one then requests.
func exchange(now time.Time, from, to *feed.State) (update feed.Update, pulled bool) {
	if pull, _ := to.Merge(now, from.Digest(now)); !pull {
		return update, false
	}
	update = from.UpdateSince(now, to.KnownPosition())
	to.Apply(now, update)
	return update, true
}

// Guards against VMs that keep what they knew, and against a reader that takes it back, because
// revisions were higher before a restore of the store.
func TestReadAfterRestoreOutranksHigherRevision(t *testing.T) {
	ready, leaving := target("a", 5, false), target("a", 6, true)
	reader, peer := readAll(restoredAt(0, 900), ready), readAll(restoredAt(0, 905), ready)
	now := start.Add(time.Second)
	reader.SetTargets(now, platform.TargetList{Targets: []platform.Target{leaving}, At: restoredAt(1, 850)})
	reader.SetEvacuations(now, nil, restoredAt(1, 850))
	reader.MarkRead(now)
	_, pulled := exchange(now, peer, reader)
	assert.Assert(t, !pulled && placedByName(reader)["a"].Closed)
	update, pulled := exchange(now, reader, peer)
	assert.Assert(t, pulled && placedByName(peer)["a"].Closed)
	assert.Equal(t, update.SinceEpoch, uint64(1), "the changes are enough, not all targets")
	age, _ := peer.Age(now)
	assert.Equal(t, age, time.Duration(0))
	// A slow read of the store, or a slow update, from before the restore changes nothing.
	peer.SetTargets(now, platform.TargetList{Targets: []platform.Target{ready}, At: restoredAt(0, 910)})
	peer.Apply(now, readAll(restoredAt(0, 910), ready).UpdateSince(now, storepos.Position{}))
	assert.Assert(t, placedByName(peer)["a"].Closed)
}

// Guards against VMs that end with different targets because one had read changes that were lost.
func TestLostChangesAreUndoneOnAllVMs(t *testing.T) {
	a, lost := target("a", 5, false), target("lost", 1, false)
	reader, peer := readAll(restoredAt(0, 900), a), readAll(restoredAt(0, 905), a, lost)
	now := start.Add(time.Second)
	for restores := uint64(1); restores <= 3; restores++ {
		reader.SetTargets(now, platform.TargetList{Targets: []platform.Target{a, target("new", 1, false)}, At: restoredAt(restores, 850)})
		reader.MarkRead(now)
		for range 2 { // the hash shows that the changes alone are not enough
			exchange(now, reader, peer)
		}
		assert.Equal(t, peer.Digest(now).Content, reader.Digest(now).Content)
		assert.Equal(t, peer.KnownPosition(), restoredAt(restores, 850))
	}
}

// Guards against a VM that stays without news from builds that name no epoch in their messages.
func TestPeerThatNamesNoEpochIsInTheKnownOne(t *testing.T) {
	older, newer := readAll(restoredAt(1, 905), target("a", 6, true)), readAll(restoredAt(1, 900), target("a", 5, false))
	digest, update := older.Digest(start), older.UpdateSince(start, at(900))
	digest.Epoch, update.Digest.Epoch, update.SinceEpoch = 0, 0, 0
	pull, _ := newer.Merge(start, digest)
	assert.Assert(t, pull)
	newer.Apply(start, update)
	assert.Assert(t, placedByName(newer)["a"].Closed)
	assert.Equal(t, newer.KnownPosition(), restoredAt(1, 905))
}

// Guards against requests to a target that is gone on all VMs but the one that read the store, for as
// long as nothing else changes there.
func TestMissingTargetIsDroppedOnVMsThatDoNotRead(t *testing.T) {
	reader, peer := readAll(at(10), target("gone", 1, false)), readAll(at(10), target("gone", 1, false))
	now := start.Add(10 * time.Second) // as after an outage of the store
	reader.SetTargets(now, listed(nil, 20))
	reader.MarkRead(now)
	exchange(now, reader, peer)
	assert.Equal(t, len(placedByName(peer)), 1, "it has time to write its entry again")
	now = now.Add(5 * time.Second)
	assert.Assert(t, reader.EndHolds(now))
	reader.MarkRead(now)
	exchange(now, reader, peer)
	assert.Equal(t, len(placedByName(peer)), 0)
}

func list(at storepos.Position, targets ...platform.Target) platform.TargetList {
	return platform.TargetList{Targets: targets, At: at}
}

func removed(name string) platform.TargetChange {
	return platform.TargetChange{Target: platform.Target{Name: steering.Target(name)}, Removed: true}
}

// readUntil records that the store was read at a time and had no further changes.
func readUntil(s *feed.State, at time.Time) {
	s.MarkRead(at)
	s.EndHolds(at)
}

// Guards against requests to a target that leaves, because a restored store lists it as it was before,
// and against a target that stays closed after it has written that it does not leave.
func TestLeavingOutlastsRestore(t *testing.T) {
	knows, peer := readAll(restoredAt(0, 900), target("a", 6, true)), readAll(restoredAt(0, 890), target("a", 5, false))
	peer.SetTargets(start, list(restoredAt(1, 850), target("a", 5, false)))
	peer.MarkRead(start)
	for range 2 { // the second update holds all targets
		exchange(start, peer, knows)
	}
	assert.Equal(t, knows.KnownPosition(), restoredAt(1, 850))
	assert.Assert(t, placedByName(knows)["a"].Closed, "a peer that does not know has read the store")
	knows.SetTargets(start, list(restoredAt(2, 840), target("a", 5, false)))
	assert.Assert(t, placedByName(knows)["a"].Closed, "it has read the store itself")
	knows.ApplyTargetChanges(start, platform.TargetChanges{Changes: []platform.TargetChange{{Target: target("a", 7, false)}}, At: restoredAt(2, 841)})
	assert.Assert(t, !placedByName(knows)["a"].Closed)
}

// Guards against requests to a target that is gone, and whose address may be another's, because a
// restored store lists it again.
func TestRemovalOutlastsRestoreUntilTargetWrites(t *testing.T) {
	s := readAll(restoredAt(0, 900), target("dead", 5, false), target("back", 5, false), target("slow", 5, false))
	for i, name := range []string{"dead", "back", "slow"} {
		s.ApplyTargetChanges(start, platform.TargetChanges{Changes: []platform.TargetChange{removed(name)}, At: restoredAt(0, 901+int64(i))})
	}
	now := start.Add(time.Second)
	s.SetTargets(now, list(restoredAt(1, 850), target("dead", 9, false), target("back", 9, false), target("slow", 9, false)))
	s.MarkRead(now)
	for name, placed := range placedByName(s) {
		assert.Assert(t, placed.Closed, name)
	}
	now = now.Add(2 * time.Second)
	s.ApplyTargetChanges(now, platform.TargetChanges{Changes: []platform.TargetChange{{Target: target("back", 10, false)}}, At: restoredAt(1, 851)})
	s.MarkRead(now)
	assert.Assert(t, !placedByName(s)["back"].Closed && placedByName(s)["dead"].Closed)
	now = now.Add(3 * time.Second) // the store removes entries of targets that are silent for three heartbeats
	s.ApplyTargetChanges(now, platform.TargetChanges{Changes: []platform.TargetChange{removed("dead")}, At: restoredAt(1, 852)})
	s.MarkRead(now)
	now = now.Add(2 * time.Second)
	readUntil(s, now)
	assert.Assert(t, !placedByName(s)["slow"].Closed, "still listed, so it is alive")
	assert.Equal(t, len(placedByName(s)), 2)
}

// Guards against requests to a zone under evacuation because a restored store does not list that yet,
// and against a zone that stays closed although its evacuation has ended.
func TestEvacuationOutlastsRestore(t *testing.T) {
	closed := func(s *feed.State) bool { return placedByName(s)["a"].Closed }
	evacuated := func() *feed.State {
		s := readAll(restoredAt(0, 900), target("a", 5, false))
		s.SetEvacuations(start, []steering.Zone{"a"}, restoredAt(0, 901))
		s.SetEvacuations(start, nil, restoredAt(1, 850))
		assert.Assert(t, closed(s))
		return s
	}
	s := evacuated()
	s.ApplyEvacuationChanges(start, []platform.EvacuationChange{{Zone: "a"}}, restoredAt(1, 851))
	readUntil(s, start.Add(time.Minute))
	assert.Assert(t, closed(s), "written again")
	s.ApplyEvacuationChanges(start, []platform.EvacuationChange{{Zone: "a", Ended: true}}, restoredAt(1, 852))
	assert.Assert(t, !closed(s), "ended")

	s = evacuated()
	s.SetEvacuations(start.Add(8*time.Second), nil, restoredAt(2, 840))
	readUntil(s, start.Add(12*time.Second))
	assert.Assert(t, closed(s), "restored once more")
	s.EndHolds(start.Add(time.Minute))
	assert.Assert(t, closed(s), "the store was not read since")
	readUntil(s, start.Add(20*time.Second))
	assert.Assert(t, !closed(s), "not written again")
}

// Guards against a VM that stops looking for a newer configuration, which its peers have in force,
// because it read a restored store that lacks it.
func TestNewestConfigIsNotTakenBackByRestore(t *testing.T) {
	s, peer := readAll(restoredAt(0, 900)), readAll(restoredAt(0, 905))
	peer.ApplyConfigRead(start, table(5), restoredAt(0, 905))
	exchange(start, peer, s)
	s.ApplyConfigRead(start.Add(time.Second), table(2), restoredAt(1, 850))
	newest, _, behind := s.Behind(start.Add(time.Second))
	assert.Assert(t, behind && newest == 5 && s.Digest(start).Config == 3)
	s.NewestUnusable(start.Add(time.Second))
	_, _, behind = s.Behind(start.Add(time.Second))
	assert.Assert(t, !behind, "the store holds it, and this build cannot use it")
}
