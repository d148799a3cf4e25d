package shiftdriver

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/objects"
	"heatherlock/steering/routing"
	"heatherlock/steering/shift"
)

// stored is a fake platform that records the last write as text.
type stored struct {
	objects.API
	written string
	value   json.RawMessage
}

func (s *stored) Create(_ context.Context, kind, name string, value json.RawMessage) (objects.Object, error) {
	s.written, s.value = fmt.Sprintf("create %s %s\n", kind, name), value
	return objects.Object{Version: 31}, nil
}

func (s *stored) Update(_ context.Context, kind, name string, version int64, value json.RawMessage) (objects.Object, error) {
	s.written, s.value = fmt.Sprintf("update %s %s %d\n", kind, name, version), value
	return objects.Object{Version: version + 1}, nil
}

// Guards against progress that another entry VM decodes differently, so that a shift starts over or
// never completes. A test in node/dynamic covers the decoding.
func TestGoldenProgress(t *testing.T) {
	declared := &routing.Shift{Name: "move", Version: 11, Service: "tickets", Route: routing.Route{From: "norte", To: "sur-1"}, Step: 20, Every: 21 * time.Second}
	since := time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.FixedZone("there", 3600))
	for name, c := range map[string]struct {
		declared *routing.Shift
		before   *routing.ShiftProgress
		decision shift.Decision
	}{
		"full": {declared, &routing.ShiftProgress{Version: 41, Moved: 20},
			shift.Decision{Moved: 40, State: shift.Held, HeldBy: "sur-1 is busy", WaitsForTurn: true, Remaining: 90 * time.Second}},
		"first": {&routing.Shift{Name: "move"}, nil, shift.Decision{State: shift.Waiting}},
	} {
		t.Run(name, func(t *testing.T) {
			platform, v := &stored{}, &view{zone: "sur-a"}
			d, err := New(Config{Configs: v, Members: v, Platform: platform, Leader: func() (int64, bool) { return 0, true },
				Pools: func() []Pool { return nil }, CapRefusals: func(string) int64 { return 0 }, TTL: ttl})
			assert.NilError(t, err)
			d.states["move"] = &shiftState{}
			s := &routing.Snapshot{Shifts: map[string]*routing.Shift{"move": c.declared}, Progress: map[string]*routing.ShiftProgress{"move": c.before}}
			assert.NilError(t, d.record(t.Context(), s, "move", c.decision, 51, since))
			golden.Assert(t, platform.written, "golden/progress-"+name+"-call.txt")
			golden.Assert(t, string(platform.value)+"\n", "golden/progress-"+name+".json")
		})
	}
}
