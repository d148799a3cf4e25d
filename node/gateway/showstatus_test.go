package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/status"
	"heatherlock/standin/metastore"
)

func (s *testCluster) status(v *vm) status.Status {
	_, body := s.get("http://" + v.settings.Listen.Control + status.Path)
	var result status.Status
	assert.NilError(s.t, json.Unmarshal([]byte(body), &result), body)
	return result
}

// Guards against a status that hides from operators that a VM still sends to a leaving target, or
// shows the target as open. Every VM reports the state that it uses itself.
func TestEveryEntryVMReportsItsState(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	for _, v := range all {
		result := s.status(v)
		assert.Equal(t, result.VM, v.settings.VM)
		assert.Assert(t, result.Ready && !result.Leaving && !result.StoreFails)
		assert.Equal(t, result.ConfigVersion, uint64(s.version))
		assert.Assert(t, result.StoreAgeMs >= 0 && result.StoreAgeMs < 3000, "%d ms", result.StoreAgeMs)
		assert.Equal(t, result.PeersLive, 3)
		assert.Equal(t, len(result.Services), 1)
		assert.Equal(t, result.Services[0].Targets, 2)
		assert.Equal(t, result.Services[0].Closed, 0)
	}
	s.register("t1", "draining", 2)
	for _, v := range all {
		within(t, 2500*time.Millisecond, "leaving target shown as closed", func() bool { return s.status(v).Services[0].Closed == 1 })
	}
	s.store.SetFaults(metastore.Faults{Busy: metastore.All})
	within(t, 8*time.Second, "failing reads reported", func() bool {
		return s.status(all[0]).StoreFails || s.status(all[1]).StoreFails || s.status(all[2]).StoreFails
	})
	all[0].stop()
	within(t, time.Second, "leaving", func() bool { return s.status(all[0]).Leaving })
}

// Guards against status responses that do not name the active configuration in their header, and
// a status page that does not show which configuration all VMs follow.
func TestOperatorsSeeTheActiveConfiguration(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	for _, path := range []string{"/", status.Path} {
		response, err := http.Get("http://" + all[0].settings.Listen.Control + path)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get("Heatherlock-Config"), fmt.Sprint(s.version))
	}
	followed := fmt.Sprintf("All 3 entry VMs follow configuration %d", s.version)
	within(t, 5*time.Second, followed, func() bool {
		_, page := s.get("http://" + all[1].settings.Listen.Control + "/")
		return strings.Contains(page, followed)
	})
	code, _ := s.get("http://" + all[1].settings.Listen.Control + "/nothing")
	assert.Equal(t, code, http.StatusNotFound)
}
