package benchplacement

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: on the busiest days a third of what fits is served, all of it late.
// Sequence: more is asked than fits; keys spread over targets that keep few of
// them warm, and queues grow until every answer is late. Cause: choosing by
// momentary load, and admitting what cannot be in time. Each bound below was met
// by the way in use and by none of the simpler ones, with refused callers coming
// back once and 0.3 taken off for each that is refused again.
func TestHeavyDaysAreServedInTime(t *testing.T) {
	report := Run(Options{Seed: 1, For: 10 * time.Second})
	best := map[string]Row{}
	for _, row := range report.Rows {
		if row.Way == "heatherlock" {
			best[row.Scenario.Name] = row
		}
	}
	for name, least := range map[string]float64{"usual load": 0.97, "full": 0.84, "half more than fits": 0.35,
		"one region short of targets": 0.95, "a fifth of the targets silent for 5 s": 0.90} {
		row, found := best[name]
		assert.Assert(t, found, name)
		assert.Assert(t, row.Worth >= least, "%s: worth %.3f, want %.2f", name, row.Worth, least)
		assert.Assert(t, row.Warm > 0.95, "%s: %.3f of the runs were warm", name, row.Warm)
	}
	for _, row := range report.Rows {
		if row.Way != "heatherlock" && row.Scenario.Name != "usual load" {
			assert.Assert(t, row.Worth < best[row.Scenario.Name].Worth, "%s is worth more with %s", row.Scenario.Name, row.Way)
		}
	}
}

func TestReportNamesEveryWay(t *testing.T) {
	var out bytes.Buffer
	report := Run(Options{Seed: 2, For: time.Second})
	report.WriteText(&out)
	for _, w := range ways {
		assert.Equal(t, strings.Count(out.String(), "  "+w.name), len(scenarios))
	}
	assert.ErrorContains(t, Options{For: time.Millisecond}.Check(), "--for")

	file := filepath.Join(t.TempDir(), "plot.svg")
	assert.NilError(t, report.WritePlot(file))
	drawn, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, s := range scenarios {
		assert.Assert(t, strings.Contains(string(drawn), s.Name))
	}
	for _, w := range ways {
		assert.Equal(t, len(report.worths(w.name)), len(scenarios))
	}
	assert.ErrorContains(t, report.WritePlot(filepath.Join(t.TempDir(), "plot.nonsense")), "--plot")
}
