package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

const (
	targets  = 5
	slots    = 4
	capacity = targets * slots
	service  = 50 * time.Millisecond
)

// settle is longer than any bound on healing except a dead member's grants.
const settle = 4 * time.Second

// Promise: with views that agree, targets never get more than their slots from
// any number of entry VMs, and the slots are put to use.
func TestSlotsAreNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 4, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		for _, e := range z.vms {
			z.callers(e, 10, service, 10*time.Second)
		}
		time.Sleep(12 * time.Second)
		assert.Equal(t, z.sheds(), 0)
		possible := int(10 * time.Second / service * capacity)
		assert.Assert(t, z.servedSoFar() > possible*8/10, "served %d of %d possible", z.servedSoFar(), possible)
		assert.Equal(t, z.free(z.owner()), capacity)
	})
}

// Symptom: after an entry VM dies, the targets it sent to are offered more
// than their slots, or their slots stay unused for long. Sequence: the owner
// dies while it and others hold grants; its requests run on at the targets; the
// next entry VM counts the pool. Cause: the count died with the owner.
func TestOwnerDiesHoldingGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 4, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		z.callers(owner, 8, time.Second, time.Minute)
		for _, e := range z.others(owner) {
			z.callers(e, 8, service, 20*time.Second)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, z.sheds(), 0)
		owner.stop()
		z.isolate(owner.name, true)
		time.Sleep(settle)
		z.setState(owner.name, seam.MemberGone)
		before := z.servedSoFar()
		time.Sleep(10 * time.Second)
		assert.Assert(t, z.sheds() <= capacity, "%d sheds", z.sheds())
		possible := int(10 * time.Second / service * capacity)
		assert.Assert(t, z.servedSoFar()-before > possible*8/10, "served %d of %d possible", z.servedSoFar()-before, possible)
		next, _ := z.others(owner)[0].admit.Owner(testPlace, testService)
		time.Sleep(10 * time.Second)
		assert.Equal(t, z.free(z.vm(next.VM)), capacity)
	})
}

// Symptom: a VM that was suspended for seconds offers targets work that they
// have no slots for. Sequence: the owner is paused, another takes over, the
// first wakes with its old count and old view. Cause: it granted on without
// noticing that time had passed.
func TestPausedOwnerDoesNotGrantOnStaleKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		for _, e := range z.others(owner) {
			z.callers(e, 20, service, 30*time.Second)
		}
		time.Sleep(5 * time.Second)
		frozen := z.pause(owner)
		time.Sleep(3 * time.Second)
		z.setState(owner.name, seam.MemberSuspect)
		time.Sleep(5 * time.Second)
		before := z.sheds()
		z.resume(owner, frozen)
		z.callers(owner, 20, service, 5*time.Second) // its own callers come at once
		time.Sleep(time.Second)
		assert.Equal(t, owner.count("pauses"), int64(1))
		assert.Equal(t, z.sheds()-before, 0, "sheds after the old owner woke")
		z.setState(owner.name, seam.MemberLive)
		time.Sleep(10 * time.Second)
		assert.Assert(t, z.sheds()-before <= targets, "%d sheds while ownership moved back", z.sheds()-before)
	})
}

// Symptom: free slots shrink although targets idle. Sequence: releases get
// lost on their way to the owner. Cause: nobody compared what the owner counts
// with what the holder has.
func TestLostReleasesHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		z.mu.Lock()
		z.loseReleases = true
		z.mu.Unlock()
		for _, e := range z.others(owner) {
			z.callers(e, 5, service, 3*time.Second)
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, z.free(owner) < capacity)
		time.Sleep(2 * settle)
		assert.Equal(t, z.free(owner), capacity)
		assert.Assert(t, owner.count("releases_healed") > 0)
	})
}

// Symptom: targets shed for seconds after a membership change. Sequence: one
// entry VM's view lags, so two count the same pool. Cause: the live list lags.
// The excess has to be bounded by the target's own shedding, served work must
// go on, and it must end with the lag.
func TestTwoOwnersWhileViewsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 4, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		for _, e := range z.vms {
			z.callers(e, 10, service, 30*time.Second)
		}
		time.Sleep(3 * time.Second)
		for _, e := range z.others(owner)[1:] { // two of four no longer believe in the owner
			e.view.set(owner.name, seam.MemberSuspect)
		}
		before := z.servedSoFar()
		time.Sleep(5 * time.Second)
		possible := int(5 * time.Second / service * capacity)
		assert.Assert(t, z.servedSoFar()-before > possible*8/10, "served %d of %d possible", z.servedSoFar()-before, possible)
		z.setState(owner.name, seam.MemberLive)
		time.Sleep(settle)
		after := z.sheds()
		time.Sleep(5 * time.Second)
		assert.Assert(t, z.sheds()-after <= targets, "%d sheds after the views agree", z.sheds()-after)
	})
}

// Symptom: the slots of a dead entry VM's requests stay taken, or are given
// out while the targets still run them. Cause: a dead holder releases nothing.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		others := z.others(owner)
		z.callers(others[0], 10, 3*time.Second, time.Minute)
		z.callers(others[1], 20, service, 20*time.Second)
		time.Sleep(time.Second)
		others[0].stop()
		z.isolate(others[0].name, true)
		time.Sleep(500 * time.Millisecond)
		z.setState(others[0].name, seam.MemberGone)
		time.Sleep(20 * time.Second)
		assert.Equal(t, z.sheds(), 0)
		time.Sleep(time.Second)
		assert.Equal(t, z.free(owner), capacity)
		assert.Equal(t, owner.count("orphans"), int64(10))
	})
}

// Symptom: every request for a pool waits until its deadline. Sequence: the
// owner hangs without closing connections; views still name it. Cause: nothing
// bounded the wait for its answer.
func TestHungOwnerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 4, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		for _, e := range z.others(owner) {
			z.callers(e, 4, service, 20*time.Second)
		}
		time.Sleep(time.Second)
		frozen := z.pause(owner)
		before := z.servedSoFar()
		time.Sleep(time.Second)
		assert.Assert(t, z.servedSoFar()-before > 100, "served %d in the second in which the owner hung", z.servedSoFar()-before)
		time.Sleep(time.Second)
		before = z.servedSoFar()
		time.Sleep(5 * time.Second)
		possible := int(5 * time.Second / service * 12)
		assert.Assert(t, z.servedSoFar()-before > possible*7/10, "served %d of %d possible", z.servedSoFar()-before, possible)
		z.resume(owner, frozen)
		time.Sleep(settle)
		assert.Assert(t, z.sheds() <= targets, "%d sheds", z.sheds())
		assert.Equal(t, z.refusedFor(steering.ReasonPeerDown), 0)
	})
}

func (z *zone) pause(e *entryVM) chan struct{} {
	frozen := make(chan struct{})
	e.view.mu.Lock()
	e.view.frozen = frozen
	e.view.mu.Unlock()
	z.mu.Lock()
	z.paused[e.name] = frozen
	z.mu.Unlock()
	return frozen
}

func (z *zone) resume(e *entryVM, frozen chan struct{}) {
	e.view.mu.Lock()
	e.view.frozen = nil
	e.view.mu.Unlock()
	z.mu.Lock()
	delete(z.paused, e.name)
	z.mu.Unlock()
	close(frozen)
}
