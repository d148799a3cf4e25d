// Package rendezvous computes scores of nodes for keys by weighted rendezvous hashing. Everyone
// who knows the same set of nodes orders them identically for a key. Each node comes first for a
// fraction of the keys in proportion to its weight, and a node that joins or leaves moves only
// the keys that it comes first for.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or of a node name.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Score returns the score of a node for a key, given the hashes of both. The node with the
// highest score comes first. weight must be positive.
func Score(key, node uint64, weight float64) float64 {
	return -weight / math.Log(Unit(Mix(key^node)))
}

// Unit maps a hash to a number in (0, 1).
func Unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// Mix scrambles the combined hash of a key and a node with the finalizer of SplitMix64, so that
// the scores of a key on different nodes are independent.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
