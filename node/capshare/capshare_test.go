package capshare

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/objects"
)

// settle is long enough for all to write their seats and wait for them.
const settle = 15 * time.Second

var four = []string{"sur-a-1", "sur-a-2", "sur-b-1", "sur-b-2"}

// Symptom: a cap is used to a fraction while its requests are refused.
// Sequence: look-ups name one entry VM first, so nearly all requests arrive
// there, while the permits lie in equal seats. Cause: nothing moved idle
// permits. Loans do, and the window still holds.
func TestIdlePermitsReachTheBusyEntryVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 80, four...)
		f.lose = 7
		time.Sleep(settle)
		assert.Equal(t, f.seated(), 80)
		begun := time.Now()
		admitted := f.demand(f.nodes[0], 5*time.Millisecond, 20*time.Second)
		assert.Assert(t, f.peak(begun, time.Now()) <= 80)
		// Its own seat alone would let 20 requests a second through.
		assert.Assert(t, admitted > 2*20*20, "%d admitted", admitted)
	})
}

// Symptom: more requests than the cap in a window. Sequence: under full load
// an entry VM dies and the platform is down, so its seat stays; the platform
// returns and loses replies to writes; the list shows the VM as gone; a new VM
// joins while messages between peers get lost. Cause: a seat that two VMs
// believe to hold.
func TestReplacementDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, four...)
		f.lose = 5
		time.Sleep(DefaultListLag + settle)
		begun := time.Now()
		var load sync.WaitGroup
		flood := func(n *entryVM, d time.Duration) { load.Go(func() { f.demand(n, 10*time.Millisecond, d) }) }
		for _, n := range f.nodes {
			flood(n, 90*time.Second)
		}
		time.Sleep(5 * time.Second)
		f.store.Down(true)
		f.kill(f.nodes[2])
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.nodes[0].use().Own, 10, "seats stay during an outage")
		f.store.Down(false)
		f.store.LoseReplies(3)
		f.store.SetVMState("sur-b-1", objects.VMGone)
		flood(f.start("sur-b-3"), 60*time.Second)
		load.Wait()
		assert.Assert(t, f.peak(begun, time.Now()) <= 40)
		assert.Equal(t, f.seated(), 40, "the dead VM's permits are in use again")
		assert.Assert(t, f.nodes[4].use().Own > 0)
	})
}

// Symptom: more requests than the cap, seconds after a suspended VM wakes up.
// Sequence: a VM is suspended with permits in its seat; the platform lists it
// as gone and its permits go to others, who use them; it wakes with callers
// waiting. Cause: it starts requests with what it remembers before it hears
// that the seat is no longer its own.
func TestWokenEntryVMUsesNoPermitsItRemembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, four...)
		time.Sleep(DefaultListLag + settle)
		suspended := f.nodes[2]
		f.kill(suspended) // nothing of it runs; its memory stays
		f.store.SetVMState(string(suspended.self.VM), objects.VMGone)
		time.Sleep(DefaultListLag + settle)
		var load sync.WaitGroup
		for _, n := range f.nodes {
			if n != suspended {
				load.Go(func() { f.demand(n, 10*time.Millisecond, 20*time.Second) })
			}
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.seated(), 40, "the others hold all permits")
		suspended.woken.Store(true)
		f.mu.Lock()
		suspended.dead, suspended.cut = false, true
		f.mu.Unlock()
		begun := time.Now()
		f.demand(suspended, 10*time.Millisecond, 2*time.Second)
		peak := f.peak(begun, time.Now())
		assert.Assert(t, peak <= 40, "peak %d", peak)
		load.Wait()
	})
}

// Symptom: as above, by one request a permit. Sequence: the process is suspended
// while a request waits for a permit, which is free when it wakes. Cause: the
// pause is looked for only before the wait.
func TestPauseWithinTheWaitForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, four...)
		time.Sleep(settle)
		n := f.nodes[0]
		for _, other := range f.nodes[1:] {
			f.kill(other) // nobody lends
		}
		time.Sleep(settle)
		permit, err := n.caps.Admit(f.ctx, service, home, "sur-1")
		assert.NilError(t, err)
		permit.Done(true)
		time.Sleep(time.Second - admitWait/2) // the permit comes free within the next wait
		time.AfterFunc(admitWait/4, func() { n.woken.Store(true) })
		_, err = n.caps.Admit(f.ctx, service, home, "sur-1")
		assert.ErrorContains(t, err, "cap_reached")
	})
}

// Symptom: a lowered cap is exceeded long after it was accepted. Sequence: the
// cap is lowered while the platform refuses writes, so no seat can change.
// Cause: holders that wait for the record instead of lowering at once.
func TestLowerCapBindsBeforeSeatsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, four...)
		time.Sleep(settle)
		var load sync.WaitGroup
		for _, n := range f.nodes {
			load.Go(func() { f.demand(n, 10*time.Millisecond, 20*time.Second) })
		}
		time.Sleep(5 * time.Second)
		f.setCap(8)
		f.store.CutOff("sur-a", true)
		f.store.CutOff("sur-b", true)
		learnt := time.Now().Add(spread + time.Second + 10*time.Millisecond)
		load.Wait()
		assert.Assert(t, f.peak(learnt, time.Now()) <= 8, "peak %d", f.peak(learnt, time.Now()))
		assert.Equal(t, f.seated(), 40, "no seat was written yet")
		f.store.CutOff("sur-a", false)
		f.store.CutOff("sur-b", false)
		time.Sleep(settle)
		assert.Equal(t, f.seated(), 8)
	})
}

// Symptom: an operator reads that a cap is hardly used while its requests are
// refused. Sequence: the entry VM asked holds no permits in use; a holder dies.
// Cause: a status of one's own permits only, or one that counts the silent as
// idle.
func TestTotalCountsAllHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, four...)
		time.Sleep(settle)
		for range 7 {
			_, err := f.nodes[3].caps.Admit(f.ctx, service, home, "sur-2")
			assert.NilError(t, err)
		}
		_, known := f.nodes[0].caps.TotalUsage(capName)
		assert.Assert(t, !known, "nobody was asked yet")
		time.Sleep(time.Second)
		total, known := f.nodes[0].caps.TotalUsage(capName)
		assert.Assert(t, known)
		assert.Equal(t, total.InUse, 7)
		assert.Equal(t, total.Unresponsive, 0)
		f.kill(f.nodes[1])
		time.Sleep(2 * time.Second)
		f.nodes[0].caps.TotalUsage(capName)
		time.Sleep(time.Second)
		total, _ = f.nodes[0].caps.TotalUsage(capName)
		assert.Equal(t, total.Unresponsive, 1)
	})
}

func (n *entryVM) use() Use {
	use, _ := n.caps.Use(capName)
	return use
}
