package gateway

import (
	"bytes"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/status"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/steering"
)

var stamp = regexp.MustCompile(`"ts":"[^"]*"`)

// Guards against a changed log line of exchanged bytes that operators' tools cannot find, or that
// does not name the zone.
func TestGoldenBytesLine(t *testing.T) {
	var lines bytes.Buffer
	metrics := telemetry.New("vm-1", "norte-a")
	defer metrics.Close()
	g := &Gateway{settings: &platform.Settings{Zone: "norte-a"}, log: telemetry.NewLogger(&lines, "info"), metrics: metrics,
		meter: volume.NewMeter(volume.Location{Zone: "norte-a", Region: "norte"})}
	g.meter.Count(volume.Heartbeats, volume.Location{Zone: "sur-a", Region: "sur"}, 1234)
	g.logTraffic()
	golden.Assert(t, stamp.ReplaceAllString(lines.String(), `"ts":"2026-01-02T03:04:05Z"`), "golden/bytes-line.json")
}

// Guards against a changed path or header: entry VMs of different versions could not call each
// other.
func TestGoldenPaths(t *testing.T) {
	assert.Equal(t, pathKnown+"?"+paramSince+"=", "/v1/known?since=")
	assert.Equal(t, headerConfig, "Heatherlock-Config")
	assert.Equal(t, contentText(0xbadcafe), "0badcafe")
}

// Guards against a status page whose rendering fails halfway: the template refers to fields by name,
// which the compiler does not check.
func TestGoldenPage(t *testing.T) {
	behind := status.Row{Peer: status.Peer{VM: "vm-2", Zone: "sur-a", ConfigVersion: 16}}
	o := status.Overview{Newest: 17, Live: 2, Gone: 1, Zones: []status.ZoneVersion{{Zone: "norte-a", Version: 17, Content: "0badcafe", VMs: 3, InForceMs: 9001}},
		Rejected: []status.Rejected{{Version: "r20", Reason: "route x names no service"}}}
	apart := o
	apart.Outliers = []status.Outlier{{Row: behind, Why: "behind"}}
	for name, view := range map[string]status.FleetView{"agree": {Overview: o}, "apart": {Overview: apart, Silent: []steering.Zone{"oeste-a"}}} {
		var page bytes.Buffer
		assert.NilError(t, pageTemplate.Execute(&page, view))
		golden.Assert(t, page.String(), "golden/page-"+name+".html")
	}
}
