package loadreport

import (
	"encoding/hex"
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering/balance"
)

// Guards against load reports and weights that old and new entry VMs decode differently: VMs would use
// different weights, and keys would run cold.
func TestGoldenDatagram(t *testing.T) {
	loads, err := encodeLoads([]loadEntry{{hashOf("target-1"), 1.5, 7}, {maxHash, 100, 1000}, {0, -1, 0}})
	assert.NilError(t, err)
	message := balance.Message{Term: balance.Term{Start: 1700000000123, Number: 9}, First: 5, Last: maxHash, Levels: map[uint32]float64{hashOf("target-1"): 0.125, maxHash: 0.875}}
	weights, err := encodeWeights("norte", message)
	assert.NilError(t, err)
	d := datagram{From: "vm-1", Incarnation: 1<<31 + 1, Number: 1<<40 + 2, Sections: []sectionData{{ID: sectionLoads, Data: loads}, {ID: sectionWeights, Data: weights}, {ID: 200, Data: []byte("other")}}}
	raw, err := encode(d)
	assert.NilError(t, err)
	var text strings.Builder
	for line := range slices.Chunk(raw, 50) {
		text.WriteString(hex.EncodeToString(line) + "\n")
	}
	golden.Assert(t, text.String(), "golden/datagram.hex")

	raw, err = hex.DecodeString(strings.Join(strings.Fields(string(golden.Get(t, "golden/datagram.hex"))), ""))
	assert.NilError(t, err)
	got, err := decode(raw)
	assert.NilError(t, err)
	assert.Equal(t, got.Number, d.Number)
	entries, err := decodeLoads(got.Sections[0].Data)
	assert.NilError(t, err)
	assert.Equal(t, entries[0], loadEntry{hashOf("target-1"), 1.5, 7})
	assert.Equal(t, entries[1], loadEntry{maxHash, 12.75, math.MaxUint8})
	assert.Equal(t, entries[2], loadEntry{0, 0, 0})
	region, decoded, err := decodeWeights(got.Sections[1].Data)
	assert.NilError(t, err)
	assert.Equal(t, string(region), "norte")
	assert.DeepEqual(t, decoded, message)
	assert.Equal(t, hashOf("target-1"), uint32(429011068), "VMs of all versions must derive the same hash for a target")
}

// Guards against a VM that fails on, or applies, what it cannot read.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{version, 0x84, 0x60, 0, 0, 0x80})
	f.Add([]byte{version + 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := decode(raw)
		if err != nil {
			return
		}
		for _, s := range d.Sections {
			_, _ = decodeLoads(s.Data) // must not panic
			if _, m, err := decodeWeights(s.Data); err == nil {
				for _, level := range m.Levels {
					assert.Assert(t, level >= balance.MinWeight && level < 1)
				}
			}
		}
	})
}
