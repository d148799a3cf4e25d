package relay

import (
	"bytes"
	"regexp"
	"testing"

	"gotest.tools/v3/golden"

	"heatherlock/node/telemetry"
	"heatherlock/steering/losses"
)

var stamp = regexp.MustCompile(`"ts":"[^"]*"`)

// logged returns what log writes, with a fixed time stamp instead of the current one.
func logged(log func(f *Relay)) string {
	var lines bytes.Buffer
	f := &Relay{outcomeCounts: newOutcomeCounts()}
	f.cfg.Log, f.cfg.Zone = telemetry.NewLogger(&lines, "info"), "norte-a"
	log(f)
	return stamp.ReplaceAllString(lines.String(), `"ts":"2026-01-02T03:04:05Z"`)
}

// Guards against a changed log line of outcome counts that operators' tools cannot find, or that
// does not name the zone.
func TestGoldenSumsLine(t *testing.T) {
	golden.Assert(t, logged(func(f *Relay) {
		f.outcomeCounts.tally.Add(losses.Kind{Service: "tickets", Repeats: "once", AimMs: 400}, losses.Late, losses.WaitedForSlot, true)
		f.LogOutcomeCounts()
	}), "golden/sums-line.json")
}

// Guards against a changed encoding of attempts that log tools cannot parse.
func TestGoldenTries(t *testing.T) {
	golden.Assert(t, logged(func(f *Relay) {
		_ = f.cfg.Log.Log("tries", []tried{{Target: "t1", Zone: "norte-a", Rank: 1, Trial: true, ExpectedMs: 2, WaitMs: 3, AtMs: 4, End: "shed", EndMs: 5}, {Target: "t2"}})
	}), "golden/tries-line.json")
}
