package vmstatus

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/status"
	"heatherlock/steering"
)

func serveStatus(t *testing.T, s status.Status) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == status.Path)
		assert.Check(t, json.NewEncoder(w).Encode(s))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a command that prints nothing during an outage because it stops at the first
// entry VM that does not answer. The VMs that answer are shown, and the exit code reports that
// one did not.
func TestStatusShowsVMsThatAnswer(t *testing.T) {
	up := serveStatus(t, status.Status{VM: "front-1", Zone: "a", Ready: true, ConfigVersion: 17, StoreAgeMs: 420, StoreFails: true, PeersLive: 2, PeersKnown: 3,
		Services: []status.Service{{Name: "tickets", Targets: 4, Closed: 1, KeysKept: 0.5, Ejected: nil}}})
	var out bytes.Buffer
	err := runEach(t.Context(), []string{up, "127.0.0.1:1"}, "table", &out)
	assert.Equal(t, command.CodeOf(err), command.Unreachable)
	assert.ErrorContains(t, err, "1 of 2")
	for _, part := range []string{"front-1", "ready", "17", "420 ms ago, own reads fail", "2 of 3", "tickets", "0.50", "127.0.0.1:1", "no answer"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%q is missing in\n%s", part, out.String())
	}
	out.Reset()
	assert.NilError(t, runEach(t.Context(), []string{up}, "json", &out))
	var answers []answer
	assert.NilError(t, json.Unmarshal(out.Bytes(), &answers))
	assert.Equal(t, answers[0].Status.ConfigVersion, uint64(17))
}

func TestBadCommandLinesFailWithUsage(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, command.CodeOf(runEach(t.Context(), nil, "table", &out)), command.Usage)
	assert.Equal(t, command.CodeOf(runEach(t.Context(), []string{"a:1"}, "yaml", &out)), command.Usage)
	assert.Equal(t, out.Len(), 0)
}

func TestStateAndStoreReadText(t *testing.T) {
	assert.Equal(t, stateText(&status.Status{Leaving: true, Ready: true}), "leaving")
	assert.Equal(t, stateText(&status.Status{}), "starting")
	assert.Equal(t, storeReadText(&status.Status{StoreAgeMs: -1}), "never")
}

// serveZones serves the status of one VM in each of nine zones, each of which lists the fleet
// of 195 VMs, and returns their addresses. It calls change on each status first.
func serveZones(t *testing.T, change func(*status.Status)) []string {
	const zones, vms = 9, 195
	var all []*status.Status
	var addresses []string
	for zone := range zones {
		s := &status.Status{VM: steering.VM(fmt.Sprintf("vm-%d-0", zone)), Zone: steering.Zone(fmt.Sprint("zone-", zone)), Ready: true, ConfigVersion: 17,
			Config: status.Config{Newest: 17, Content: "0badcafe", InForceMs: 12_345}}
		all = append(all, s)
		addresses = append(addresses, "")
	}
	for zone, s := range all {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { assert.Check(t, json.NewEncoder(w).Encode(s)) }))
		t.Cleanup(server.Close)
		addresses[zone] = strings.TrimPrefix(server.URL, "http://")
	}
	for zone, s := range all {
		for n := range vms {
			if n == zone {
				continue
			}
			p := status.Peer{VM: steering.VM(fmt.Sprintf("vm-%d-%d", n%zones, n/zones)), Zone: steering.Zone(fmt.Sprint("zone-", n%zones)), Control: "127.0.0.1:1",
				Live: true, ConfigVersion: 17, Newest: 17, Content: "0badcafe", InForceMs: 12_000, ToldMs: 250}
			if n < zones {
				p.Control = addresses[n]
			}
			if n%zones != zone {
				p.ConfigVersion, p.ToldMs = 0, -1
			}
			s.Fleet = append(s.Fleet, p)
		}
		change(s)
	}
	return addresses
}

// Checks that an operator who names one VM learns which configuration each of 195 VMs uses:
// one VM of each of the other eight zones is queried, the output fits on a screen, and the
// exit code reports whether all VMs use the same configuration.
func TestFleetOf195VMsFitsOneScreen(t *testing.T) {
	same := serveZones(t, func(*status.Status) {})
	var out bytes.Buffer
	o := &options{controls: same[:1], format: formatTable, all: true}
	assert.NilError(t, runFleet(t.Context(), o, command.IO{Out: &out}))
	text := out.String()
	assert.Assert(t, strings.Contains(text, "configuration 17 is the newest; 195 entry VMs live, 0 on record are gone; 9 asked"), text)
	assert.Assert(t, strings.Count(text, "\n") <= 24, "more than a screen:\n%s", text)
	for zone := range 9 {
		assert.Assert(t, strings.Contains(text, fmt.Sprint("zone-", zone)), text)
	}

	behind := serveZones(t, func(s *status.Status) {
		for n := range s.Fleet {
			if p := &s.Fleet[n]; p.Zone == s.Zone && strings.HasSuffix(string(p.VM), "-7") {
				p.ConfigVersion, p.Wait = 15, "VMs that have it do not answer"
			}
		}
		if s.Zone == "zone-4" {
			s.Config.Rejected = &status.Rejected{Version: "r19", Reason: "route r-1 names no service"}
		}
	})
	out.Reset()
	o = &options{controls: append([]string{"127.0.0.1:1"}, behind[2]), format: formatTable, all: true}
	err := runFleet(t.Context(), o, command.IO{Out: &out})
	assert.Equal(t, command.CodeOf(err), command.Other)
	assert.ErrorContains(t, err, "9 of 195 entry VMs do not follow configuration 17")
	for _, part := range []string{"vm-4-7", "behind: VMs that have it do not answer", "rejected: version r19: route r-1 names no service"} {
		assert.Assert(t, strings.Contains(out.String(), part), "no %q in\n%s", part, out.String())
	}
	out.Reset()
	o.format = formatJSON
	assert.Equal(t, command.CodeOf(runFleet(t.Context(), o, command.IO{Out: &out})), command.Other)
	var view status.FleetView
	assert.NilError(t, json.Unmarshal(out.Bytes(), &view))
	assert.Equal(t, len(view.Outliers), 9)
}

// Checks that the flags and messages in the operators' documentation match those of the
// command.
func TestPageNamesWhatIsPrinted(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/configuration.md")
	assert.NilError(t, err)
	for _, part := range []string{"vm-status --all --control", "vm-status --all --watch --control", "vm-status --output json --control", "same version, other content", "does not know of the newest",
		"behind: " + catchup.ReceivingPieces.String(), "behind: " + catchup.PeersBusy.String(), "behind: " + catchup.PeersUnresponsive.String(), "behind: " + catchup.NoPeerAvailable.String()} {
		assert.Assert(t, strings.Contains(string(page), part), "the page does not name %q", part)
	}
}

// Guards against a zone that is missing silently: if no VM of a zone answers, the output lists
// the zone and the exit code is Unreachable.
func TestUnansweringZoneIsReported(t *testing.T) {
	addresses := serveZones(t, func(s *status.Status) {
		for n := range s.Fleet {
			if s.Fleet[n].Zone == "zone-5" {
				s.Fleet[n].Control = "127.0.0.1:1"
			}
		}
	})
	var out bytes.Buffer
	err := runFleet(t.Context(), &options{controls: addresses[:1], format: formatTable, all: true}, command.IO{Out: &out})
	assert.Equal(t, command.CodeOf(err), command.Unreachable)
	assert.Assert(t, strings.Contains(out.String(), "no answer from zone zone-5"), out.String())
	err = runFleet(t.Context(), &options{controls: []string{"127.0.0.1:1"}, format: formatTable, all: true}, command.IO{Out: &out})
	assert.Equal(t, command.CodeOf(err), command.Unreachable)
}

// Checks that --watch prints the view repeatedly until the context ends.
func TestWatchRepeats(t *testing.T) {
	addresses := serveZones(t, func(*status.Status) {})
	ctx, cancel := context.WithTimeout(t.Context(), command.WatchInterval+command.WatchInterval/2)
	defer cancel()
	var out bytes.Buffer
	assert.NilError(t, runFleet(ctx, &options{controls: addresses[:1], format: formatTable, all: true, watch: true}, command.IO{Out: &out, Terminal: true}))
	assert.Equal(t, strings.Count(out.String(), command.ClearScreen), 2)
	assert.Equal(t, command.CodeOf((&options{controls: addresses[:1], format: formatTable, watch: true}).validate()), command.Usage)
}
