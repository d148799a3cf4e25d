package admit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Guards against a new owner that oversubscribes a target or never uses a slot
// again. A request of a member may end after the member reported its grant and
// before the owner starts granting; such a grant must not be adopted, all others
// must be.
func TestTakeoverAdoptsHeldGrants(t *testing.T) {
	cfg := Config{}.withDefaults()
	m := newMetrics(tally.NoopScope)
	p := newPoolState(poolKey{testPlace, testService}, time.Now(), &cfg, "vm-0", &m, func() string { return "new" })
	p.configure(poolConfig{targets: []routing.Target{{Name: "a", Slots: 4}}}, nil)
	term := p.startTakeover()
	reported := []holding{{grant: "x", target: "a"}, {grant: "y", target: "a"}, {grant: "z", target: "a"}}
	p.release("x", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	own := func() ownHoldings { return ownHoldings{held: []holding{{grant: "own", target: "a"}}} }
	assert.Assert(t, p.startGranting(term, survey{held: reported, pending: map[steering.VM][]string{}}, own, nil))
	assert.Equal(t, p.free(), 1, "y, z and own are in use")
	p.release("y", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	assert.Equal(t, p.free(), 2)
	assert.Assert(t, !p.startGranting(term, survey{held: reported, pending: map[steering.VM][]string{}}, own, nil), "a takeover of an earlier term must not start granting")
}

// Guards against targets being offered more than their slots after a new member
// makes the owner repeat its takeover. The owner must keep the grants it made to
// holders that don't respond or have not received the reply with the grant yet.
func TestRepeatedTakeoverKeepsUnreportedGrants(t *testing.T) {
	cfg := Config{}.withDefaults()
	m := newMetrics(tally.NoopScope)
	n := 0
	p := newPoolState(poolKey{testPlace, testService}, time.Now(), &cfg, "vm-0", &m, func() string { n++; return fmt.Sprint("g", n) })
	p.configure(poolConfig{targets: []routing.Target{{Name: "a", Slots: 4}}}, nil)
	none := func() ownHoldings { return ownHoldings{} }
	assert.Assert(t, p.startGranting(p.startTakeover(), survey{pending: map[steering.VM][]string{}}, none, nil))
	for i, vm := range []steering.VM{"silent", "waiting", "done"} {
		request := slotRequest{id: fmt.Sprint("ask", i), holder: holder{vm: vm}, deadline: time.Now().Add(time.Hour)}
		assert.Equal(t, p.acquire(t.Context(), request).kind, resultGranted)
	}
	term := p.startTakeover()
	reported := survey{pending: map[steering.VM][]string{"waiting": {"ask1"}, "done": nil}}
	assert.Assert(t, p.startGranting(term, reported, none, nil))
	assert.Equal(t, p.free(), 2, "the grants of the silent and of the waiting holder are in use")
	p.release("g1", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	assert.Equal(t, p.free(), 3)
}

// Guards against targets being offered more than their slots after a takeover: the
// owner is paused between granting a slot and sending the reply, another VM takes
// over meanwhile, and the holder uses the late grant that the new owner doesn't
// know.
func TestLateGrantFromFormerOwnerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		holder := z.others(owner)[0]
		granted := make(chan seam.Grant, 1)
		z.work.Go(func() {
			grant, err := holder.admit.Acquire(t.Context(), seam.AdmitRequest{Service: testService, Place: testPlace})
			assert.NilError(t, err)
			granted <- grant
		})
		time.Sleep(oneWayLatency + oneWayLatency/2) // granted; the reply is in transit
		held := make(chan struct{})
		z.mu.Lock()
		z.paused[owner.name] = held
		z.mu.Unlock()
		z.setState(owner.name, seam.MemberSuspect)
		time.Sleep(80 * time.Millisecond)
		z.mu.Lock()
		delete(z.paused, owner.name)
		z.mu.Unlock()
		close(held)
		grant := <-granted
		assert.Equal(t, holder.count("stale_grants"), int64(1))
		next, _ := holder.admit.Owner(testPlace, testService)
		assert.Equal(t, next.VM != owner.name, true)
		grant.Done(unusedOutcome())
		time.Sleep(time.Second)
		assert.Equal(t, z.free(z.vm(next.VM)), capacity)
	})
}

// Guards against a request that its zone can't serve reaching another zone tens of
// milliseconds late because waiting requests are only refused in upkeep rounds.
func TestWaitingRequestIsRefusedOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 1, 1, 1)
		defer z.close()
		time.Sleep(time.Second + 20*time.Millisecond) // between two upkeep rounds
		request := seam.AdmitRequest{Service: testService, Place: testPlace}
		busy, err := z.vms[0].admit.Acquire(t.Context(), request)
		assert.NilError(t, err)
		started := time.Now()
		_, err = z.vms[0].admit.Acquire(t.Context(), request)
		assert.Equal(t, err.(*steering.Refusal).Reason, steering.ReasonNoSlot)
		const serviceTime = 50 * time.Millisecond // assumed before any is measured
		assert.Equal(t, time.Since(started), serviceTime)
		busy.Done(unusedOutcome())
	})
}

// Guards against targets being offered twice their slots after a short network
// stall: the owner doesn't respond for a second, another VM takes over and grants
// slots for long requests, and the owner resumes without learning of those grants.
func TestOwnerAdoptsGrantsOfInterimOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 3, targets, slots)
		defer z.close()
		time.Sleep(time.Second)
		owner := z.owner()
		silent := make(chan struct{})
		z.mu.Lock()
		z.paused[owner.name] = silent
		z.mu.Unlock()
		const long = 10
		for range long {
			z.work.Go(func() { z.call(z.others(owner)[0], 20*time.Second) })
		}
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, z.running(), long)
		z.mu.Lock()
		delete(z.paused, owner.name)
		z.mu.Unlock()
		close(silent)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, z.free(owner), capacity-long)
		z.callers(owner, 2*capacity, service, 5*time.Second)
		time.Sleep(6 * time.Second)
		assert.Equal(t, z.sheds(), 0)
	})
}
