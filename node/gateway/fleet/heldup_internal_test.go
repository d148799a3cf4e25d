package fleet

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// Guards against a VM that stood still, takes what heartbeats said meanwhile for recent, and makes all others trust an old read of the store.
func TestWhatHeartbeatsSayIsOlderAfterAStandstill(t *testing.T) {
	now, got := time.Unix(1000, 0), int64(0)
	c := &network{conns: make(map[string]*memoryConn)}
	self := Member{Name: "vm-0", Zone: "a", Region: "r", Peer: "10.0.0.1:7620", Control: "10.0.0.1:8649", Callers: "10.0.0.1:8641"}
	f := New(Config{Self: self, Log: log.NewNopLogger(), Clock: func() time.Time { return now }, FillBeat: func(*Beat) {}, OnMembersChange: func() {},
		HandleBeat: func(b Beat) { got = b.StoreDigest.AgeMs }, RequestPeers: func() []steering.VM { return nil }, Suspects: func(bool) []poison.Fact { return nil }}, c.listen(self.Peer))
	number := uint64(0)
	receive := func() int64 {
		number++
		raw, err := encode(Beat{From: Member{Name: "vm-1", Zone: "a", Region: "r", Peer: "10.0.0.2:7620", Control: "10.0.0.2:8649", Callers: "10.0.0.2:8641"},
			Incarnation: 1, Number: number, StoreDigest: feed.Digest{Revision: 7, AgeMs: 500}}, true)
		assert.NilError(t, err)
		f.Receive(raw, nil)
		return got
	}
	f.Tick()
	now = now.Add(100 * time.Millisecond)
	assert.Equal(t, receive(), int64(500))
	now = now.Add(3 * time.Second) // it stood still
	assert.Equal(t, receive(), int64(3600))
	f.Tick()
	now = now.Add(50 * time.Millisecond)
	assert.Equal(t, receive(), int64(3650))
	for range 3 {
		now = now.Add(f.Interval())
		f.Tick()
	}
	assert.Equal(t, receive(), int64(500))
}
