package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// staticConfigs provides one snapshot that never changes.
type staticConfigs struct{ snapshot *routing.Snapshot }

func (c staticConfigs) Snapshot() *routing.Snapshot       { return c.snapshot }
func (c staticConfigs) Subscribe(func(*routing.Snapshot)) {}

var _ seam.Configs = staticConfigs{}

func placeIn(name steering.Place, zone steering.Zone) *routing.Place {
	return &routing.Place{Name: name, Zone: zone, Region: steering.Region(zone[:1]), Targets: []routing.Target{{Service: "tickets"}}}
}

// Guards against forwarding to a zone that cannot be reached, to a full place, or to a distant
// place while a near one has free slots. One zone of the region is full and then refuses, and
// another zone is partitioned, so the order has to consider reachability, refusals and free
// slots.
func TestRemoteOrdersReachablePlaces(t *testing.T) {
	run(t, 2, threeZones, func(f *fleet, nodes []*node) {
		snapshot := &routing.Snapshot{Version: 1, Places: map[steering.Place]*routing.Place{
			"own": placeIn("own", "norte-a"), "near": placeIn("near", "norte-b"), "far": placeIn("far", "sur-a"),
		}}
		remote := NewRemoteZones(RemoteZonesConfig{Members: nodes[0].Members, Configs: staticConfigs{snapshot}})
		first := func() steering.Place {
			places := remote.Candidates("tickets", "own")
			if len(places) == 0 {
				return ""
			}
			return places[0]
		}
		assert.Equal(t, first(), steering.Place("near"))
		remote.OnPools([]*peerpb.PoolFact{{Place: "near", Service: "tickets", Free: 0}})
		assert.Equal(t, first(), steering.Place("far"))
		remote.Hint("near", "tickets", 5)
		assert.Equal(t, first(), steering.Place("near"))
		remote.RecordRefusal("near", "tickets", steering.Refuse(steering.ReasonRampLimited, 2*time.Second, "full"))
		assert.DeepEqual(t, remote.Candidates("tickets", "own"), []steering.Place{"far"})
		f.setPartitioned("sur-a", true)
		f.waitFor(15*time.Second, "the far zone is suspect", nodes[:1], func(n *node) bool {
			return seesState(nodes[4], seam.MemberSuspect)(n) && seesState(nodes[5], seam.MemberSuspect)(n)
		})
		remote.RecordRefusal("near", "tickets", steering.Refuse(steering.ReasonRampLimited, 2*time.Second, "full"))
		assert.Equal(t, first(), steering.Place(""))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, remote.Candidates("tickets", "own"), []steering.Place{"near"})
		assert.Equal(t, len(remote.Candidates("uploads", "own")), 0)
	})
}
