package objects_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/objects"
)

// Guards against calls that the platform cannot decode, and against replies of which a field is lost.
// The replies are maintained by hand; -update only writes the calls.
func TestGoldenCalls(t *testing.T) {
	calls := &strings.Builder{}
	reply := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a short read fails the comparison
		fmt.Fprintf(calls, "%s %s\n", r.Method, r.RequestURI)
		for _, name := range []string{"Platform-Client", "Platform-Zone", "If-Match"} {
			if value := r.Header.Get(name); value != "" {
				fmt.Fprintf(calls, "%s: %s\n", name, value)
			}
		}
		if len(body) > 0 {
			fmt.Fprintf(calls, "%s\n", body)
		}
		_, _ = w.Write(golden.Get(t, "golden/"+reply)) // a failed write shows in the decoded reply
	}))
	defer server.Close()
	client, err := objects.NewClient(objects.ClientConfig{URL: server.URL, VM: "vm-1", Zone: "norte-a"})
	assert.NilError(t, err)
	ctx := t.Context()
	tickets := objects.Object{Kind: "Service", Name: "tickets", Version: 11, Value: json.RawMessage(`{"spec":1}`)}

	reply = "object.json"
	for _, call := range []func() (objects.Object, error){
		func() (objects.Object, error) { return client.Get(ctx, "Service", "tickets") },
		func() (objects.Object, error) {
			return client.Create(ctx, "Service", "tickets", json.RawMessage(`{"spec":1}`))
		},
		func() (objects.Object, error) {
			return client.Update(ctx, "Service", "tickets", 9, json.RawMessage(`{"spec":1}`))
		},
	} {
		got, err := call()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, tickets)
	}
	reply = "list.json"
	list, revision, err := client.List(ctx, "Service", "Cap")
	assert.NilError(t, err)
	assert.Equal(t, revision, int64(12))
	assert.DeepEqual(t, list, []objects.Object{tickets, {Kind: "Cap", Name: "limit", Version: 10, Value: json.RawMessage(`{"spec":2}`)}})
	reply = "watch.json"
	events, revision, err := client.Watch(ctx, 12, 1500*time.Millisecond, "Service", "Cap")
	assert.NilError(t, err)
	assert.Equal(t, revision, int64(14))
	assert.DeepEqual(t, events, []objects.Event{{Object: objects.Object{Kind: "Service", Name: "tickets", Version: 13, Value: json.RawMessage(`{"spec":3}`)}},
		{Object: objects.Object{Kind: "Cap", Name: "limit", Version: 14, Value: json.RawMessage("null")}, Deleted: true}})
	reply = "revision.json"
	revision, err = client.Delete(ctx, "Service", "tickets", 13)
	assert.NilError(t, err)
	assert.Equal(t, revision, int64(15))
	reply = "vms.json"
	vms, err := client.VMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []objects.VM{{Name: "vm-1", Zone: "norte-a", Region: "norte", CallerAddress: "10.0.0.1:7001", PeerAddress: "10.0.0.1:7002",
		OperatorAddress: "10.0.0.1:7003", State: objects.VMLeaving, Since: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}})
	golden.Assert(t, calls.String(), "golden/calls.txt")
}

// Guards against a changed encoding of the platform's replies that old clients cannot decode. The
// platform's stand-in and the tools encode replies with these types.
func TestGoldenReplies(t *testing.T) {
	for name, reply := range map[string]any{"object.json": &objects.Object{}, "list.json": &objects.ListReply{}, "watch.json": &objects.WatchReply{},
		"revision.json": &objects.RevisionReply{}, "vms.json": &objects.VMsReply{}} {
		assert.NilError(t, json.Unmarshal(golden.Get(t, "golden/"+name), reply))
		raw, err := json.Marshal(reply)
		assert.NilError(t, err)
		assert.Equal(t, string(raw)+"\n", string(golden.Get(t, "golden/"+name)))
	}
	assert.DeepEqual(t, []objects.VMState{objects.VMLive, objects.VMLeaving, objects.VMGone}, []objects.VMState{"live", "leaving", "gone"})
}
