package benchcapacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitUsesOnlyFittedSizes(t *testing.T) {
	rows := []Row{{Size: Size{Nodes: 12}, BytesPerSecond: 9999}}
	for _, n := range []int{50, 100, 200} {
		rows = append(rows, Row{Size: Size{Nodes: n, Fitted: true}, BytesPerSecond: 1000 + 2*float64(n)})
	}
	line := fit(metrics[0], rows)
	assert.Assert(t, line.Slope > 1.999 && line.Slope < 2.001, "%v", line)
	assert.Assert(t, line.At > 2299 && line.At < 2301, "%v", line)
	assert.Assert(t, line.Residual < 1e-6)
}

func TestRunsASmallFleet(t *testing.T) {
	dir := t.TempDir()
	o := Options{
		Sizes: []Size{{Nodes: 4, Zones: 2, Fitted: true}, {Nodes: 8, Zones: 2, Fitted: true}},
		Warm:  time.Second, Steady: time.Second, Outage: 100 * time.Millisecond, After: 100 * time.Millisecond, Changes: 1,
		JSONFile: filepath.Join(dir, "report.json"), SVGFile: filepath.Join(dir, "report.svg"),
	}
	var out bytes.Buffer
	assert.NilError(t, Run(&out, o))
	raw, err := os.ReadFile(o.JSONFile)
	assert.NilError(t, err)
	var report Report
	assert.NilError(t, json.Unmarshal(raw, &report))
	assert.Equal(t, len(report.Rows), 2)
	for _, row := range report.Rows {
		assert.Assert(t, row.BytesPerSecond > 0 && row.CallsPerSecond > 0 && row.CPUPercent > 0 && len(row.ChangeSecondsList) == 1)
	}
	svg, err := os.ReadFile(o.SVGFile)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "<svg"))
	assert.Assert(t, strings.Contains(out.String(), "bytes/s per node"))
}
