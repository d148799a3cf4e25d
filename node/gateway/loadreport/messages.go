package loadreport

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/rendezvous"
)

// IDs of the sections of this package.
const (
	sectionLoads   = 1
	sectionWeights = 2
)

const (
	// hashBits is the size of the hash that stands for a target. Two of 1,250 targets of a region have
	// the same one in 1 of 700 regions; those keep the weight 1.
	hashBits = 29
	maxHash  = 1<<hashBits - 1
	// levelBits hold a weight in eighths, from 1 to 7.
	levelBits = 32 - hashBits
	levels    = 1 << levelBits
	// loadSteps is the resolution of a load: 1/20, up to 12.75.
	loadSteps = 20
	// loadEntryBytes and weightEntryBytes are the sizes of entries.
	loadEntryBytes   = 6
	weightEntryBytes = 4
)

// hashOf returns the hash that stands for a target in datagrams.
func hashOf(name steering.Target) uint32 {
	return uint32(rendezvous.Hash(string(name)) >> (64 - hashBits))
}

// loadsMessage reports the loads of targets to a balancer. Entries holds for each target 4 bytes with its
// hash, its load in steps of 1/loadSteps, and its number of responses.
type loadsMessage struct {
	_       struct{} `cbor:",toarray"`
	Entries []byte
}

// loadEntry is the load of a target.
type loadEntry struct {
	hash      uint32
	mean      float64
	responses int
}

func encodeLoads(entries []loadEntry) ([]byte, error) {
	packed := make([]byte, 0, len(entries)*loadEntryBytes)
	for _, e := range entries {
		packed = binary.BigEndian.AppendUint32(packed, e.hash)
		packed = append(packed, uint8(min(max(math.Round(e.mean*loadSteps), 0), math.MaxUint8)), uint8(min(e.responses, math.MaxUint8)))
	}
	raw, err := cbor.Marshal(loadsMessage{Entries: packed})
	if err != nil {
		return nil, errors.Wrap(err, "loadreport: encode loads")
	}
	return raw, nil
}

func decodeLoads(raw []byte) ([]loadEntry, error) {
	var m loadsMessage
	if err := cbor.Unmarshal(raw, &m); err != nil || len(m.Entries)%loadEntryBytes != 0 {
		return nil, errMalformed
	}
	entries := make([]loadEntry, 0, len(m.Entries)/loadEntryBytes)
	for e := range slices.Chunk(m.Entries, loadEntryBytes) {
		entries = append(entries, loadEntry{binary.BigEndian.Uint32(e) & maxHash, float64(e[4]) / loadSteps, int(e[5])})
	}
	return entries, nil
}

// weightsMessage is a balance.Message of a region. Entries holds for each target 4 bytes with its hash and
// its weight in eighths.
type weightsMessage struct {
	_           struct{} `cbor:",toarray"`
	Region      steering.Region
	Start       int64
	Number      uint32
	First, Last uint32
	Entries     []byte
}

func encodeWeights(region steering.Region, m balance.Message) ([]byte, error) {
	packed := make([]byte, 0, len(m.Levels)*weightEntryBytes)
	for _, hash := range slices.Sorted(maps.Keys(m.Levels)) {
		eighths := min(max(int(math.Round(m.Levels[hash]*levels)), 1), levels-1)
		packed = binary.BigEndian.AppendUint32(packed, hash<<levelBits|uint32(eighths))
	}
	raw, err := cbor.Marshal(weightsMessage{Region: region, Start: m.Term.Start, Number: m.Term.Number, First: m.First, Last: m.Last, Entries: packed})
	if err != nil {
		return nil, errors.Wrap(err, "loadreport: encode weights")
	}
	return raw, nil
}

func decodeWeights(raw []byte) (steering.Region, balance.Message, error) {
	var w weightsMessage
	if err := cbor.Unmarshal(raw, &w); err != nil || len(w.Entries)%weightEntryBytes != 0 {
		return "", balance.Message{}, errMalformed
	}
	m := balance.Message{Term: balance.Term{Start: w.Start, Number: w.Number}, First: w.First, Last: w.Last, Levels: make(map[uint32]float64)}
	for e := range slices.Chunk(w.Entries, weightEntryBytes) {
		packed := binary.BigEndian.Uint32(e)
		if eighths := packed & (levels - 1); eighths > 0 {
			m.Levels[packed>>levelBits] = float64(eighths) / levels
		}
	}
	return w.Region, m, nil
}

// split divides weights into messages of at most entries weights. Each is complete for a range of hashes,
// so that the loss of one leaves only the targets of its range with their earlier weights.
func split(term balance.Term, weights map[uint32]float64, entries int) []balance.Message {
	hashes := slices.Sorted(maps.Keys(weights))
	var messages []balance.Message
	first := uint32(0)
	for len(hashes) > entries {
		last := hashes[entries-1]
		messages = append(messages, part(term, first, last, hashes[:entries], weights))
		first, hashes = last+1, hashes[entries:]
	}
	return append(messages, part(term, first, maxHash, hashes, weights))
}

func part(term balance.Term, first, last uint32, hashes []uint32, weights map[uint32]float64) balance.Message {
	m := balance.Message{Term: term, First: first, Last: last, Levels: make(map[uint32]float64, len(hashes))}
	for _, hash := range hashes {
		m.Levels[hash] = weights[hash]
	}
	return m
}
