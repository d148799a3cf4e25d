package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/waiting"
)

// Guards against a VM on which all requests hang once it shuts down: a request that is being placed was told so, and
// is offered again before it has read that, under a lock that is then never released.
func TestRequestOfferedAgainWhileTheVMDrains(t *testing.T) {
	h := newHolds(0)
	woken := make(chan wake, 1)
	e := waiting.Entry{Service: "tickets", Target: "t1", RoomAt: time.Now(), LatestStart: time.Now().Add(time.Minute)}
	held, _, _ := h.offer(&e, woken, "")
	assert.Assert(t, held)
	assert.Equal(t, <-woken, wakeRoom)
	h.drain()
	offered := make(chan bool, 1)
	go func() {
		h.offer(&e, woken, "")
		h.end(e.ID, false)
		offered <- true
	}()
	select {
	case <-offered:
	case <-time.After(3 * time.Second):
		t.Fatal("the lock of the waiting requests is held for ever")
	}
	assert.Equal(t, <-woken, wakeDraining)
}
