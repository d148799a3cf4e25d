package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that no log explains: one of a connection itself left no line and no reason, and that for
// want of a route named neither what was asked for nor what the VM knew of the configuration.
func TestRefusalsThatReachNoRouteAreExplainedInTheLog(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.logs = &safeBuffer{}
	v := s.startAll(1)[0]
	assert.Equal(t, s.request(v, "/nowhere/1"), 404)
	assert.Equal(t, s.request(v, "/read/"+strings.Repeat("x", 10_000)), 431)
	s.route("new", "safe")
	s.configure()
	within(t, 2500*time.Millisecond, "new route", func() bool { return s.request(v, "/new/1") == 200 })
	log := s.logs.String()
	for _, part := range []string{
		`"reason":"no_service"`, `"host":"shop.example"`, `"path":"/nowhere/1"`, `"newest":3`, `"config_read_until":"1/`, `"in_force_ms":`,
		`"reason":"header_too_large"`, `"status":431`,
		`"from":"store"`, `"routes_added":1`, `"added":["new"]`,
	} {
		assert.Check(t, strings.Contains(log, part), "%s is not in the log", part)
	}
	_, metrics := s.get(fmt.Sprintf("http://%s:%d/metrics", v.settings.IP, v.settings.MetricsPort))
	assert.Assert(t, strings.Contains(metrics, `reason="header_too_large"`))
}
