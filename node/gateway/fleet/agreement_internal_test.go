package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// Guards against VMs that each take the whole fleet for their own while they see different VMs, and against
// ordinary changes of the fleet that count as such a difference.
func TestAgreeingShareFollowsViewsThatDifferForLong(t *testing.T) {
	r, now := NewRoster(Member{Name: "self", Zone: "a", Region: "r"}), time.Unix(1000, 0)
	number := uint64(0)
	beats := func(differing int) {
		now = now.Add(200 * time.Millisecond)
		number++
		for n := range 3 {
			from := Member{Name: steering.VM([]string{"b", "c", "d"}[n]), Zone: "a", Region: "r"}
			r.HandleBeat(now, Beat{From: from, Incarnation: 1, Number: number})
			r.noteLiveSet(now, from.Name, n >= differing)
		}
	}
	assert.Equal(t, r.AgreeingShare(now), 1.0)
	for range 3 {
		beats(2)
		assert.Equal(t, r.AgreeingShare(now), 1.0)
	}
	beats(2)
	assert.Equal(t, r.AgreeingShare(now), 0.5)
	beats(0)
	assert.Equal(t, r.AgreeingShare(now), 1.0)
	beats(1)
	assert.Equal(t, r.AgreeingShare(now.Add(time.Minute)), 1.0, "VMs that are not heard")
}
