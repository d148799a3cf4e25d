package vmstatus

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
)

func serving(t *testing.T, s status.Status) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == status.Path)
		assert.Check(t, json.NewEncoder(w).Encode(s))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Symptom: during an outage status shows nothing. Sequence: one of the entry VMs
// asked is down. Cause: giving up at the first that does not answer. Those that
// answer are shown, and the exit code says that one did not.
func TestStatusOfThoseThatAnswerIsShown(t *testing.T) {
	up := serving(t, status.Status{VM: "front-1", Zone: "a", Ready: true, ConfigVersion: 17, StoreAgeMs: 420, StoreFails: true, PeersLive: 2, PeersKnown: 3,
		Services: []status.Service{{Name: "tickets", Targets: 4, Closed: 1, KeysKept: 0.5, Ejected: nil}}})
	var out bytes.Buffer
	err := run(t.Context(), []string{up, "127.0.0.1:1"}, "table", &out)
	assert.Equal(t, command.CodeOf(err), command.Unreachable)
	assert.ErrorContains(t, err, "1 of 2")
	for _, part := range []string{"front-1", "ready", "17", "420 ms ago, own reads fail", "2 of 3", "tickets", "0.50", "127.0.0.1:1", "no answer"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%q is missing in\n%s", part, out.String())
	}
	out.Reset()
	assert.NilError(t, run(t.Context(), []string{up}, "json", &out))
	var answers []answer
	assert.NilError(t, json.Unmarshal(out.Bytes(), &answers))
	assert.Equal(t, answers[0].Status.ConfigVersion, uint64(17))
}

func TestBadCommandLinesAreRefused(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, command.CodeOf(run(t.Context(), nil, "table", &out)), command.Usage)
	assert.Equal(t, command.CodeOf(run(t.Context(), []string{"a:1"}, "yaml", &out)), command.Usage)
	assert.Equal(t, out.Len(), 0)
}

func TestStateAndReadInWords(t *testing.T) {
	assert.Equal(t, stateOf(&status.Status{Leaving: true, Ready: true}), "leaving")
	assert.Equal(t, stateOf(&status.Status{}), "starting")
	assert.Equal(t, readOf(&status.Status{StoreAgeMs: -1}), "never")
}
