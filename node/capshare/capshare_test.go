package capshare

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/objects"
)

// seatsSettleTime is long enough for all entry VMs to write their seats and to wait until they
// may use new permits.
const seatsSettleTime = 15 * time.Second

var fourVMs = []string{"sur-a-1", "sur-a-2", "sur-b-1", "sur-b-2"}

// Guards against refused requests while most of a cap is unused. Look-ups name the same entry VM
// first, so nearly all requests arrive there, while the permits are in equal seats. Loans must
// move idle permits to it, and no window may exceed the cap.
func TestIdlePermitsAreLentToBusyEntryVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 80, fourVMs...)
		f.loseEvery = 7
		time.Sleep(seatsSettleTime)
		assert.Equal(t, f.permitsInSeats(), 80)
		begun := time.Now()
		admitted := f.sendRequests(f.nodes[0], 5*time.Millisecond, 20*time.Second)
		assert.Assert(t, f.peak(begun, time.Now()) <= 80)
		// Its own seat alone would admit 20 requests a second.
		assert.Assert(t, admitted > 2*20*20, "%d requests admitted", admitted)
	})
}

// Guards against more requests in a window than the cap allows, caused by one seat that two VMs
// use. Under full load an entry VM crashes during a platform outage, so its seat stays. The
// platform recovers but loses replies to writes, the list shows the VM as gone, and a new VM
// joins while messages between peers are lost.
func TestVMReplacedDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, fourVMs...)
		f.loseEvery = 5
		time.Sleep(DefaultListLag + seatsSettleTime)
		begun := time.Now()
		var load sync.WaitGroup
		sendLoad := func(n *entryVM, d time.Duration) { load.Go(func() { f.sendRequests(n, 10*time.Millisecond, d) }) }
		for _, n := range f.nodes {
			sendLoad(n, 90*time.Second)
		}
		time.Sleep(5 * time.Second)
		f.store.Down(true)
		f.kill(f.nodes[2])
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.nodes[0].use().Own, 10, "seats stay during an outage")
		f.store.Down(false)
		f.store.LoseReplies(3)
		f.store.SetVMState("sur-b-1", objects.VMGone)
		sendLoad(f.start("sur-b-3"), 60*time.Second)
		load.Wait()
		assert.Assert(t, f.peak(begun, time.Now()) <= 40)
		assert.Equal(t, f.permitsInSeats(), 40, "the crashed VM's permits are in use again")
		assert.Assert(t, f.nodes[4].use().Own > 0)
	})
}

// Guards against more requests than the cap allows, seconds after a suspended VM resumes. A VM is
// suspended with permits in its seat, the platform lists it as gone, and other VMs use its
// permits. It resumes with callers waiting and must not start requests with the permits in its
// memory before it learns that it lost the seat.
func TestResumedEntryVMDoesNotUseStalePermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, fourVMs...)
		time.Sleep(DefaultListLag + seatsSettleTime)
		suspended := f.nodes[2]
		f.kill(suspended) // stops its loops but keeps its memory
		f.store.SetVMState(string(suspended.self.VM), objects.VMGone)
		time.Sleep(DefaultListLag + seatsSettleTime)
		var load sync.WaitGroup
		for _, n := range f.nodes {
			if n != suspended {
				load.Go(func() { f.sendRequests(n, 10*time.Millisecond, 20*time.Second) })
			}
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.permitsInSeats(), 40, "the others hold all permits")
		suspended.paused.Store(true)
		f.mu.Lock()
		suspended.stopped, suspended.noSnapshots = false, true
		f.mu.Unlock()
		begun := time.Now()
		f.sendRequests(suspended, 10*time.Millisecond, 2*time.Second)
		peak := f.peak(begun, time.Now())
		assert.Assert(t, peak <= 40, "largest number of requests in a window: %d", peak)
		load.Wait()
	})
}

// Guards against a resumed VM that starts one request per stale permit beyond the cap. The
// process is suspended while a request waits for a permit that is free when it resumes. Checking
// for the pause only before the wait would cause it.
func TestPauseWhileWaitingForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, fourVMs...)
		time.Sleep(seatsSettleTime)
		n := f.nodes[0]
		for _, other := range f.nodes[1:] {
			f.kill(other) // no other VM can lend
		}
		time.Sleep(seatsSettleTime)
		permit, err := n.caps.Admit(f.ctx, service, home, "sur-1")
		assert.NilError(t, err)
		permit.Done(true)
		time.Sleep(time.Second - maxPermitWait/2) // the permit becomes free during the next wait
		time.AfterFunc(maxPermitWait/4, func() { n.paused.Store(true) })
		_, err = n.caps.Admit(f.ctx, service, home, "sur-1")
		assert.ErrorContains(t, err, "cap_reached")
	})
}

// Guards against a lowered cap that is exceeded long after it was accepted. The cap is lowered
// while the platform refuses writes, so no seat can change. Holders must apply the lower cap
// immediately and not wait for the stored seats.
func TestLoweredCapAppliesBeforeSeatsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, fourVMs...)
		time.Sleep(seatsSettleTime)
		var load sync.WaitGroup
		for _, n := range f.nodes {
			load.Go(func() { f.sendRequests(n, 10*time.Millisecond, 20*time.Second) })
		}
		time.Sleep(5 * time.Second)
		f.setCap(8)
		f.store.CutOff("sur-a", true)
		f.store.CutOff("sur-b", true)
		lowerCapKnown := time.Now().Add(snapshotDelay + time.Second + 10*time.Millisecond)
		load.Wait()
		assert.Assert(t, f.peak(lowerCapKnown, time.Now()) <= 8, "peak %d", f.peak(lowerCapKnown, time.Now()))
		assert.Equal(t, f.permitsInSeats(), 40, "no seat was written yet")
		f.store.CutOff("sur-a", false)
		f.store.CutOff("sur-b", false)
		time.Sleep(seatsSettleTime)
		assert.Equal(t, f.permitsInSeats(), 8)
	})
}

// Guards against a status that shows a cap as hardly used while its requests are refused. The
// entry VM that is asked uses no permits itself, and a holder crashes. The status must include
// all holders and must not count an unresponsive one as idle.
func TestTotalCountsAllHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, fourVMs...)
		time.Sleep(seatsSettleTime)
		for range 7 {
			_, err := f.nodes[3].caps.Admit(f.ctx, service, home, "sur-2")
			assert.NilError(t, err)
		}
		_, known := f.nodes[0].caps.TotalUsage(capName)
		assert.Assert(t, !known, "the total is known before the holders were polled")
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

func (n *entryVM) use() Usage {
	use, _ := n.caps.Usage(capName)
	return use
}
