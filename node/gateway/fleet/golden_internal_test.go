package fleet

import (
	"encoding/hex"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

// hexText encodes binary data as lines of hexadecimal digits, so that diffs are readable.
func hexText(raw []byte) string {
	var text strings.Builder
	for line := range slices.Chunk(raw, 50) {
		text.WriteString(hex.EncodeToString(line) + "\n")
	}
	return text.String()
}

// fromHex returns the binary data in a golden file.
func fromHex(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, name))), ""))
	assert.NilError(t, err)
	return raw
}

// fullBeat is a heartbeat with every field set.
func fullBeat() Beat {
	return Beat{
		From:        Member{Name: "vm-1", Zone: "norte-a", Region: "norte", Peer: "10.0.0.1:7640", Control: "10.0.0.1:7633", Callers: "10.0.0.1:7631", Capacity: 1250.5},
		Incarnation: 1<<31 + 1, Number: 1<<40 + 2, Serving: true, Leaving: true, StoreReadsFail: true, ReadingStore: true, WantsReply: true, WantsMembers: true, Crowd: 1<<30 + 3,
		StoreDigest: feed.Digest{Revision: 5000, Content: 1<<63 + 4, ColdRevision: 4990, Config: 17, Newest: 22, ConfigRevision: 4980,
			Evacuated: []steering.Zone{"norte-b", "sur-b"}, EvacuationRevision: 4970, AgeMs: 905},
		ConfigContent: 1<<29 + 6, ConfigWait: catchup.NoPeerAvailable,
		Demand: placement.DemandOf{"tickets": {Rate: 1.5, RunMs: 110.25, Runs: 7, Bound: map[steering.Region]float32{"sur": 0.75}}},
		Mates:  []uint32{1<<24 - 2, 0x010203}, Replaced: []placement.StartID{1<<31 + 8, 9},
		Tight:    []allowance.LowBucketNotice{{Workspace: 1<<62 + 10, LeftMs: 1411}},
		Suspects: []poison.Fact{{ID: 1<<61 + 12, Target: "t1", Deaths: 13, Alone: true, Signature: 1<<60 + 14, Age: 15 * time.Second}, {ID: 16, Age: 17}},
		Members:  []Member{{Name: "vm-2", Zone: "sur-a", Region: "sur", Peer: "10.0.1.1:7640", Control: "10.0.1.1:7633", Callers: "10.0.1.1:7631", Capacity: 300}},
	}
}

func inEpoch(b Beat, epoch uint64) Beat {
	b.StoreDigest.Epoch = epoch
	return b
}

func cutOffBeat() Beat {
	b := fullBeat()
	b.CutOff = true
	return b
}

// Guards against a build that takes what it does not know behind the short IDs for another VM.
func TestFlagsBehindShortIDsAreIgnoredByTheBuildBefore(t *testing.T) {
	for _, mates := range [][]uint32{nil, {7}, {1<<24 - 1, 0}} {
		packed := packMates(Beat{Mates: mates, CutOff: true})
		var known []uint32
		for rest := packed; len(rest) >= 3; rest = rest[3:] {
			known = append(known, uint32(rest[0])<<16|uint32(rest[1])<<8|uint32(rest[2]))
		}
		assert.DeepEqual(t, known, mates)
		assert.Equal(t, len(packed), 3*len(mates)+1)
	}
}

// Guards against heartbeats that old and new entry VMs decode differently because a field moved, is
// encoded under another name or uses another flag bit: they would consider each other gone, or a
// leaving VM to be serving.
func TestGoldenHeartbeats(t *testing.T) {
	sparse := Beat{From: Member{Name: "vm-1"}, Number: 1}
	flag := func(set func(*Beat)) Beat {
		b := sparse
		set(&b)
		return b
	}
	for name, c := range map[string]struct {
		beat      Beat
		addresses bool
	}{
		"full-addresses":     {fullBeat(), true},
		"full":               {fullBeat(), false},
		"full-epoch":         {inEpoch(fullBeat(), 7), false},
		"sparse-addresses":   {sparse, true},
		"sparse":             {sparse, false},
		"sparse-serving":     {flag(func(b *Beat) { b.Serving = true }), false},
		"sparse-leaving":     {flag(func(b *Beat) { b.Leaving = true }), false},
		"sparse-store-fails": {flag(func(b *Beat) { b.StoreReadsFail = true }), false},
		"sparse-reads":       {flag(func(b *Beat) { b.ReadingStore = true }), false},
		"sparse-meets":       {flag(func(b *Beat) { b.WantsReply = true }), false},
		"sparse-asks":        {flag(func(b *Beat) { b.WantsMembers = true }), false},
		"full-cut-off":       {cutOffBeat(), false},
		"sparse-cut-off":     {flag(func(b *Beat) { b.CutOff = true }), false},
		"sparse-zone-report": {flag(func(b *Beat) { b.ZoneReport = true }), false},
	} {
		t.Run(name, func(t *testing.T) {
			file := "golden/beat-" + name + ".hex"
			raw, err := encode(c.beat, c.addresses)
			assert.NilError(t, err)
			golden.Assert(t, hexText(raw), file)
			got, id, err := decode(fromHex(t, file))
			assert.NilError(t, err)
			assert.Equal(t, id, idOf("vm-1"))
			want := c.beat
			if !c.addresses {
				want.From = Member{}
			}
			assert.Assert(t, reflect.DeepEqual(got, want), "%+v", got)
		})
	}
}
