package feed_test

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/departure"
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

// Guards against updates that old and new entry VMs decode differently: a VM would remove targets
// that still run, or would not notice that one is leaving. The test encodes and decodes as
// peersync.go does.
func TestGoldenUpdates(t *testing.T) {
	for name, update := range map[string]feed.Update{
		"full": {Digest: feed.Digest{Revision: 5000, Content: 1<<63 + 1, ColdRevision: 4990, Config: 17, Newest: 22, ConfigRevision: 4980,
			Evacuated: []steering.Zone{"norte-b", "sur-b"}, EvacuationRevision: 4970, AgeMs: 905}, Since: 4000,
			Entries: []feed.Entry{{Target: platform.Target{Name: "t1", Generation: 1700000000123, Service: "tickets", Address: "10.0.2.1:80", Zone: "norte-a",
				Slots: 3, Leaving: true, ColdLeft: 1500 * time.Millisecond, Beat: 4}, ColdFor: 900 * time.Millisecond, Missing: true},
				{Target: platform.Target{Name: "t2"}}},
			Gone: []steering.Target{"t3", "t4"}},
		"epoch": {Digest: feed.Digest{Epoch: 7, Revision: 5000, Content: 2, Config: 17, Newest: 17, ConfigRevision: 4980, AgeMs: 905}, Since: 6000, SinceEpoch: 6,
			Gone: []steering.Target{"t3"}},
		"departures": {Digest: feed.Digest{Revision: 5000, Content: 2, Config: 17, Newest: 17, ConfigRevision: 4980, AgeMs: 905}, Since: 4000,
			Entries: []feed.Entry{{Target: platform.Target{Name: "t1", Generation: 1700000000123, Service: "tickets", Address: "10.0.2.1:80", Zone: "norte-a",
				Slots: 3, Beat: 4}, Missing: true, MissingFor: 1200 * time.Millisecond}},
			Gone:       []steering.Target{"t3"},
			Departures: []departure.Departure{{Target: "t1", Generation: 1700000000123, Beat: 5}, {Target: "t3", Beat: 900, Gone: true}}},
		"empty": {},
	} {
		t.Run(name, func(t *testing.T) {
			file := "golden/update-" + name + ".hex"
			var told bytes.Buffer
			assert.NilError(t, cbor.NewEncoder(&told).Encode(update))
			golden.Assert(t, hexText(told.Bytes()), file)
			var got feed.Update
			assert.NilError(t, cbor.NewDecoder(bytes.NewReader(fromHex(t, file))).Decode(&got))
			assert.Assert(t, reflect.DeepEqual(got, update), "%+v", got)
		})
	}
}

// Guards against departures that old and new entry VMs decode differently: a VM would go on using targets that are gone.
func TestGoldenDepartures(t *testing.T) {
	for file, told := range map[string]feed.Departures{
		"golden/departures.hex": {All: []departure.Departure{{Target: "t1", Generation: 1700000000123, Beat: 5}, {Target: "t3", Beat: 900, Gone: true}},
			Said: []departure.Departure{{Target: "t4", Generation: 1700000000123}}, KnownForMs: 61_000},
		"golden/departures-settled.hex": {All: []departure.Departure{{Target: "t3", Beat: 900, Gone: true}}, KnownForMs: 3_000, Settled: true},
	} {
		raw, err := cbor.Marshal(told)
		assert.NilError(t, err)
		golden.Assert(t, hexText(raw), file)
		var got feed.Departures
		assert.NilError(t, cbor.Unmarshal(fromHex(t, file), &got))
		assert.DeepEqual(t, got, told)
	}
}
