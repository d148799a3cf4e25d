package telemetry_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
	"gotest.tools/v3/assert"

	"heatherlock/node/telemetry"
)

// Guards against a registry that is shared by the process: a second daemon in it would fail on a
// duplicate metric, because both use the same names.
func TestTwoRegistriesInOneProcess(t *testing.T) {
	first := telemetry.New("a", "zone-1")
	second := telemetry.New("b", "zone-2")
	for _, m := range []*telemetry.Metrics{first, second} {
		m.Scope.Tagged(map[string]string{"reason": "no_slot"}).Counter("refusals").Inc(3)
		assert.NilError(t, m.Close())
	}
	w := httptest.NewRecorder()
	second.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `heatherlock_refusals{reason="no_slot",vm="b",zone="zone-2"} 3`), w.Body.String())
	assert.Assert(t, !strings.Contains(w.Body.String(), `vm="a"`))
}

func TestLogLinesAreJSONAndFiltered(t *testing.T) {
	var out bytes.Buffer
	logger := telemetry.NewLogger(&out, "warn")
	assert.NilError(t, level.Info(logger).Log("msg", "hidden"))
	assert.NilError(t, level.Warn(logger).Log("msg", "shown"))
	var line struct{ Level, Msg string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Level+" "+line.Msg, "warn shown")
}
