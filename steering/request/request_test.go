package request

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

func TestChartPage(t *testing.T) {
	golden.Assert(t, Chart().Markdown(), "../../../docs/charts/request.md")
}

// TestNothingRunsTwice fires events in any order and compares the state with a count of the tries
// that may have run.
func TestNothingRunsTwice(t *testing.T) {
	events := []chart.Event{Send, ProvedNotRun, MayHaveRun, Answer, Complete, CutShort, Refuse}
	rapid.Check(t, func(t *rapid.T) {
		l := Lifecycle{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		inFlight, mayHaveRun := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			event := rapid.SampledFrom(events).Draw(t, "event")
			if l.Fire(event) != nil {
				continue
			}
			switch event {
			case Send:
				assert.Assert(t, inFlight == 0, "two tries are in flight at once")
				inFlight++
				assert.Assert(t, l.Idempotent || mayHaveRun == 0, "a second try was sent after one that may have run")
			case ProvedNotRun:
				inFlight--
			case MayHaveRun, Answer:
				inFlight--
				mayHaveRun++
			}
			assert.Equal(t, l.Ran() == steering.RanNo, inFlight+mayHaveRun == 0, "%s says %s", l.State(), l.Ran())
			assert.Assert(t, l.Ran() != steering.RanYes || mayHaveRun > 0)
		}
	})
}

func BenchmarkLife(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		l := Lifecycle{}
		for _, event := range []chart.Event{Send, Answer, Complete} {
			_ = l.Fire(event)
		}
	}
}
