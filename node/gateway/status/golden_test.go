package status_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
)

// fullStatus is a status with every field set.
func fullStatus() status.Status {
	return status.Status{VM: "vm-1", Zone: "norte-a", Region: "norte", Ready: true, Leaving: true, ConfigVersion: 17,
		Config: status.Config{InForceMs: 9001, Content: "0badcafe", Newest: 19, NewestFrom: "vm-3", BehindMs: 2100, PartsMissing: 3, Parts: 8,
			Wait: "parts under way", Rejected: &status.Rejected{Version: "r20", Reason: "route x names no service"}},
		Fleet: []status.Peer{{VM: "vm-2", Zone: "sur-a", Region: "sur", Control: "10.0.1.1:7633", Live: true, Ready: true, Leaving: true, ConfigVersion: 16,
			Newest: 18, Content: "deadbeef", Wait: "no VM that has it has room", InForceMs: 8001, ToldMs: 301}, {VM: "vm-3"}},
		StoreAgeMs: 904, StoreFails: true, ReadRank: 5, PeersLive: 6, PeersKnown: 7, UnreachableZones: []steering.Zone{"oeste-a"}, EvacuatedZones: []steering.Zone{"sur-b"},
		RequestsRunning: 10, CallerConnections: 11,
		Services: []status.Service{{Name: "tickets", Targets: 12, Closed: 13, Cold: 14, Ejected: []steering.Target{"t1"}, Limited: 16, Resting: 17, SaidLeaving: 18, KeysKept: 0.5, TriesLeft: 15.5,
			RequestsPerSecond: 16.5, RunMs: 110.25,
			RunTimes: []status.RunTime{{Route: "read", MedianMs: 270.5, P90Ms: 410.5, Samples: 19, Deviation: 0.25, AboveP90: 0.125}}}},
		Workspaces: []status.Workspace{{Name: "w1", Admitted: 21, Beyond: 22, NotRun: map[steering.Reason]int64{steering.ReasonNoSlot: 23},
			Shares: []status.Share{{Service: "tickets", Rank: 2, Demand: 31.5, Share: 32.5, Refused: 33, Short: true}},
			Owned:  &status.Allowance{Rate: 24.5, Burst: 25.5, Limit: 26.5, Left: -27.5, Lent: 28.5, Demand: 29.5, VMs: 30, Low: true}}, {Name: "w2"}}}
}

// Guards against a status that operators' tools can only partly decode, since the tools may be older
// or newer than the VM. The test encodes as showstatus.go does and decodes with Fetch.
func TestGoldenStatus(t *testing.T) {
	for name, s := range map[string]status.Status{"full": fullStatus(), "empty": {}} {
		t.Run(name, func(t *testing.T) {
			file := "golden/status-" + name + ".json"
			var told bytes.Buffer
			assert.NilError(t, json.NewEncoder(&told).Encode(s))
			golden.Assert(t, told.String(), file)
			vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.Method == "GET" && r.RequestURI == "/v1/status", "%s %s", r.Method, r.RequestURI)
				_, _ = w.Write(golden.Get(t, file)) // a failed write shows in the decoded status
			}))
			defer vm.Close()
			got, err := status.Fetch(t.Context(), http.DefaultClient, strings.TrimPrefix(vm.URL, "http://"))
			assert.NilError(t, err)
			assert.DeepEqual(t, *got, s)
		})
	}
}

// Guards against a changed encoding of the overview that operators' scripts cannot parse.
func TestGoldenView(t *testing.T) {
	s := fullStatus()
	rows := s.Rows()
	view := status.FleetView{Overview: status.Overview{Newest: 31, Live: 32, Gone: 33,
		Zones:    []status.ZoneVersion{{Zone: "norte-a", Version: 34, Content: "0badcafe", VMs: 35, InForceMs: 36}},
		Outliers: []status.Outlier{{Row: rows[0], Why: "behind"}, {Row: rows[1], Why: "does not know of the newest"}},
		Rejected: []status.Rejected{{Version: "r20", Reason: "route x names no service"}}},
		Asked: []steering.VM{"vm-1", "vm-2"}, Silent: []steering.Zone{"oeste-a"}}
	raw, err := json.Marshal(view)
	assert.NilError(t, err)
	golden.Assert(t, string(raw)+"\n", "golden/view.json")
	var got status.FleetView
	assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/view.json"), &got))
	assert.DeepEqual(t, got, view)
}
