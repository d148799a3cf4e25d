package node_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/witness"
)

// Guards against a shift that admits more requests than its cap allows. Requests from zone a
// overload both entry VMs of zone b under a cap, the platform is down, and one of the two is killed
// and replaced meanwhile, so that the new process has no seat and has to borrow permits. The failure
// occurs if the killed process, its replacement and the lender all use the same permits.
func TestCapHoldsThroughReplacementAndOutage(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.planned.Caps = []witness.CapLimit{{Service: "tickets", From: []string{"pa"}, To: []string{"pb"}, Requests: 20, Window: time.Second}}
		f.createObject("Shift", "move", `{"service":"tickets","from":"pa","to":"pb","percent":50,"stepPercent":50,"stepSeconds":1}`)
		f.createObject("Cap", "limit", `{"shift":"move","requests":20,"windowMs":1000}`)
		time.Sleep(20 * time.Second)

		var load sync.WaitGroup
		flood := func(vm string, length time.Duration) {
			load.Go(func() {
				caller := f.caller("a")
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
					_, _ = f.send(caller, callSpec{method: http.MethodGet, vm: vm, service: "tickets", home: "pa"})
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
		f.waitForConvergence()
		flood("eb1", 10*time.Second)
		time.Sleep(5 * time.Second)
		f.store.Down(false)
		load.Wait()
		verdict := f.witness.Judge(time.Now(), f.planned)
		assert.Assert(t, verdict.CapAdmitted > 100, "only %d requests were admitted under the cap", verdict.CapAdmitted)
	})
}
