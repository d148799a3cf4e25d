package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/loadreport"
	"heatherlock/platform"
	"heatherlock/standin/metastore"
	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/storepos"
)

// Guards against weights that replace those of a balancer that started later, that overwrite what was written
// meanwhile, or that are from before the store was restored from an older copy.
func TestWeightsInTheStore(t *testing.T) {
	fake := metastore.New()
	server := httptest.NewServer(fake)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	s := &weightStore{store: platform.NewStore(address)}
	now := time.UnixMilli(1700000000000)
	saved := func(start int64, at time.Time) loadreport.Saved {
		return loadreport.Saved{By: "a", Term: balance.Term{Start: start, Number: 1}, At: at, Weights: map[steering.Target]float64{"t": 0.25}}
	}
	load := func() (loadreport.Saved, loadreport.Outcome) { return s.LoadWeights(t.Context(), "norte") }
	save := func(w loadreport.Saved) loadreport.Outcome { return s.SaveWeights(t.Context(), "norte", w) }

	found, outcome := load()
	assert.Assert(t, outcome == loadreport.StoreDone && len(found.Weights) == 0)
	assert.Equal(t, save(saved(7, now)), loadreport.StoreDone)
	found, outcome = load()
	assert.Assert(t, outcome == loadreport.StoreDone && found.At.Equal(now))
	assert.DeepEqual(t, found.Weights, saved(7, now).Weights)
	assert.Equal(t, found.Term, balance.Term{Start: 7, Number: 1})

	assert.Equal(t, save(saved(6, now.Add(time.Second))), loadreport.StoreChanged)
	assert.Equal(t, save(saved(6, now.Add(time.Minute))), loadreport.StoreDone, "the other balancer is gone")
	err := s.store.PutWeights(t.Context(), "norte", platform.Weights{}, storepos.Position{Revision: 1})
	assert.Equal(t, platform.FaultOf(err), platform.FaultConflict)
	err = s.store.PutWeights(t.Context(), "norte", platform.Weights{}, storepos.Position{})
	assert.Equal(t, platform.FaultOf(err), platform.FaultConflict)

	fake.Restore(fake.Copy())
	found, outcome = load()
	assert.Assert(t, outcome == loadreport.StoreOutdated && len(found.Weights) == 0)
	assert.Equal(t, save(saved(8, now.Add(time.Minute))), loadreport.StoreDone)
	_, outcome = load()
	assert.Equal(t, outcome, loadreport.StoreDone)

	fake.Put("heatherlock-weights", "norte", map[string]any{"eighths": "none"})
	found, _ = load()
	assert.Equal(t, len(found.Weights), 0)
	assert.Equal(t, save(saved(9, now)), loadreport.StoreDone, "a malformed object is replaced")
	fake.SetFaults(metastore.Faults{Busy: metastore.All})
	_, outcome = load()
	assert.Equal(t, outcome, loadreport.StoreFailed)
	assert.Equal(t, save(saved(10, now)), loadreport.StoreFailed)
}
