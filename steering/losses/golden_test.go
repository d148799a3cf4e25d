package losses_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering/losses"
)

// Guards against sums that operators' tools cannot parse in a log, because a field that is encoded
// under its Go name was renamed or the text of a cause changed. Entry VMs log sums as a list encoded
// by json.Marshal.
func TestGoldenSums(t *testing.T) {
	full := losses.Sum{Kind: losses.Kind{Service: "tickets", Repeats: "once", AimMs: 400}, Asked: 1000, Again: 7, InAim: 600,
		Late: map[losses.Cause]int{
			losses.HeadOfLineBlocked: 1, losses.CallerLate: 2, losses.WaitedForSlot: 3, losses.ColdKey: 4, losses.OtherRegion: 5, losses.Other: 6},
		Refused: map[losses.Cause]int{
			losses.VMStarting: 11, losses.ConfigBehind: 12, losses.WorkspaceUnknown: 13, losses.OverAllowance: 14, losses.NoCommonHomeRegion: 15,
			losses.NoTarget: 16, losses.NoSlotPredicted: 17, losses.PoisonRequest: 18, losses.RetryBudgetSpent: 19, losses.DeadlineTooShort: 20,
			losses.OverShare: 21},
		Failed: map[losses.Cause]int{
			losses.TargetShedding: 31, losses.TargetFailing: 32, losses.TargetLost: 33, losses.InvalidResponse: 34, losses.TargetSlow: 35, losses.CallerDisconnected: 36}}
	sums := []losses.Sum{full, {Kind: losses.Kind{Service: "maps", Repeats: "idempotent"}, Asked: 1}}
	raw, err := json.Marshal(sums)
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "golden/sums.json")

	var read []losses.Sum
	assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/sums.json"), &read))
	assert.DeepEqual(t, read, sums)
	assert.Equal(t, losses.LogMessage, "answers", "operators' tools search for this message")
}

// Guards against a changed text of an outcome, which operators' tools could not parse.
func TestGoldenOutcomes(t *testing.T) {
	names := ""
	for _, o := range []losses.Outcome{losses.InAim, losses.Late, losses.Refused, losses.Failed} {
		names += o.String() + "\n"
	}
	golden.Assert(t, names, "golden/outcomes.txt")
}
