package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/steering"
)

// Guards against an entry VM that exits or applies half of its settings when an invalid settings
// file replaces the current one. The current settings must stay in effect and the fault be logged
// once; valid settings must take effect without a restart.
func TestInvalidSettingsAreIgnoredAndValidOnesApplied(t *testing.T) {
	settings := &platform.Settings{VM: "v", Zone: "a", Region: "r", Zones: map[steering.Zone]steering.Region{"a": "r"}, IP: "127.0.0.99",
		PeerPorts: []int{20990, 20999}, HeartbeatMs: 1500, Store: "127.0.0.1:1", Bounds: platform.Bounds{TerminationGrace: 6 * time.Second, RetrySlack: 10}}
	var out bytes.Buffer
	g, err := New(settings, telemetry.NewLogger(&out, "info"))
	assert.NilError(t, err)
	for range 3 {
		g.Reload(nil, errors.New("grace is no number"))
	}
	assert.Equal(t, g.bounds.Load().TerminationGrace, 6*time.Second)
	assert.Equal(t, strings.Count(out.String(), "grace is no number"), 1)
	next := *settings
	next.Bounds.TerminationGrace = 9 * time.Second
	g.Reload(&next, nil)
	g.Reload(&next, nil)
	assert.Equal(t, g.bounds.Load().TerminationGrace, 9*time.Second)
	assert.Equal(t, strings.Count(out.String(), "settings read again"), 1)
}
