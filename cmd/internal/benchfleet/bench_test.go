package benchfleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// staleDirectoryBound is how long after its end a VM may be named to callers, in seconds.
const staleDirectoryBound = 8

// Guards against control that no longer works, or costs much more, once zones are larger than the
// number of VMs that exchange heartbeats with all others.
func TestControlOfLargeZonesStaysBounded(t *testing.T) {
	rows := []Row{play(24, 2, 100, 1, AllFaults), play(96, 2, 100, 1, AllFaults)}
	large := rows[1]
	assert.Assert(t, large.Steady[Standby].VMs > 0, "the zones are too small to have standbys")
	for name, seconds := range large.Seconds {
		assert.Assert(t, seconds >= 0, "%s: not within %v", name, faultLimit)
	}
	for _, name := range []string{TimeDelegate, TimeStandby, TimeZone} {
		assert.Assert(t, large.Seconds[name] <= staleDirectoryBound, "%s: %.1f s", name, large.Seconds[name])
	}
	const controlBytes = 5000 // a second: the limit of all control traffic of a VM
	assert.Assert(t, large.Steady[Standby].Bytes <= controlBytes, "%.0f B a second", large.Steady[Standby].Bytes)
	assert.Assert(t, large.Steady[Delegate].Bytes <= controlBytes, "%.0f B a second", large.Steady[Delegate].Bytes)
}

// Guards against figures that cannot be repeated: the same options must give the same messages.
func TestRunsRepeat(t *testing.T) {
	a, b := play(40, 1, 50, 7, []string{FaultHerd}), play(40, 1, 50, 7, []string{FaultHerd})
	assert.Equal(t, a.StartBytes, b.StartBytes)
	assert.Equal(t, a.StoreCalls, b.StoreCalls)
	assert.DeepEqual(t, a.Seconds, b.Seconds)
}

func TestReportHasAllFigures(t *testing.T) {
	dir := t.TempDir()
	o := Options{VMs: []int{6, 12}, Zones: 3, Targets: 20, Seed: 1, JSONFile: filepath.Join(dir, "r.json"), SVGFile: filepath.Join(dir, "r.svg")}
	var out bytes.Buffer
	assert.NilError(t, Run(t.Context(), &out, o))
	for _, f := range figures() {
		assert.Assert(t, strings.Contains(out.String(), f.name), f.name)
	}
	raw, err := os.ReadFile(o.JSONFile)
	assert.NilError(t, err)
	var r Report
	assert.NilError(t, json.Unmarshal(raw, &r))
	assert.Equal(t, len(r.Rows), 2)
	svg, err := os.ReadFile(o.SVGFile)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "<svg"))
}

func TestBadOptionsNameTheFlag(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"--vms":     func(o *Options) { o.VMs = []int{4} },
		"--zones":   func(o *Options) { o.Zones = 0 },
		"--targets": func(o *Options) { o.Targets = 0 },
		"--faults":  func(o *Options) { o.Faults = []string{"rain"} },
	} {
		o := Defaults()
		change(&o)
		assert.ErrorContains(t, o.Check(), want)
	}
	_, err := parseSizes("100,many")
	assert.ErrorContains(t, err, "--vms")
}
