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

// recoveryTime is longer than every bound on recovery, except the one for the
// grants of a crashed member.
const recoveryTime = 4 * time.Second

// Guards against oversubscribed or idle targets: while the membership views agree,
// any number of entry VMs together never sends a target more requests than it has
// slots, and serves more than 80% of the possible requests.
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

// Guards against targets being offered more than their slots, or slots staying
// unused, after the owner crashes while it and others hold grants. Its requests
// continue at the targets, and its slot accounting is lost; the next owner has to
// rebuild it.
func TestOwnerCrashHoldingGrants(t *testing.T) {
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
		time.Sleep(recoveryTime)
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

// Guards against an owner that resumes after a pause of seconds, in which another
// VM took over, and continues to grant slots from its old accounting and old view
// because it did not detect the pause.
func TestPausedOwnerDoesNotGrantOnStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		for _, e := range z.others(owner) {
			z.callers(e, 20, service, 30*time.Second)
		}
		time.Sleep(5 * time.Second)
		resumed := z.pause(owner)
		time.Sleep(3 * time.Second)
		z.setState(owner.name, seam.MemberSuspect)
		time.Sleep(5 * time.Second)
		before := z.sheds()
		z.resume(owner, resumed)
		z.callers(owner, 20, service, 5*time.Second) // its own callers send immediately
		time.Sleep(time.Second)
		assert.Equal(t, owner.count("pauses"), int64(1))
		assert.Equal(t, z.sheds()-before, 0, "sheds after the old owner resumed")
		z.setState(owner.name, seam.MemberLive)
		time.Sleep(10 * time.Second)
		assert.Assert(t, z.sheds()-before <= targets, "%d sheds while ownership moved back", z.sheds()-before)
	})
}

// Guards against free slots shrinking while targets are idle: releases are lost on
// the way to the owner, and the owner never compares its accounting with what the
// holders hold.
func TestLostReleasesAreRecovered(t *testing.T) {
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
		time.Sleep(2 * recoveryTime)
		assert.Equal(t, z.free(owner), capacity)
		assert.Assert(t, owner.count("releases_healed") > 0)
	})
}

// Guards against targets shedding for seconds after a membership change: the view of
// an entry VM lags, so two VMs own the same pool. Serving has to continue meanwhile,
// the targets' own shedding bounds the excess, and it has to end when the views agree.
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
		for _, e := range z.others(owner)[1:] { // two of four suspect the owner
			e.view.set(owner.name, seam.MemberSuspect)
		}
		before := z.servedSoFar()
		time.Sleep(5 * time.Second)
		possible := int(5 * time.Second / service * capacity)
		assert.Assert(t, z.servedSoFar()-before > possible*8/10, "served %d of %d possible", z.servedSoFar()-before, possible)
		z.setState(owner.name, seam.MemberLive)
		time.Sleep(recoveryTime)
		after := z.sheds()
		time.Sleep(5 * time.Second)
		assert.Assert(t, z.sheds()-after <= targets, "%d sheds after the views agree", z.sheds()-after)
	})
}

// Guards against the slots of a crashed entry VM's requests staying in use, or
// being granted while the targets still run those requests. A crashed holder
// releases nothing.
func TestHolderCrash(t *testing.T) {
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

// Guards against every request for a pool waiting until its deadline: the owner
// hangs without closing connections while the views still name it, and nothing
// bounds the wait for its reply.
func TestHungOwnerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 4, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		for _, e := range z.others(owner) {
			z.callers(e, 4, service, 20*time.Second)
		}
		time.Sleep(time.Second)
		resumed := z.pause(owner)
		before := z.servedSoFar()
		time.Sleep(time.Second)
		assert.Assert(t, z.servedSoFar()-before > 100, "served %d in the second in which the owner hung", z.servedSoFar()-before)
		time.Sleep(time.Second)
		before = z.servedSoFar()
		time.Sleep(5 * time.Second)
		possible := int(5 * time.Second / service * 12)
		assert.Assert(t, z.servedSoFar()-before > possible*7/10, "served %d of %d possible", z.servedSoFar()-before, possible)
		z.resume(owner, resumed)
		time.Sleep(recoveryTime)
		assert.Assert(t, z.sheds() <= targets, "%d sheds", z.sheds())
		assert.Equal(t, z.refusedFor(steering.ReasonPeerUnreachable), 0)
	})
}

func (z *zone) pause(e *entryVM) chan struct{} {
	resumed := make(chan struct{})
	e.view.mu.Lock()
	e.view.resumed = resumed
	e.view.mu.Unlock()
	z.mu.Lock()
	z.paused[e.name] = resumed
	z.mu.Unlock()
	return resumed
}

func (z *zone) resume(e *entryVM, resumed chan struct{}) {
	e.view.mu.Lock()
	e.view.resumed = nil
	e.view.mu.Unlock()
	z.mu.Lock()
	delete(z.paused, e.name)
	z.mu.Unlock()
	close(resumed)
}
