package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/objects"
)

var kinds = []string{"Place", "Shift"}

// reference is a model of the store: the complete state after each revision and all
// events.
type reference struct {
	states []map[string]objects.Object // index is the revision
	events []objects.Event
}

func (r *reference) now() map[string]objects.Object { return r.states[len(r.states)-1] }

func (r *reference) change(o objects.Object, deleted bool) {
	next := map[string]objects.Object{}
	for k, v := range r.now() {
		next[k] = v
	}
	if deleted {
		delete(next, o.Kind+"/"+o.Name)
	} else {
		next[o.Kind+"/"+o.Name] = o
	}
	r.states = append(r.states, next)
	r.events = append(r.events, objects.Event{Object: o, Deleted: deleted})
}

// machine applies the same operations to the store and to the reference. While lossy is
// set, the store drops the replies to writes.
type machine struct {
	store          *Store
	api            objects.API
	ref            reference
	lossy          bool
	staleRevisions int64
	compacted      int64
}

func (m *machine) draw(t *rapid.T) (kind, name string) {
	return rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
}

// checkWrite compares the error of a write with the expected one, and applies a
// successful write to the reference.
func (m *machine) checkWrite(t *rapid.T, want objects.ErrorKind, err error, next objects.Object, deleted bool) {
	if want == "" {
		next.Version = int64(len(m.ref.states))
		m.ref.change(next, deleted)
		if m.lossy {
			want = objects.Unknown
		}
	}
	assert.Equal(t, objects.KindOf(err), want)
	assert.Equal(t, m.store.Revision(), int64(len(m.ref.states)-1))
}

func (m *machine) Create(t *rapid.T) {
	kind, name := m.draw(t)
	value := json.RawMessage(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value")))
	var want objects.ErrorKind
	if _, exists := m.ref.now()[kind+"/"+name]; exists {
		want = objects.Conflict
	}
	_, err := m.api.Create(t.Context(), kind, name, value)
	m.checkWrite(t, want, err, objects.Object{Kind: kind, Name: name, Value: value}, false)
}

// expect returns the version for a conditional write and the expected error kind.
func (m *machine) expect(t *rapid.T, kind, name string) (int64, objects.ErrorKind) {
	old, exists := m.ref.now()[kind+"/"+name]
	version := old.Version
	if rapid.Bool().Draw(t, "wrongVersion") {
		version = rapid.Int64Range(0, 50).Draw(t, "version")
	}
	if !exists {
		return version, objects.NotFound
	}
	if version != old.Version {
		return version, objects.Conflict
	}
	return version, ""
}

func (m *machine) Update(t *rapid.T) {
	kind, name := m.draw(t)
	version, want := m.expect(t, kind, name)
	value := json.RawMessage(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value")))
	_, err := m.api.Update(t.Context(), kind, name, version, value)
	m.checkWrite(t, want, err, objects.Object{Kind: kind, Name: name, Value: value}, false)
}

func (m *machine) Delete(t *rapid.T) {
	kind, name := m.draw(t)
	version, want := m.expect(t, kind, name)
	_, err := m.api.Delete(t.Context(), kind, name, version)
	m.checkWrite(t, want, err, objects.Object{Kind: kind, Name: name}, true)
}

func (m *machine) Compact(t *rapid.T) {
	m.compacted = max(m.compacted, rapid.Int64Range(0, m.store.Revision()).Draw(t, "compact"))
	m.store.Compact(m.compacted)
}

func (m *machine) Switch(t *rapid.T) {
	m.lossy = rapid.Bool().Draw(t, "lossy")
	m.staleRevisions = rapid.Int64Range(0, 4).Draw(t, "stale")
	m.store.LoseReplies(map[bool]int{true: AllReplies, false: 0}[m.lossy])
	m.store.StaleReads(m.staleRevisions)
}

func (m *machine) Watch(t *rapid.T) {
	since := rapid.Int64Range(0, m.store.Revision()+1).Draw(t, "since")
	events, revision, err := m.api.Watch(t.Context(), since, 0, "Place")
	switch {
	case since < m.compacted:
		assert.Equal(t, objects.KindOf(err), objects.Gone)
	case since > m.store.Revision():
		assert.Equal(t, objects.KindOf(err), objects.Invalid)
	default:
		assert.NilError(t, err)
		assert.Equal(t, revision, m.store.Revision())
		want := slices.DeleteFunc(slices.Clone(m.ref.events[since:]), func(e objects.Event) bool { return e.Object.Kind != "Place" })
		assert.DeepEqual(t, events, append([]objects.Event{}, want...))
	}
}

// Check compares reads with the reference. Reads are stale by the number of revisions
// set with StaleReads.
func (m *machine) Check(t *rapid.T) {
	at := max(m.compacted, m.store.Revision()-m.staleRevisions)
	objects, revision, err := m.api.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, revision, at)
	assert.Equal(t, len(objects), len(m.ref.states[at]))
	for _, o := range objects {
		assert.DeepEqual(t, o, m.ref.states[at][o.Kind+"/"+o.Name])
		one, err := m.api.Get(t.Context(), o.Kind, o.Name)
		assert.NilError(t, err)
		assert.DeepEqual(t, one, o)
	}
}

func TestStoreAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(Options{ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
		m := &machine{store: store, api: store.As("vm", "zone"), ref: reference{states: []map[string]objects.Object{{}}}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestWatchWaitsAndCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(Options{})
		api := store.As("vm", "zone")
		started := time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _ = api.Create(t.Context(), "Shift", "other", json.RawMessage(`1`))
			time.Sleep(time.Second)
			_, _ = api.Create(t.Context(), "Place", "centro", json.RawMessage(`1`))
		}()
		events, revision, err := api.Watch(t.Context(), 0, time.Minute, "Place")
		assert.NilError(t, err)
		assert.Equal(t, len(events), 1)
		assert.Equal(t, revision, int64(2))
		assert.Equal(t, time.Since(started), 2*time.Second)
		assert.Equal(t, store.Counts().ByOp[objects.OpWatch], int64(1))
		assert.Equal(t, store.Counts().ByClient["vm"], int64(3))

		events, _, err = api.Watch(t.Context(), 2, time.Minute, "Place")
		assert.NilError(t, err)
		assert.Equal(t, len(events), 0)
		assert.Equal(t, time.Since(started), 2*time.Second+time.Minute)
	})
}

func TestFaultsAndRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(Options{WritesPerSecond: 2, ReadsPerSecond: 100})
		api := store.As("vm", "norte-a")
		big := json.RawMessage(`"` + strings.Repeat("x", objects.MaxValueBytes) + `"`)
		_, err := api.Create(t.Context(), "Place", "big", big)
		assert.Equal(t, objects.KindOf(err), objects.TooLarge)
		_, err = api.Create(t.Context(), "Place", "centro", json.RawMessage(`1`))
		assert.NilError(t, err)
		_, err = api.Create(t.Context(), "Place", "sur", json.RawMessage(`1`))
		assert.Equal(t, objects.KindOf(err), objects.Throttled)

		broken := make(chan error)
		go func() {
			_, _, err := api.Watch(context.Background(), 1, time.Hour)
			broken <- err
		}()
		synctest.Wait()
		store.CutOff("norte-a", true)
		assert.Equal(t, objects.KindOf(<-broken), objects.Unavailable)
		_, err = store.As("vm", "sur-a").Get(t.Context(), "Place", "centro")
		assert.NilError(t, err)
		store.CutOff("norte-a", false)

		store.Slow(3 * time.Second)
		started := time.Now()
		_, err = api.Get(t.Context(), "Place", "centro")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 3*time.Second)
		store.Slow(0)

		store.Down(true)
		_, _, err = api.List(t.Context())
		assert.Equal(t, objects.KindOf(err), objects.Unavailable)
	})
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(Options{})
		store.SetVMLag(10 * time.Second)
		store.SetVM(objects.VM{Name: "norte-a-1", State: objects.VMLive})
		time.Sleep(10 * time.Second)
		store.SetVMState("norte-a-1", objects.VMGone)
		state := func() objects.VMState {
			vms, err := store.As("vm", "zone").VMs(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(vms), 1)
			return vms[0].State
		}
		assert.Equal(t, state(), objects.VMLive)
		time.Sleep(10 * time.Second)
		assert.Equal(t, state(), objects.VMGone)
	})
}
