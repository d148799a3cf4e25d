package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
)

// Checks what operators see of another VM: the version in force and since when, what the VM is
// waiting for, and the hash of the content, which only some heartbeats carry.
func TestFollowingKeepsEarlierReports(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(name string) Member {
		return Member{Name: steering.VM(name), Zone: "a", Region: "r", Peer: name + ":1", Control: name + ":2"}
	}
	r := NewRoster(member("self"))
	r.Add(now, member("silent"))
	number := uint64(0)
	heard := func(config, newest uint64, content uint32, wait catchup.Wait) ConfigStatus {
		number++
		now = now.Add(300 * time.Millisecond)
		r.HandleBeat(now, Beat{From: member("other"), Incarnation: 1, Number: number, Serving: true, ConfigContent: content, ConfigWait: wait,
			StoreDigest: feed.Digest{Config: config, Newest: newest}})
		all := r.ConfigStatus(now)
		assert.Equal(t, len(all), 2)
		assert.Equal(t, all[1].Name, steering.VM("silent"))
		assert.Assert(t, all[1].LastHeartbeat.IsZero() && !all[1].Live)
		return all[0]
	}
	first := heard(5, 5, 77, catchup.NotWaiting)
	since := now
	assert.Assert(t, first.Live && first.Version == 5 && first.Content == 77 && first.Since.Equal(since))
	second := heard(5, 7, 0, catchup.PeersBusy)
	assert.Equal(t, second.Content, uint32(77), "as reported before")
	assert.Equal(t, second.Newest, uint64(7))
	assert.Equal(t, second.Wait, catchup.PeersBusy)
	assert.Assert(t, second.Since.Equal(since) && second.LastHeartbeat.Equal(now))
	third := heard(7, 7, 0, catchup.NotWaiting)
	assert.Equal(t, third.Content, uint32(0), "unknown for the new version")
	assert.Assert(t, third.Since.Equal(now))
}
