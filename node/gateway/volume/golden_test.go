package volume_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/volume"
)

// Guards against sums of bytes in which operators' tools cannot find a purpose or a distance because
// its encoded name changed. A test in node/gateway covers the log line that contains the sums.
func TestGoldenSums(t *testing.T) {
	sums := volume.Sums{volume.Requests: {Zone: 1, Region: 2, Across: 3, Unknown: 4}, volume.Heartbeats: {Zone: 5}, volume.Allowances: {Region: 6},
		volume.Targets: {Across: 7}, volume.Configuration: {Unknown: 8}, volume.Store: {}}
	raw, err := json.Marshal(sums)
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "golden/sums.json")
	var got volume.Sums
	assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/sums.json"), &got))
	assert.DeepEqual(t, got, sums)
	byDistance, err := json.Marshal(sums[volume.Requests].ByDistance())
	assert.NilError(t, err)
	golden.Assert(t, string(byDistance)+"\n", "golden/by-distance.json")
}
