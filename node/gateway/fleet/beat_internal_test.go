package fleet

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

func TestBeatRoundTrip(t *testing.T) {
	m := Member{Name: "front-a-1", Zone: "a", Region: "r", Peer: "10.0.0.1:1", Control: "10.0.0.1:2", Callers: "10.0.0.1:3"}
	b := Beat{From: m, Incarnation: 9, Number: 77, Serving: true, StoreReadsFail: true, WantsMembers: true, WantsReply: true, Crowd: 1 << 31, Mates: []uint32{1<<24 - 2, 7},
		StoreDigest: feed.Digest{Revision: 500, Content: 1 << 63, Config: 7, Newest: 9, ConfigRevision: 499, EvacuationRevision: 300, AgeMs: 12, Evacuated: []steering.Zone{"z"}},
		Demand:      placement.DemandOf{"s": {Rate: 1.5, RunMs: 110, Runs: 7}}, Members: []Member{m}}
	raw, err := encode(b, true)
	assert.NilError(t, err)
	got, id, err := decode(raw)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got, b), "%+v", got)
	assert.Equal(t, id, idOf(m.Name))
}

// Guards against growth of the short form, which three in four heartbeats have. Heartbeats are the
// largest part of the traffic between regions.
func TestUsualBeatIsShort(t *testing.T) {
	b := Beat{From: Member{Name: "front-puerto-montt-a-14", Zone: "puerto-montt-a", Region: "sur", Peer: "10.0.0.1:12345"}, Incarnation: 1 << 31, Number: 100000, Serving: true,
		StoreDigest: feed.Digest{Revision: 1 << 20, Content: 1 << 63, Config: 300, Newest: 300, ConfigRevision: 1 << 19, EvacuationRevision: 1 << 19, AgeMs: 900}}
	raw, err := encode(b, false)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= 64, "%d bytes", len(raw))
	_, _, err = decode([]byte("nonsense"))
	assert.Assert(t, err != nil)
}
