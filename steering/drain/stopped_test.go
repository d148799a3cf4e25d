package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// newSnapshot returns a snapshot with the given stops and two zones, each of which has one
// place with two targets.
func newSnapshot(stops ...*routing.Stop) *routing.Snapshot {
	s := &routing.Snapshot{Places: map[steering.Place]*routing.Place{}, Stops: map[string]*routing.Stop{}}
	for _, zone := range []string{"sur-a", "sur-b"} {
		p := &routing.Place{Name: steering.Place("place-" + zone), Zone: steering.Zone(zone), Region: "sur"}
		for _, n := range []string{"1", "2"} {
			p.Targets = append(p.Targets, routing.Target{Name: steering.Target(zone + "-t" + n), Place: p.Name})
		}
		s.Places[p.Name] = p
	}
	for _, stop := range stops {
		s.Stops[stop.Name] = stop
	}
	return s
}

// Guards against new requests to what a stop covers indirectly: the places, targets and
// entry VMs of a zone, and the targets of a place. A stop takes effect at its start time.
func TestStoppedCoversWhatLiesInside(t *testing.T) {
	s := newSnapshot(
		&routing.Stop{Name: "zone", Kind: routing.StopZone, Subject: "sur-a"},
		&routing.Stop{Name: "later", Kind: routing.StopPlace, Subject: "place-sur-b", At: noon.Add(time.Minute)},
		&routing.Stop{Name: "vm", Kind: routing.StopEntryVM, Subject: "sur-b-1", At: noon},
		&routing.Stop{Name: "unknown", Kind: routing.StopPlace, Subject: "nowhere"},
	)
	set := Stopped(s, noon)
	stop, ok := set.Target("sur-a-t2")
	assert.Assert(t, ok)
	assert.Equal(t, stop, "zone")
	_, ok = set.Place("place-sur-a")
	assert.Assert(t, ok)
	_, ok = set.VM("sur-a-1", "sur-a")
	assert.Assert(t, ok, "a zone's stop covers its entry VMs")
	_, ok = set.VM("sur-b-1", "sur-b")
	assert.Assert(t, ok, "a stop starts at its time, not after it")
	_, ok = set.VM("sur-b-2", "sur-b")
	assert.Assert(t, !ok)
	_, ok = set.Target("sur-b-t1")
	assert.Assert(t, !ok)
	assert.Equal(t, set.Next(), noon.Add(time.Minute))

	set = Stopped(s, set.Next())
	_, ok = set.Target("sur-b-t1")
	assert.Assert(t, ok)
	assert.Assert(t, set.Next().IsZero())
}

func TestNoSnapshotStopsNothing(t *testing.T) {
	_, ok := Stopped(nil, noon).Target("any")
	assert.Assert(t, !ok)
}
