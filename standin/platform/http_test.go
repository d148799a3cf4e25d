package platform

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/objects"
)

// start serves a store on loopback and returns it with a client in zone norte-a.
func start(t *testing.T, scope tally.Scope) (*Store, *objects.Client) {
	store := NewStore(Options{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	client, err := objects.NewClient(objects.ClientConfig{URL: server.URL, VM: "norte-a-1", Zone: "norte-a", Scope: scope})
	assert.NilError(t, err)
	return store, client
}

func TestClientRoundTrips(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	store, client := start(t, scope)
	ctx := t.Context()
	created, err := client.Create(ctx, "Place", "baños/norte", json.RawMessage(`{"a": 1}`))
	assert.NilError(t, err)
	updated, err := client.Update(ctx, "Place", "baños/norte", created.Version, json.RawMessage(`{"a":2}`))
	assert.NilError(t, err)
	_, err = client.Update(ctx, "Place", "baños/norte", created.Version, json.RawMessage(`{"a":3}`))
	assert.Equal(t, objects.KindOf(err), objects.Conflict)
	listed, revision, err := client.List(ctx, "Place", "Cap")
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, []objects.Object{updated})
	assert.Equal(t, revision, updated.Version)
	events, revision, err := client.Watch(ctx, created.Version, time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, events, []objects.Event{{Object: updated}})
	removed, err := client.Delete(ctx, "Place", "baños/norte", updated.Version)
	assert.NilError(t, err)
	assert.Equal(t, removed, revision+1)
	_, err = client.Get(ctx, "Place", "baños/norte")
	assert.Equal(t, objects.KindOf(err), objects.NotFound)
	store.Compact(removed)
	_, _, err = client.Watch(ctx, created.Version, 0)
	assert.Equal(t, objects.KindOf(err), objects.Gone)
	assert.Equal(t, store.Counts().ByClient["norte-a-1"], int64(8))
	assert.Equal(t, scope.Snapshot().Counters()["platform_calls+op=update"].Value(), int64(2))
	assert.Equal(t, scope.Snapshot().Counters()["platform_errors+kind=conflict,op=update"].Value(), int64(1))
}

// Guards against a client that treats every broken connection as a write that was not
// stored: a purchase cap would be applied twice, or an accepted write reported as failed.
// The platform stores the write and its reply is lost, so the client must return Unknown
// and the writer must read the object back.
func TestLostReplyIsUnknown(t *testing.T) {
	store, client := start(t, nil)
	store.LoseReplies(1)
	_, err := client.Create(t.Context(), "Cap", "sur", json.RawMessage(`1`))
	assert.Equal(t, objects.KindOf(err), objects.Unknown)
	stored, err := client.Get(t.Context(), "Cap", "sur")
	assert.NilError(t, err)
	assert.Equal(t, stored.Version, int64(1))
}

// Guards against treating a failed dial like a connection that broke after the request.
// If nothing listens on the platform's address, a write cannot have happened; with the
// error Unknown, operators would search for it.
func TestFailedDialIsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	client, err := objects.NewClient(objects.ClientConfig{URL: url})
	assert.NilError(t, err)
	_, err = client.Create(t.Context(), "Cap", "sur", json.RawMessage(`1`))
	assert.Equal(t, objects.KindOf(err), objects.Unavailable)
}

func TestCutOffOverHTTP(t *testing.T) {
	store, client := start(t, nil)
	store.CutOff("norte-a", true)
	_, err := client.Create(t.Context(), "Cap", "sur", json.RawMessage(`1`))
	assert.Equal(t, objects.KindOf(err), objects.Unknown)
	_, err = client.Get(t.Context(), "Cap", "sur")
	assert.Equal(t, objects.KindOf(err), objects.Unavailable)
	store.CutOff("norte-a", false)
	_, err = client.Get(t.Context(), "Cap", "sur")
	assert.Equal(t, objects.KindOf(err), objects.NotFound)
}

func TestDeadlineOfSlowPlatform(t *testing.T) {
	store, client := start(t, nil)
	store.Slow(time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Get(ctx, "Cap", "sur")
	assert.Equal(t, objects.KindOf(err), objects.Unavailable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestBadURLNamesTheField(t *testing.T) {
	_, err := objects.NewClient(objects.ClientConfig{URL: "10.0.0.1:80"})
	assert.Equal(t, objects.KindOf(err), objects.Invalid)
	assert.ErrorContains(t, err, "platform.url")
}
