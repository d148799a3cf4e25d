package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against every VM sending heartbeats to all others for each change of the targets. Their
// traffic would grow with the square of the fleet size.
func TestTargetChangesAreNotAnnouncedByEveryVM(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.zones = 2
	var all []*vm
	for n := range 12 {
		all = append(all, s.start(n+1))
	}
	for _, v := range all {
		within(t, 5*time.Second, "ready", func() bool { return s.ready(v) })
	}
	total := func() (bytes int64) {
		for _, v := range all {
			bytes += v.gateway.HeartbeatBytes()
		}
		return bytes
	}
	sent := func(d time.Duration) int64 {
		before := total()
		time.Sleep(d)
		return total() - before
	}
	const span = 5 * time.Second
	time.Sleep(2 * time.Second)
	idle := sent(span)
	stop := make(chan struct{})
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				s.register("t2", []string{"ready", "draining"}[seq%2], seq)
			}
		}
	}()
	busy := sent(span)
	close(stop)
	t.Logf("%d bytes when idle, %d with changes", idle, busy)
	assert.Assert(t, busy < idle*115/100, "%d bytes when idle, %d with changes", idle, busy)
}
