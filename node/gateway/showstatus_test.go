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

func (s *site) status(v *vm) status.Status {
	_, body := s.get("http://" + v.settings.Listen.Control + status.Path)
	var shown status.Status
	assert.NilError(s.t, json.Unmarshal([]byte(body), &shown), body)
	return shown
}

// Symptom: an operator sees a leaving target as open on the VM that still sends to
// it, or cannot see it at all. Every VM tells what it goes by itself.
func TestEveryEntryVMTellsWhatItGoesBy(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	all := s.startAll(3)
	for _, v := range all {
		shown := s.status(v)
		assert.Equal(t, shown.VM, v.settings.VM)
		assert.Assert(t, shown.Ready && !shown.Leaving && !shown.StoreFails)
		assert.Equal(t, shown.ConfigVersion, uint64(s.version))
		assert.Assert(t, shown.StoreAgeMs >= 0 && shown.StoreAgeMs < 3000, "%d ms", shown.StoreAgeMs)
		assert.Equal(t, shown.PeersLive, 3)
		assert.Equal(t, len(shown.Services), 1)
		assert.Equal(t, shown.Services[0].Targets, 2)
		assert.Equal(t, shown.Services[0].Closed, 0)
	}
	s.register("t1", "draining", 2)
	for _, v := range all {
		within(t, 2500*time.Millisecond, "leaving target shown as closed", func() bool { return s.status(v).Services[0].Closed == 1 })
	}
	s.store.SetFaults(metastore.Faults{Busy: metastore.All})
	within(t, 8*time.Second, "failing reads shown", func() bool {
		return s.status(all[0]).StoreFails || s.status(all[1]).StoreFails || s.status(all[2]).StoreFails
	})
	all[0].stop()
	within(t, time.Second, "leaving", func() bool { return s.status(all[0]).Leaving })
}

// Each answer that operators get names the configuration in force; browsers see which
// configuration all VMs follow.
func TestOperatorsSeeWhichConfigurationIsFollowed(t *testing.T) {
	t.Parallel()
	s := newSite(t)
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
