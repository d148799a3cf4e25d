package gateway

import (
	"bytes"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/volume"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
)

var stamp = regexp.MustCompile(`"ts":"[^"]*"`)

// Guards against a line of bytes that the tools of operators no longer find, or of which they lose the zone.
func TestGoldenBytesLine(t *testing.T) {
	var lines bytes.Buffer
	metrics := telemetry.New("vm-1", "norte-a")
	defer metrics.Close()
	g := &Gateway{settings: &platform.Settings{Zone: "norte-a"}, log: telemetry.NewLogger(&lines, "info"), metrics: metrics,
		meter: volume.NewMeter(volume.Place{Zone: "norte-a", Region: "norte"})}
	g.meter.Count(volume.Heartbeats, volume.Place{Zone: "sur-a", Region: "sur"}, 1234)
	g.logVolume()
	golden.Assert(t, stamp.ReplaceAllString(lines.String(), `"ts":"2026-01-02T03:04:05Z"`), "golden/bytes-line.json")
}

// Guards against entry VMs that ask each other at a path which others do not serve.
func TestGoldenPaths(t *testing.T) {
	assert.Equal(t, pathKnown+"?"+paramSince+"=", "/v1/known?since=")
	assert.Equal(t, headerConfig, "Heatherlock-Config")
	assert.Equal(t, contentText(0xbadcafe), "0badcafe")
}
