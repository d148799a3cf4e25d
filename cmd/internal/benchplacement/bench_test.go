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

// Guards against throughput falling to a third of capacity, with every answer late, when demand
// exceeds capacity. It comes about when targets are chosen by momentary load, which spreads keys
// over targets that keep few of them warm, and when requests are admitted that can't be answered
// in time, so that queues grow. The product's policy meets each bound below and none of the simpler
// policies does; a refused caller retries once, and a second refusal costs 0.3.
func TestProductServesOverloadInTime(t *testing.T) {
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
		assert.Assert(t, row.Warm > 0.95, "%s: share of warm runs is %.3f, want over 0.95", name, row.Warm)
	}
	for _, row := range report.Rows {
		if row.Way != "heatherlock" && row.Scenario.Name != "usual load" {
			assert.Assert(t, row.Worth < best[row.Scenario.Name].Worth, "%s: policy %q has at least the worth of the product's policy", row.Scenario.Name, row.Way)
		}
	}
}

// The table and the plot contain every scenario and every policy.
func TestReportNamesEveryPolicy(t *testing.T) {
	var out bytes.Buffer
	report := Run(Options{Seed: 2, For: time.Second})
	report.WriteText(&out)
	for _, w := range policies {
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
	for _, w := range policies {
		assert.Equal(t, len(report.worthValues(w.name)), len(scenarios))
	}
	assert.ErrorContains(t, report.WritePlot(filepath.Join(t.TempDir(), "plot.nonsense")), "--plot")
}
