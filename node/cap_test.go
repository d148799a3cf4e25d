package node_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/witness"
)

// Symptom: a shift brings more work than its cap allows. Sequence: work from
// zone a floods both entry VMs of zone b under a cap; the platform goes down;
// one of them is killed and replaced meanwhile, so that the new process has no
// seat and must borrow; the platform comes back. Cause: permits that the dead
// process, the new one and the lender all use.
func TestCapHoldsThroughReplacementAndOutage(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.planned.Caps = []witness.CapLimit{{Service: "tickets", From: []string{"pa"}, To: []string{"pb"}, Requests: 20, Window: time.Second}}
		f.declare("Shift", "move", `{"service":"tickets","from":"pa","to":"pb","percent":50,"stepPercent":50,"stepSeconds":1}`)
		f.declare("Cap", "limit", `{"shift":"move","requests":20,"windowMs":1000}`)
		time.Sleep(20 * time.Second)

		var load sync.WaitGroup
		flood := func(vm string, length time.Duration) {
			load.Go(func() {
				caller := f.caller("a")
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
					_, _ = f.send(caller, errand{method: http.MethodGet, vm: vm, service: "tickets", home: "pa"})
				}
			})
		}
		for range 2 {
			flood("eb1", 5*time.Second)
			flood("eb2", 25*time.Second)
		}
		time.Sleep(5500 * time.Millisecond)
		f.store.Down(true)
		f.crash("eb1")
		time.Sleep(time.Second)
		f.start("eb1", "b")
		f.settle()
		flood("eb1", 10*time.Second)
		time.Sleep(5 * time.Second)
		f.store.Down(false)
		load.Wait()
		verdict := f.witness.Judge(time.Now(), f.planned)
		assert.Assert(t, verdict.CapAdmitted > 100, "the cap was hardly used: %d", verdict.CapAdmitted)
	})
}
