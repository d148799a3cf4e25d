// Package rendezvous scores nodes for keys by weighted rendezvous hashing: whoever knows
// the same nodes orders them alike for a key, each node comes first for a part of the keys
// in proportion to its weight, and a node that comes or goes moves only its own keys.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or of a node's name.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Score returns a node's score for a key, by their hashes; the highest is first. The weight
// is above 0.
func Score(key, node uint64, weight float64) float64 {
	return -weight / math.Log(Unit(Mix(key^node)))
}

// Unit maps a hash into (0,1).
func Unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// Mix finishes a combination of two hashes (the finalizer of SplitMix64), so that a key's
// scores on different nodes are independent.
func Mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
