package shift

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const ttl = 5 * time.Second

// simulation runs shifts into one place, each with its own driver.
type simulation struct {
	t        *rapid.T
	now      time.Time
	declared map[string]*routing.Shift
	progress map[string]*routing.ShiftProgress
	busy     float64
	forward  []time.Time // times of all steps forward
	changed  map[string]time.Time
}

var places = map[steering.Place]*routing.Place{"norte": {Name: "norte"}, "centro": {Name: "centro"}, "sur": {Name: "sur"}}

func declare(name, from, to string, percent, step int) *routing.Shift {
	return &routing.Shift{
		Name: name, Route: routing.Route{From: from, To: to},
		From: []steering.Place{steering.Place(from)}, To: []steering.Place{steering.Place(to)},
		Percent: percent, Step: step, Every: 3 * time.Second,
	}
}

func (w *simulation) inForce(name string) *routing.Shift {
	return InForce(name, w.declared[name], w.progress[name], places)
}

func (w *simulation) others(name string, to steering.Place) []CompetingShift {
	var others []CompetingShift
	for other, p := range w.progress {
		s := w.inForce(other)
		if other == name || s == nil || s.To[0] != to {
			continue
		}
		others = append(others, CompetingShift{
			Name: other, Place: to, Forward: p.Forward, Since: p.Since, Age: w.now.Sub(w.changed[other]),
			WantsStep: p.Moved < s.Percent && (p.State != string(Held) || p.WaitsForTurn),
		})
	}
	return others
}

// decide runs the driver of a shift once and stores its decision.
func (w *simulation) decide(name string) Decision {
	before := w.progress[name]
	in := Input{Now: w.now, Shift: w.inForce(name), Progress: before, TTL: ttl, Age: w.now.Sub(w.changed[name])}
	if in.Shift != nil {
		in.Receivers = []Receiver{{Place: in.Shift.To[0], Service: "tickets", Known: true, Utilization: w.busy}}
		in.Competing = w.others(name, in.Shift.To[0])
	}
	d, err := Decide(in)
	assert.NilError(w.t, err)
	if d.Delete {
		delete(w.progress, name)
		return d
	}
	if d.Unchanged || in.Shift == nil {
		return d
	}
	next := routing.ShiftProgress{Route: in.Shift.Route, Step: in.Shift.Step, EverySeconds: 3, State: string(d.State),
		Moved: d.Moved, HeldBy: d.HeldBy, WaitsForTurn: d.WaitsForTurn}
	moved := 0
	if before != nil {
		next.Since, next.Forward, moved = before.Since, before.Forward, before.Moved
	}
	if d.Moved != moved {
		w.checkStep(name, moved, d.Moved, in.Shift)
		next.Since, next.Forward = w.now, d.Moved > moved
	}
	w.progress[name] = &next
	return d
}

// checkStep checks a change of the moved share against the rules for steps.
func (w *simulation) checkStep(name string, from, to int, s *routing.Shift) {
	size := to - from
	if size < 0 {
		size = -size
	}
	assert.Assert(w.t, size <= s.Step, "a step of %d", size)
	if last, ok := w.changed[name]; ok {
		assert.Assert(w.t, w.now.Sub(last) >= ttl, "two steps within the TTL of look-up answers")
	}
	w.changed[name] = w.now
	if to < from {
		return
	}
	assert.Assert(w.t, w.busy < holdUtilization, "step forward although the slots are busy")
	for _, at := range w.forward {
		assert.Assert(w.t, w.now.Sub(at) >= ttl, "two shifts stepped into the same place within one TTL")
	}
	w.forward = append(w.forward, w.now)
}

// Guards against overloading a place with the callers moved to it. This happens if steps come
// faster than cached look-up answers expire, if a step is made while the slots are busy, if two
// shifts into the same place step at the same time, or if all moved callers return at once after a
// shift is deleted or redirected. A decision that considers only the last step or only its own
// shift has these faults.
func TestStepsArePaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: noon, declared: map[string]*routing.Shift{}, progress: map[string]*routing.ShiftProgress{}, changed: map[string]time.Time{}}
		name := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"declare": func(t *rapid.T) {
				n, from := name.Draw(t, "name"), rapid.SampledFrom([]string{"norte", "centro"}).Draw(t, "from")
				w.declared[n] = declare(n, from, "sur", rapid.IntRange(0, 100).Draw(t, "percent"), rapid.IntRange(1, 100).Draw(t, "step"))
			},
			"delete": func(t *rapid.T) { delete(w.declared, name.Draw(t, "name")) },
			"busy":   func(t *rapid.T) { w.busy = rapid.Float64Range(0, 1).Draw(t, "busy") },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"look":  func(t *rapid.T) { w.decide(name.Draw(t, "name")) },
			"look2": func(t *rapid.T) { w.decide(name.Draw(t, "name")) },
		})
		w.settle()
	})
}

// settle checks that with idle receivers every declared shift reaches its target, and that a shift
// that is no longer declared leaves no progress behind.
func (w *simulation) settle() {
	w.busy = 0
	for range 500 {
		w.now = w.now.Add(ttl / 2)
		w.decide("a")
		w.decide("b")
	}
	for _, n := range []string{"a", "b"} {
		p, declared := w.progress[n], w.declared[n]
		switch {
		case declared == nil:
			assert.Assert(w.t, p == nil, "progress left of shift %s: %+v", n, p)
		case declared.Percent > 0:
			assert.Equal(w.t, p.Moved, declared.Percent, "shift %s: %+v", n, p)
			assert.Equal(w.t, p.Route, declared.Route)
		}
	}
}

func TestHeldByNamesCause(t *testing.T) {
	s := declare("a", "centro", "sur", 50, 10)
	cases := []struct {
		change func(*Input)
		want   string
	}{
		{func(in *Input) { in.Receivers = []Receiver{{Place: "sur", Service: "tickets"}} }, "place sur has not reported its tickets slots"},
		{func(in *Input) { in.Receivers[0].Queued = 2 }, "requests for tickets queue at place sur"},
		{func(in *Input) { in.Receivers[0].Utilization = 0.9 }, "the tickets slots of place sur are busy"},
		{func(in *Input) { in.FullCaps = []string{"evening"} }, "cap evening is reached"},
		{func(in *Input) { in.Stopped = []steering.Place{"sur"} }, "place sur is under a planned stop"},
		{func(in *Input) { in.Competing = []CompetingShift{{Name: "b", Place: "sur", Forward: true}} }, "place sur takes a step of shift b first"},
	}
	for _, tc := range cases {
		in := Input{Now: noon, Shift: s, TTL: ttl, Receivers: []Receiver{{Place: "sur", Service: "tickets", Known: true}}}
		tc.change(&in)
		d, err := Decide(in)
		assert.NilError(t, err)
		assert.Equal(t, d.State, Held)
		assert.Equal(t, d.HeldBy, tc.want)
		assert.Equal(t, d.Moved, 0)
		assert.Equal(t, d.Remaining, 25*time.Second)
	}
}

func TestChartPageIsCurrent(t *testing.T) {
	golden.Assert(t, Chart(), "../../../docs/charts/shift.md")
}
