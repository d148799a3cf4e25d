package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// score is a target's weighted rendezvous score for a key; the highest is
// first. With weights in proportion to slots each target gets keys in
// proportion to its slots, and a change of one target moves only its own keys.
func score(keyHash, targetHash uint64, weight float64) float64 {
	u := unit(mix(keyHash ^ targetHash))
	return -weight / math.Log(u)
}

// unit maps a hash into (0,1).
func unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// mix finishes a combination of two hashes (the finalizer of SplitMix64), so
// that a key's scores on different targets are independent.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }
