package rendezvous_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering/rendezvous"
)

func topNode(key uint64, weights map[string]float64) string {
	best, name := math.Inf(-1), ""
	for node, weight := range weights {
		if score := rendezvous.Score(key, rendezvous.Hash(node), weight); score > best {
			best, name = score, node
		}
	}
	return name
}

func TestKeysFollowWeightsAndStayWhenANodeLeaves(t *testing.T) {
	const keys = 20_000
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	less := map[string]float64{"a": 1, "c": 5}
	counts := map[string]int{}
	for n := range keys {
		key := rendezvous.Hash(fmt.Sprint(n))
		before := topNode(key, weights)
		counts[before]++
		if before != "b" {
			assert.Equal(t, topNode(key, less), before)
		}
	}
	for node, weight := range weights {
		assert.Assert(t, math.Abs(float64(counts[node])/keys-weight/8) < 0.01, "%v", counts)
	}
}
