package feed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/storepos"
)

// tell passes on what one VM knows of departures to another, as after a gap in what that one knows.
func tell(now time.Time, from, to *feed.State) {
	gap, _ := to.TakeGap()
	to.NoteDepartures(now, from.DeparturesSince(now, gap.Since))
}

func open(s *feed.State, name steering.Target) bool { return s.Open(name) }

// Guards against a VM that was out of touch and takes itself for one that knows, because the targets of the VM that it hears first are
// equal to its own.
func TestGapIsNotedAlsoIfTheTargetsAreEqual(t *testing.T) {
	s, peer := readAll(at(10), target("a", 1, false)), readAll(at(10), target("a", 1, false))
	s.TakeGap()
	now := start.Add(8 * time.Second)
	fellow := readAll(at(10), target("a", 1, false))
	s.Merge(now, fellow.Digest(now))
	_, ended := s.TakeGap()
	assert.Assert(t, !ended, "the other one was cut off as well")
	peer.ApplyTargetChanges(now, changed(nil, 20))
	peer.MarkRead(now)
	pull, _ := s.Merge(now, peer.Digest(now))
	assert.Assert(t, !pull && s.KnownPosition() == at(20))
	gap, ended := s.TakeGap()
	assert.Assert(t, ended && gap.Since == at(10))
	assert.Equal(t, s.DeparturesSince(now, at(20)).KnownForMs, int64(0))
}

// Guards against a VM that asks nobody after a cut, because a VM that was cut off with it has told it the same read of the store again.
func TestSameReadToldAgainEndsNoGap(t *testing.T) {
	s, fellow := readAll(at(10), target("a", 1, false)), readAll(at(10), target("a", 1, false))
	s.TakeGap()
	fellow.MarkRead(start.Add(20 * time.Millisecond))
	now := start.Add(feed.OutOfTouchAfter(beat) + 10*time.Millisecond)
	s.Merge(now, fellow.Digest(now))
	_, ended := s.TakeGap()
	assert.Assert(t, !ended, "it is still cut off")

	now = start.Add(8 * time.Second)
	s.ApplyTargetChanges(now, changed(nil, 20))
	s.MarkRead(now)
	gap, ended := s.TakeGap()
	assert.Assert(t, ended && gap.Since == at(10))
}

// Guards against a VM that is cut off right after its first read, asks nobody when it is back, and claims to have known all the while.
func TestGapRightAfterTheFirstReadIsNoted(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{target("a", 1, false)}, 10))
	s.MarkRead(start.Add(-10 * time.Millisecond)) // when the read began
	s.TakeGap()
	now := start.Add(8 * time.Second)
	s.SetTargets(now, listed(nil, 20))
	s.MarkRead(now.Add(-10 * time.Millisecond))
	gap, ended := s.TakeGap()
	assert.Assert(t, ended && gap.Since == at(10))
	told := s.DeparturesSince(now, at(20))
	assert.Assert(t, !told.Settled && told.KnownForMs == 0, "%+v", told)
	s.ApplyTargetChanges(now.Add(time.Second), changed(nil, 21))
	_, ended = s.TakeGap()
	assert.Assert(t, !ended, "one gap is noted once")
}

// Guards against VMs that open a target whose leaving they know, because another VM has read an older write of it that
// the store did late.
func TestLateWriteDoesNotOpenTargetThatLeaves(t *testing.T) {
	knows, other := readAll(at(10), target("a", 6, true)), readAll(at(5), target("a", 4, false))
	other.SetTargets(start, listed([]platform.Target{target("a", 5, false)}, 20))
	other.MarkRead(start)
	for range 2 {
		exchange(start, other, knows)
	}
	assert.Equal(t, knows.KnownPosition(), at(20))
	assert.Assert(t, !open(knows, "a"))
	tell(start, knows, other)
	assert.Assert(t, !open(other, "a"), "it was told")
	other.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: target("a", 7, false)}}, 21))
	assert.Assert(t, open(other, "a"), "the target has written that it does not leave")
}

// Guards against requests to a target that has removed its entry, because an older write of it is done late.
func TestLateWriteDoesNotOpenTargetThatIsGone(t *testing.T) {
	s, peer := readAll(at(10), target("a", 6, false)), readAll(at(10), target("a", 3, false))
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{removed("a")}, 11))
	exchange(start, s, peer)
	for _, beat := range []int64{5, 6} {
		revision := 8 + 2*beat
		s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: target("a", beat, false)}}, revision))
		exchange(start, s, peer)
		assert.Assert(t, !open(s, "a") && !open(peer, "a"), "beat %d", beat)
		assert.Equal(t, peer.Digest(start).Content, s.Digest(start).Content)
	}
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: target("a", 7, false)}}, 30))
	exchange(start, s, peer)
	assert.Assert(t, open(s, "a") && open(peer, "a"), "its entry had expired, and it writes again")
}

// Guards against a VM that started after the store was restored from an older copy and is never told that a target leaves.
func TestStartedVMIsToldOfLeavingsThatTheStoreLost(t *testing.T) {
	knows := readAll(restoredAt(0, 900), target("a", 6, true))
	knows.SetTargets(start, list(restoredAt(1, 850), target("a", 5, false)))
	knows.MarkRead(start)
	started := readAll(restoredAt(1, 850), target("a", 5, false))
	exchange(start, knows, started)
	_, ended := started.TakeGap()
	assert.Assert(t, ended, "it is to ask")
	tell(start, knows, started)
	assert.Assert(t, !open(started, "a"))
}

// Guards against a target that is back, and a position that falls, because a slow read ends after an update of a peer.
func TestSlowReadDoesNotUndoUpdateOfPeer(t *testing.T) {
	reader := readAll(at(90), target("a", 1, false), target("b", 1, false))
	reader.ApplyTargetChanges(start, changed([]platform.TargetChange{removed("a")}, 100))
	for name, slowRead := range map[string]func(*feed.State){
		"changes": func(s *feed.State) {
			s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: target("a", 2, false)}}, 95))
		},
		"list": func(s *feed.State) {
			s.SetTargets(start, listed([]platform.Target{target("a", 2, false), target("b", 1, false)}, 95))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := readAll(at(90), target("a", 1, false), target("b", 1, false))
			exchange(start, reader, s)
			slowRead(s)
			assert.Equal(t, s.KnownPosition(), at(100))
			assert.Assert(t, !open(s, "a") && open(s, "b"))
		})
	}
}

// Guards against targets that are used for as long as one part of each read fails, although their entries are gone.
func TestHoldAfterOutageEndsAlthoughReadsFailInPart(t *testing.T) {
	s := readAll(at(10), target("a", 1, false), target("b", 1, false))
	now := start
	for revision := int64(11); revision < 41; revision++ { // the targets can be read, and nothing marks the read as whole
		now = now.Add(time.Second)
		var changes []platform.TargetChange
		if revision == 20 {
			changes = append(changes, removed("a"))
		}
		s.ApplyTargetChanges(now, changed(changes, revision))
		if now.Sub(start) > 15*time.Second {
			assert.Assert(t, !open(s, "a"), "%v after the removal", now.Sub(start)-10*time.Second)
		}
	}
}

// Guards against a chain of VMs that each keep a missing target for the whole time that one VM may keep it.
func TestMissingTargetIsKeptNoLongerByThoseThatAreTold(t *testing.T) {
	const keptFor = 2200 * time.Millisecond // as long as targets have to write their entries again
	vms := make([]*feed.State, 6)
	for i := range vms {
		vms[i] = readAll(at(10), target("a", 1, false))
	}
	now := start.Add(10 * time.Second)
	vms[0].SetTargets(now, listed(nil, 20))
	end := now.Add(keptFor)
	for i := range vms[1:] {
		assert.Assert(t, open(vms[i], "a"))
		now = now.Add(300 * time.Millisecond)
		vms[i].MarkRead(now)
		exchange(now, vms[i], vms[i+1])
	}
	for i, s := range vms {
		s.EndHolds(end.Add(10 * time.Millisecond))
		assert.Assert(t, !open(s, "a"), "vm %d", i)
	}
}

// Guards against a VM that was cut off, takes that for an outage of the store, and uses a target that the others know to be
// gone.
func TestVMThatWasCutOffIsToldWhatIsGone(t *testing.T) {
	entries := []platform.Target{target("gone", 3, false), target("stays", 3, false)}
	knows, away := readAll(at(10), entries...), readAll(at(10), entries...)
	away.TakeGap()
	knows.ApplyTargetChanges(start, changed([]platform.TargetChange{removed("gone")}, 12))
	now := start.Add(8 * time.Second)
	knows.MarkRead(now)
	away.ApplyTargetChanges(now, changed([]platform.TargetChange{removed("gone")}, 30))
	away.MarkRead(now)
	assert.Assert(t, open(away, "gone"), "the store may have been away")
	exchange(now, away, knows)
	assert.Assert(t, !open(knows, "gone"))
	gap, ended := away.TakeGap()
	assert.Assert(t, ended && gap.Length == 8*time.Second && gap.Since == at(10))
	told := knows.DeparturesSince(now, gap.Since)
	assert.DeepEqual(t, told, feed.Departures{All: []departure.Departure{{Target: "gone", Beat: 3, Gone: true}}, KnownForMs: 8000, Settled: true})
	away.NoteDepartures(now, told)
	assert.Assert(t, !open(away, "gone") && open(away, "stays"))
	assert.Equal(t, away.DeparturesSince(now, storepos.Position{}).KnownForMs, int64(8000), "it knows as much now")
}

// Guards against a VM that reads nothing more, because the store went back to an earlier revision and named no new epoch.
func TestStoreThatWentBackIsListedAgain(t *testing.T) {
	s := readAll(at(100), target("a", 1, false))
	wentBack := changed(nil, 95)
	wentBack.Since = at(100)
	s.ApplyTargetChanges(start, wentBack)
	assert.Assert(t, s.KnownPosition().IsZero(), "the next read is to be a list")
	all := listed([]platform.Target{target("a", 1, false), target("b", 1, false)}, 95)
	s.SetTargets(start, all)
	assert.Assert(t, open(s, "a") && open(s, "b"))
	assert.Equal(t, s.KnownPosition(), at(95))

	all = listed([]platform.Target{target("c", 1, false)}, 90)
	all.Since = at(95)
	s.SetTargets(start, all)
	assert.Assert(t, open(s, "c") && !open(s, "a"))
}

// Guards against a VM that starts after a target was gone for long, and uses it because another VM comes back that was cut off and keeps it.
func TestStartedVMUsesNoTargetThatOnlyReturningVMsKnow(t *testing.T) {
	for name, pass := range map[string]func(from, to *feed.State, now time.Time){
		"changes":     func(from, to *feed.State, now time.Time) { exchange(now, from, to) },
		"all targets": func(from, to *feed.State, now time.Time) { to.Apply(now, from.UpdateSince(now, storepos.Position{})) },
	} {
		t.Run(name, func(t *testing.T) {
			returns := readAll(at(10), target("a", 1, false), target("b", 1, false))
			started := feed.NewState(beat, regions)
			now := start.Add(20 * time.Second)
			for revision := int64(20); revision < 40; revision++ {
				now = now.Add(time.Second)
				started.SetTargets(now, listed([]platform.Target{target("b", revision, false)}, revision))
				started.MarkRead(now)
			}
			returns.SetTargets(now, listed([]platform.Target{target("b", 40, false)}, 40))
			returns.MarkRead(now)
			assert.Assert(t, open(returns, "a"), "its entry may have expired in an outage")
			pass(returns, started, now)
			assert.Equal(t, started.KnownPosition(), at(40))
			assert.Assert(t, !open(started, "a") && open(started, "b"))
			assert.Equal(t, started.Digest(now).Content, returns.Digest(now).Content)
			started.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: target("a", 2, false)}}, 41))
			assert.Assert(t, open(started, "a"), "it writes again")
		})
	}
}

// Guards against a VM that uses a target for longer than the rules allow, because it hears of the end first from a VM that was cut off.
func TestVMInTouchTakesOverNoHoldOfReturningVM(t *testing.T) {
	returns, inTouch := readAll(at(10), target("a", 1, false)), readAll(at(10), target("a", 1, false))
	now := start.Add(10 * time.Second)
	inTouch.ApplyTargetChanges(now.Add(-5*time.Second), changed(nil, 20))
	inTouch.MarkRead(now.Add(-time.Second))
	returns.SetTargets(now, listed(nil, 30))
	returns.MarkRead(now)
	exchange(now, returns, inTouch)
	assert.Assert(t, open(returns, "a") && !open(inTouch, "a"))

	lateStart := feed.NewState(beat, regions)
	exchange(now, returns, lateStart)
	assert.Assert(t, open(lateStart, "a"), "for a VM that has just started the target may write again")
}

// Guards against a VM that comes back and uses a target that is gone for as long as its hold lasts, since the VMs that it asks have
// started after the removal.
func TestVMThatNeverKnewTargetEndsHoldOfReturningVM(t *testing.T) {
	now := start.Add(20 * time.Second)
	for name, c := range map[string]struct {
		startedFor time.Duration
		restored   bool
		open       bool
	}{
		"it knows the store for long": {startedFor: 3 * time.Second},
		"it has just started":         {startedFor: time.Second, open: true},
		"the store was restored":      {startedFor: 3 * time.Second, restored: true, open: true},
	} {
		t.Run(name, func(t *testing.T) {
			started := feed.NewState(beat, regions)
			started.SetTargets(now.Add(-c.startedFor), listed(nil, 20))
			started.MarkRead(now.Add(-c.startedFor))
			position := at(30)
			if c.restored {
				position = restoredAt(1, 5)
			}
			started.SetTargets(now, list(position))
			started.MarkRead(now)
			returns := readAll(at(10), target("a", 1, false))
			returns.SetTargets(now, list(position))
			returns.MarkRead(now)
			tell(now, started, returns)
			assert.Equal(t, open(returns, "a"), c.open)
			returns.ApplyTargetChanges(now, platform.TargetChanges{Changes: []platform.TargetChange{{Target: target("a", 2, false)}}, At: storepos.Position{Epoch: position.Epoch, Revision: 40}})
			assert.Assert(t, open(returns, "a"), "it writes again")
		})
	}
}

// Guards against full traffic to a cold target, because another VM has read an older write of it that the store did late.
func TestLateWriteDoesNotWarmTargetThatIsCold(t *testing.T) {
	cold := target("a", 6, false)
	cold.ColdLeft = 10 * time.Second
	knows, other := readAll(at(10), cold), readAll(at(5), target("a", 4, false))
	other.SetTargets(start, listed([]platform.Target{target("a", 5, false)}, 20))
	other.MarkRead(start)
	knows.Apply(start, other.UpdateSince(start, storepos.Position{}))
	assert.Equal(t, knows.KnownPosition(), at(20))
	assert.Assert(t, placedByName(knows)["a"].ColdUntil.Equal(start.Add(10*time.Second)), "it has not written since")

	other.SetTargets(start, listed([]platform.Target{target("a", 7, false)}, 21))
	knows.Apply(start, other.UpdateSince(start, storepos.Position{}))
	assert.Assert(t, !placedByName(knows)["a"].ColdUntil.After(start), "it has written that it is warm")
}
