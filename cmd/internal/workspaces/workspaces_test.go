package workspaces

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/status"
	"heatherlock/steering"
)

func serveStatus(t *testing.T, s *status.Status) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode(s))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func serveFleet(t *testing.T) (first *status.Status, control string) {
	second := &status.Status{VM: "vm-2", ConfigVersion: 7, Config: status.Config{Content: "c", InForceMs: 900},
		Workspaces: []status.Workspace{{Name: "spa", Admitted: 5, Beyond: 2, Shares: []status.Share{{Service: "clips", Rank: 1, Demand: 3, Share: 2, Refused: 4, Short: true}}, Owned: &status.Allowance{Rate: 40, Demand: 10, VMs: 2}}}}
	first = &status.Status{VM: "vm-1", ConfigVersion: 7, Config: status.Config{Content: "c", InForceMs: 1500},
		Workspaces: []status.Workspace{{Name: "museum", Admitted: 4}, {Name: "spa", Admitted: 3, NotRun: map[steering.Reason]int64{steering.ReasonNoSlot: 1},
			Shares: []status.Share{{Service: "clips", Rank: 1, Demand: 1.5, Share: 1.5}, {Service: "maps", Demand: 9, Share: 9}}}}}
	first.Fleet = []status.Peer{{VM: "vm-2", Live: true, Control: serveStatus(t, second)}, {VM: "vm-3", Control: "127.0.0.1:1"}}
	return first, serveStatus(t, first)
}

func TestCountsOfAllVMsAreAddedUp(t *testing.T) {
	_, control := serveFleet(t)
	var out bytes.Buffer
	o := &options{controls: []string{control}}
	assert.NilError(t, o.run(t.Context(), command.IO{Out: &out, Err: &out}))
	lines := strings.Split(out.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{"spa", "10", "8", "2", "1", "40.0", "10.0", "25%", "2", "vm-2", "no_slot"})
	assert.DeepEqual(t, strings.Fields(lines[2])[:5], []string{"museum", "4", "4", "0", "0"})
	assert.DeepEqual(t, strings.Fields(lines[5]), []string{"spa", "clips", "1", "4.5", "3.5", "4", "1", "of", "2", "VMs"})
	assert.Assert(t, !strings.Contains(out.String(), "maps"), "a service that is not short is shown")
	assert.Assert(t, strings.Contains(out.String(), "configuration 7") && strings.Contains(out.String(), "900ms"), out.String())

	out.Reset()
	o = &options{controls: []string{control}, workspace: "spa", json: true}
	assert.NilError(t, o.run(t.Context(), command.IO{Out: &out, Err: &out}))
	var v View
	assert.NilError(t, json.Unmarshal(out.Bytes(), &v))
	assert.Equal(t, len(v.Workspaces), 1)
	assert.Equal(t, v.Workspaces[0].Owner, steering.VM("vm-2"))
}

// Guards against sums that appear complete although VMs are missing or use another
// configuration: the exit code reports both.
func TestExitCodeReportsIncompleteSums(t *testing.T) {
	first, _ := serveFleet(t)
	var out bytes.Buffer
	exitCode := func(o *options) command.Code {
		return command.CodeOf(o.run(t.Context(), command.IO{Out: &out, Err: &out}))
	}
	assert.Equal(t, exitCode(&options{}), command.Usage)
	assert.Equal(t, exitCode(&options{controls: []string{"127.0.0.1:1"}}), command.Unreachable)
	control := serveStatus(t, first)
	assert.Equal(t, exitCode(&options{controls: []string{control}, workspace: "nobody"}), command.Refused)
	first.ConfigVersion = 6
	assert.Equal(t, exitCode(&options{controls: []string{control}}), command.Other)
	first.Fleet[1].Live = true
	assert.Equal(t, exitCode(&options{controls: []string{control}}), command.Unreachable)
}
