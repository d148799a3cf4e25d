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

// Symptom: a new owner offers a target work that it has no slots for, or never
// uses a slot again. Sequence: members tell what they hold, one of their
// requests ends, and only then does the count begin. Cause: holdings that were
// not counted, or were counted although they had ended.
func TestTakeoverCountsWhatIsHeld(t *testing.T) {
	cfg := Config{}.withDefaults()
	m := newMetrics(tally.NoopScope)
	h := newHosted(poolKey{testPlace, testService}, time.Now(), &cfg, "vm-0", &m, func() string { return "new" })
	h.configure(wanted{targets: []routing.Target{{Name: "a", Slots: 4}}}, nil)
	term := h.startTaking()
	told := []holding{{grant: "x", target: "a"}, {grant: "y", target: "a"}, {grant: "z", target: "a"}}
	h.release("x", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	own := func() ownHoldings { return ownHoldings{held: []holding{{grant: "own", target: "a"}}} }
	assert.Assert(t, h.open(term, survey{held: told, asking: map[steering.VM][]string{}}, own, nil))
	assert.Equal(t, h.free(), 1, "y, z and own are in use")
	h.release("y", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	assert.Equal(t, h.free(), 2)
	assert.Assert(t, !h.open(term, survey{held: told, asking: map[steering.VM][]string{}}, own, nil), "a takeover that was overtaken must not begin to count")
}

// Symptom: targets are offered work beyond their slots right after a member
// appeared. Sequence: the owner grants, takes its pool afresh because of the
// newcomer, and a holder does not answer or has not got its reply yet. Cause:
// the owner forgot what it had granted itself.
func TestTakingAfreshKeepsWhatHoldersCannotTell(t *testing.T) {
	cfg := Config{}.withDefaults()
	m := newMetrics(tally.NoopScope)
	n := 0
	h := newHosted(poolKey{testPlace, testService}, time.Now(), &cfg, "vm-0", &m, func() string { n++; return fmt.Sprint("g", n) })
	h.configure(wanted{targets: []routing.Target{{Name: "a", Slots: 4}}}, nil)
	none := func() ownHoldings { return ownHoldings{} }
	assert.Assert(t, h.open(h.startTaking(), survey{asking: map[steering.VM][]string{}}, none, nil))
	for i, vm := range []steering.VM{"silent", "waiting", "done"} {
		request := ask{id: fmt.Sprint("ask", i), holder: holder{vm: vm}, deadline: time.Now().Add(time.Hour)}
		assert.Equal(t, h.acquire(t.Context(), request).kind, answerGranted)
	}
	term := h.startTaking()
	told := survey{asking: map[steering.VM][]string{"waiting": {"ask1"}, "done": nil}}
	assert.Assert(t, h.open(term, told, none, nil))
	assert.Equal(t, h.free(), 2, "those of the silent and of the waiting holder are in use")
	h.release("g1", seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	assert.Equal(t, h.free(), 3)
}

// Symptom: targets are offered work beyond their slots after a takeover.
// Sequence: the owner decides a grant and is held up before its reply is out;
// another entry VM counts the pool meanwhile; the reply arrives. Cause: the
// holder used a grant that the new owner had not counted.
func TestLateGrantOfAFormerOwnerIsGivenBack(t *testing.T) {
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
		time.Sleep(oneWay + oneWay/2) // decided, the reply is on its way
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
		grant.Done(notSent())
		time.Sleep(time.Second)
		assert.Equal(t, z.free(z.vm(next.VM)), capacity)
	})
}

// Symptom: a request that its zone cannot serve reaches another zone tens of
// milliseconds late. Sequence: it waits in the queue until its bound. Cause:
// only the rounds of upkeep looked at waiting requests.
func TestWaitingRequestIsRefusedOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, 1, 1, 1)
		defer z.close()
		time.Sleep(time.Second + 20*time.Millisecond) // between two rounds
		request := seam.AdmitRequest{Service: testService, Place: testPlace}
		busy, err := z.vms[0].admit.Acquire(t.Context(), request)
		assert.NilError(t, err)
		begun := time.Now()
		_, err = z.vms[0].admit.Acquire(t.Context(), request)
		assert.Equal(t, err.(*steering.Refusal).Reason, steering.ReasonNoSlot)
		const serviceTime = 50 * time.Millisecond // assumed before any is measured
		assert.Equal(t, time.Since(begun), serviceTime)
		busy.Done(notSent())
	})
}

// Symptom: targets are offered twice their slots after a short stall of the
// network. Sequence: the owner is silent for a second; another counts the pool
// and grants work that runs on; the owner answers again and counts on. Cause:
// it never learned what was granted in its place.
func TestOwnerLearnsWhatWasGrantedInItsPlace(t *testing.T) {
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
