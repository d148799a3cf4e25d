package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/objects"
	standin "heatherlock/standin/platform"
)

// fakeRuntime is a Runtime with fixed state.
type fakeRuntime struct {
	zones       []ZoneFact
	moved       int
	stop        StopFact
	permitsHeld int
	members     []MemberFact
}

func (f *fakeRuntime) ConfigVersion() int64    { return 1 }
func (f *fakeRuntime) PlatformReachable() bool { return true }
func (f *fakeRuntime) Members() []MemberFact   { return f.members }
func (f *fakeRuntime) Zones() []ZoneFact       { return f.zones }
func (f *fakeRuntime) Pools() []PoolFact       { return nil }
func (f *fakeRuntime) Shift(string) (ShiftFact, bool) {
	return ShiftFact{MovedPercent: f.moved, HeldBy: "warm-up"}, true
}
func (f *fakeRuntime) Stop(string) (StopFact, bool) { return f.stop, true }
func (f *fakeRuntime) Cap(string) (CapFact, bool)   { return CapFact{PermitsHeld: f.permitsHeld}, true }

func newServer(t testing.TB, store *standin.Store, runtime Runtime) *Server {
	t.Helper()
	s, err := New(Config{VM: "norte-a-1", Platform: store.As("norte-a-1", "norte-a"), Runtime: runtime})
	assert.NilError(t, err)
	return s
}

func decodeObject(t testing.TB, raw string) oas.Object {
	t.Helper()
	o, problems := check.Decode([]byte(raw))
	assert.Equal(t, len(problems), 0, "%v", problems)
	return o
}

func serviceWithTimeout(t testing.TB, timeout int) oas.Object {
	return decodeObject(t, fmt.Sprintf(`{"kind":"Service","metadata":{"name":"tickets"},"spec":{"timeoutMs":%d}}`, timeout))
}

func create(s *Server, o oas.Object) (oas.Object, error) {
	return s.CreateObject(context.Background(), o, oas.CreateObjectParams{Kind: oas.Kind(o.Type)})
}

func update(s *Server, o oas.Object, override string) (oas.Object, error) {
	params := oas.UpdateObjectParams{Kind: oas.Kind(o.Type), Name: check.MetadataOf(&o).Name}
	if override != "" {
		params.Override = oas.NewOptString(override)
	}
	return s.UpdateObject(context.Background(), o, params)
}

func problemReason(err error) oas.ProblemReason {
	var e *Error
	if errors.As(err, &e) {
		return e.Problem.Reason
	}
	return ""
}

// Guards against reporting a conflict when no other client wrote. The platform stores the change
// but its reply is lost, and the entry VM's retry then conflicts with its own change.
func TestLostReplyIsRecognisedAsOwnWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(standin.Options{})
		s := newServer(t, store, &fakeRuntime{})
		store.LoseReplies(1)
		created, err := create(s, serviceWithTimeout(t, 100))
		assert.NilError(t, err)
		store.LoseReplies(standin.AllReplies)
		created.Service.Spec.TimeoutMs = oas.NewOptInt64(200)
		updated, err := update(s, created, "")
		assert.NilError(t, err)
		assert.Equal(t, updated.Service.Spec.TimeoutMs.Value, int64(200))
		assert.Equal(t, store.Revision(), int64(2), "each change took effect once")
	})
}

// Guards against reporting a change as not made although it is in force. The platform stores
// the change, its reply is lost, and the platform fails before the entry VM can read the object
// back. Reporting only the last error would be wrong.
func TestOutcomeIsUnknownWhenThePlatformGoesDownAfterALostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(standin.Options{})
		s := newServer(t, store, &fakeRuntime{})
		store.LoseReplies(1)
		go func() {
			time.Sleep(writeRetryDelay / 2)
			store.Down(true)
		}()
		o := serviceWithTimeout(t, 100)
		check.MetadataOf(&o).WriteId = oas.NewOptString("w1")
		_, err := create(s, o)
		assert.Equal(t, problemReason(err), oas.ProblemReasonOutcomeUnknown, "%v", err)
		store.Down(false)
		again, err := create(s, o)
		assert.NilError(t, err, "the same write id is recognised")
		assert.Equal(t, versionOf(again), int64(1))
	})
}

func TestPlatformOutageIsTypedAndHasRetryAfter(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	s := newServer(t, store, &fakeRuntime{})
	store.Down(true)
	_, err := create(s, serviceWithTimeout(t, 100))
	assert.Equal(t, problemReason(err), oas.ProblemReasonUnavailable)
	var e *Error
	assert.Assert(t, errors.As(err, &e) && e.Problem.RetryAfterMs.Value > 0)
	assert.Equal(t, store.Revision(), int64(0))
}

// fixedList is a platform whose lists always return the same objects and revision.
type fixedList struct {
	objects.API
	objects  []objects.Object
	revision int64
}

func (l fixedList) List(context.Context, ...string) ([]objects.Object, int64, error) {
	return l.objects, l.revision, nil
}

// Guards against a lost update that is reported as accepted to both of two operators. Both read
// version 1 and send back its write ID. The second operator's entry VM reads the set before the
// first write, gets a conflict, and would find its own write ID on the stored object if the ID
// weren't unique to a change.
func TestRacingOperatorsSeeBothVersions(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	s, other := newServer(t, store, &fakeRuntime{}), newServer(t, store, &fakeRuntime{})
	read, err := create(s, serviceWithTimeout(t, 100))
	assert.NilError(t, err)
	first, second := read, read
	first.Service.Spec.TimeoutMs = oas.NewOptInt64(200)
	second.Service.Spec.Hosts = []string{"b.example"}
	listed, revision, err := other.platform.List(context.Background(), smallKinds...)
	assert.NilError(t, err)
	_, err = update(s, first, "")
	assert.NilError(t, err)
	for _, api := range []objects.API{other.platform, fixedList{other.platform, listed, revision}} {
		other.platform = api
		_, err = update(other, second, "")
		assert.Equal(t, problemReason(err), oas.ProblemReasonConflict, "%v", err)
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Problem.Stored.Value.Service.Spec.TimeoutMs.Value, int64(200))
		assert.DeepEqual(t, e.Problem.Yours.Value.Service.Spec.Hosts, []string{"b.example"})
	}
}

// With any combination of lost replies, outages, stale reads and concurrent operators, an
// accepted change takes effect exactly once and a refused change not at all. Only a change that
// is reported with an unknown outcome may be either.
func TestAcceptedChangesTakeEffectOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore(standin.Options{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20})
			servers := []*Server{newServer(t, store, &fakeRuntime{}), newServer(t, store, &fakeRuntime{})}
			held, err := create(servers[0], serviceWithTimeout(t, 1))
			assert.NilError(t, err)
			copies := []oas.Object{held, held}
			for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				store.LoseReplies(rapid.IntRange(0, 2).Draw(rt, "lose"))
				store.StaleReads(int64(rapid.IntRange(0, 1).Draw(rt, "stale")))
				down := rapid.IntRange(0, 3).Draw(rt, "down") == 0
				if down {
					time.AfterFunc(writeRetryDelay/2, func() { store.Down(true) })
				}
				who := rapid.IntRange(0, 1).Draw(rt, "who")
				before := store.Revision()
				o := copies[who]
				o.Service.Spec.TimeoutMs = oas.NewOptInt64(int64(i + 100))
				written, err := update(servers[who], o, "")
				effects := store.Revision() - before
				switch reason := problemReason(err); {
				case err == nil && effects != 1:
					rt.Fatalf("accepted, %d effects", effects)
				case err == nil:
					copies[who] = written
				case reason == oas.ProblemReasonOutcomeUnknown && effects > 1:
					rt.Fatalf("unknown, %d effects", effects)
				case reason != oas.ProblemReasonOutcomeUnknown && effects != 0:
					rt.Fatalf("refused as %s, %d effects", reason, effects)
				}
				time.Sleep(writeRetryDelay)
				store.Down(false)
				store.StaleReads(0)
				if rapid.Bool().Draw(rt, "read") {
					copies[who], err = servers[who].get(context.Background(), check.RefOf(o))
					assert.NilError(t, err)
				}
			}
		})
	})
}

// A watch that resumes from the returned version receives each change once and in order,
// however often the operator polls and whichever entry VM it uses.
func TestWatchMissesAndRepeatsNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := standin.NewStore(standin.Options{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20})
		servers := []*Server{newServer(t, store, &fakeRuntime{}), newServer(t, store, &fakeRuntime{})}
		var seen []int64
		since := int64(0)
		poll := func() {
			s := rapid.SampledFrom(servers).Draw(rt, "server")
			reply, err := s.WatchObjects(context.Background(), oas.WatchObjectsParams{Since: since, WaitMs: oas.NewOptInt32(0)})
			assert.NilError(t, err)
			for _, e := range reply.Events {
				seen = append(seen, e.Version)
			}
			since = reply.Version
		}
		held, err := create(servers[0], serviceWithTimeout(t, 1))
		assert.NilError(t, err)
		steps := rapid.IntRange(1, 20).Draw(rt, "steps")
		for i := range steps {
			if rapid.Bool().Draw(rt, "poll") {
				poll()
			}
			held.Service.Spec.TimeoutMs = oas.NewOptInt64(int64(i + 2))
			held, err = update(servers[0], held, "")
			assert.NilError(t, err)
		}
		poll()
		poll()
		assert.Equal(t, len(seen), steps+1)
		for i, version := range seen {
			assert.Equal(t, version, int64(i+1))
		}
	})
}

func createObjects(t testing.TB, s *Server) {
	t.Helper()
	for _, raw := range []string{
		`{"kind":"Service","metadata":{"name":"tickets"},"spec":{}}`,
		`{"kind":"Place","metadata":{"name":"a"},"spec":{"region":"r","zone":"a","targets":[{"name":"a1","service":"tickets","address":"10.0.0.1:80","slots":3}]}}`,
		`{"kind":"Place","metadata":{"name":"b"},"spec":{"region":"r","zone":"b","targets":[{"name":"b1","service":"tickets","address":"10.0.0.2:80","slots":3}]}}`,
		`{"kind":"Shift","metadata":{"name":"a-b"},"spec":{"from":"a","to":"b","percent":50}}`,
		`{"kind":"Cap","metadata":{"name":"a-b"},"spec":{"shift":"a-b","requests":9}}`,
	} {
		_, err := create(s, decodeObject(t, raw))
		assert.NilError(t, err)
	}
}

func TestBrokenPromiseNeedsARecordedOverride(t *testing.T) {
	var lines bytes.Buffer
	store := standin.NewStore(standin.Options{})
	s := newServer(t, store, &fakeRuntime{})
	s.log = log.NewJSONLogger(&lines)
	createObjects(t, s)
	limit, err := s.get(context.Background(), check.Ref{Kind: oas.KindCap, Name: "a-b"})
	assert.NilError(t, err)
	limit.Cap.Spec.Requests = 0
	_, err = update(s, limit, "")
	assert.Equal(t, problemReason(err), oas.ProblemReasonBreaksPromise)
	lines.Reset()
	stored, err := update(s, limit, "bathhouse closed today")
	assert.NilError(t, err)
	assert.Equal(t, stored.Cap.Metadata.Override.Value, "bathhouse closed today")
	var line struct {
		Action, Object, Override string
		Version                  int64
		Diff                     []string
	}
	assert.NilError(t, json.Unmarshal(lines.Bytes(), &line), lines.String())
	assert.Equal(t, line.Object, "Cap/a-b")
	assert.Equal(t, line.Version, versionOf(stored))
	assert.DeepEqual(t, line.Diff, []string{"spec.requests: 9 -> 0"})
}

func conditionOf(t testing.TB, o oas.Object, kind string) oas.Condition {
	t.Helper()
	c := findCondition(*check.StatusOf(&o), kind)
	assert.Equal(t, c.Type, kind, "no such condition")
	return c
}

func TestStatusFollowsRuntimeState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(standin.Options{})
		cut := time.Now().Add(-time.Minute)
		runtime := &fakeRuntime{zones: []ZoneFact{{Zone: "a", ConfigVersion: 9}, {Zone: "b", ConfigVersion: 1, CutOffSince: cut}}, moved: 20, permitsHeld: 9}
		s := newServer(t, store, runtime)
		createObjects(t, s)
		_, err := create(s, decodeObject(t, `{"kind":"PlannedStop","metadata":{"name":"s"},"spec":{"what":"place","name":"a","deadline":"1999-01-01T00:00:00Z"}}`))
		assert.NilError(t, err)
		get := func(kind oas.Kind, name string) oas.Object {
			o, err := s.get(context.Background(), check.Ref{Kind: kind, Name: name})
			assert.NilError(t, err)
			return o
		}
		shift := get(oas.KindShift, "a-b")
		assert.Equal(t, conditionOf(t, shift, ConditionInForce).Reason, "ZonesCutOff")
		assert.Equal(t, conditionOf(t, shift, ConditionShiftComplete).Reason, "Held")
		assert.Equal(t, conditionOf(t, get(oas.KindCap, "a-b"), ConditionCapHolding).Status, true)
		stop := get(oas.KindPlannedStop, "s")
		assert.Equal(t, conditionOf(t, stop, ConditionDrained).Reason, "Spreading")
		assert.Equal(t, conditionOf(t, stop, ConditionInTime).Reason, "DeadlinePassed")

		since := conditionOf(t, shift, ConditionShiftComplete).Since
		time.Sleep(time.Hour)
		runtime.zones[1] = ZoneFact{Zone: "b", ConfigVersion: 9}
		runtime.moved, runtime.permitsHeld, runtime.stop = 50, 10, StopFact{AllReported: true}
		shift = get(oas.KindShift, "a-b")
		assert.Equal(t, conditionOf(t, shift, ConditionInForce).Status, true)
		complete := conditionOf(t, shift, ConditionShiftComplete)
		assert.Assert(t, complete.Status && complete.Since.Sub(since) >= time.Hour)
		assert.Equal(t, conditionOf(t, get(oas.KindCap, "a-b"), ConditionCapHolding).Reason, "Lowering")
		assert.Equal(t, conditionOf(t, get(oas.KindPlannedStop, "s"), ConditionDrained).Status, true)
	})
}

// Guards against two shifts that form a cycle without any sign of it in their status. Two
// operators write them concurrently through different entry VMs, and each is checked against a
// set without the other: the platform's writes are conditional on one object, not on a set.
func TestStoredProblemShowsAsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(standin.Options{})
		s := newServer(t, store, &fakeRuntime{})
		createObjects(t, s)
		back, err := encode(decodeObject(t, `{"kind":"Shift","metadata":{"name":"b-a"},"spec":{"from":"b","to":"a","percent":5}}`))
		assert.NilError(t, err)
		_, err = store.As("x", "x").Create(context.Background(), "Shift", "b-a", back)
		assert.NilError(t, err)
		time.Sleep(2 * problemsMaxAge)
		o, err := s.get(context.Background(), check.Ref{Kind: oas.KindShift, Name: "b-a"})
		assert.NilError(t, err)
		assert.Equal(t, conditionOf(t, o, ConditionAccepted).Status, false)
	})
}

func TestBigClientBlocksAreSplitAndReadBackWhole(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	s := newServer(t, store, &fakeRuntime{})
	createObjects(t, s)
	blocks := oas.ClientBlocks{Kind: "ClientBlocks", Metadata: oas.Metadata{Name: "callers"}}
	for i := range 30000 {
		prefix := fmt.Sprintf("10.%d.%d.0/24", i/256, i%256)
		blocks.Spec.Blocks = append(blocks.Spec.Blocks, oas.ClientBlock{Prefix: prefix, Place: "a"})
	}
	created, err := create(s, oas.NewClientBlocksObject(blocks))
	assert.NilError(t, err)
	created.ClientBlocks.Spec.Blocks[7].Place = "b"
	_, err = update(s, created, "")
	assert.NilError(t, err)
	list, err := s.ListObjects(context.Background(), oas.ListObjectsParams{Kind: oas.KindClientBlocks})
	assert.NilError(t, err)
	got := map[string]string{}
	for _, b := range list.Items[0].ClientBlocks.Spec.Blocks {
		got[b.Prefix] = b.Place
	}
	assert.Equal(t, len(got), 30000)
	assert.Equal(t, got[created.ClientBlocks.Spec.Blocks[7].Prefix], "b")
	shards, _, err := store.As("x", "x").List(context.Background(), "ClientBlocksShard")
	assert.NilError(t, err)
	_, err = s.DeleteObject(context.Background(), oas.DeleteObjectParams{Kind: oas.KindClientBlocks, Name: "callers", Version: list.Items[0].ClientBlocks.Metadata.Version.Value})
	assert.NilError(t, err)
	left, _, err := store.As("x", "x").List(context.Background(), "ClientBlocksShard")
	assert.NilError(t, err)
	assert.Assert(t, len(shards) > 1 && len(left) == 0, "%d shards, %d left", len(shards), len(left))
}

// Every invalid request gets a problem response with a remedy, and changes nothing.
func TestBadRequestsAreTyped(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	handler := newServer(t, store, &fakeRuntime{}).Handler()
	huge := `{"kind":"Service","metadata":{"name":"s"},"spec":{"hosts":["` + strings.Repeat("a", maxBodyBytes) + `"]}}`
	cases := []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/objects/Service", `{"kind":"Service","metadata":{"name":"s"},"spec":{"hots":["a"]}}`, 422},
		{"POST", "/v1/objects/Service", `{"kind":"Nonsense"}`, 422},
		{"POST", "/v1/objects/Service", `[]`, 422},
		{"POST", "/v1/objects/Service", ``, 422},
		{"POST", "/v1/objects/Service", strings.Repeat("[", 100000), 422},
		{"POST", "/v1/objects/Service", huge, 413},
		{"POST", "/v1/objects/Place", `{"kind":"Service","metadata":{"name":"s"},"spec":{}}`, 422},
		{"PUT", "/v1/objects/Service/other", `{"kind":"Service","metadata":{"name":"s","version":1},"spec":{}}`, 422},
		{"PUT", "/v1/objects/Service/s", `{"kind":"Service","metadata":{"name":"s"},"spec":{}}`, 422},
		{"PUT", "/v1/objects/Service/s", `{"kind":"Service","metadata":{"name":"s","version":1},"spec":{}}`, 404},
		{"POST", "/v1/objects/Nonsense", `{"kind":"Service","metadata":{"name":"s"},"spec":{}}`, 400},
		{"DELETE", "/v1/objects/Service/s", "", 400},
		{"DELETE", "/v1/objects/Service/s?version=1", "", 404},
		{"GET", "/v1/objects/Service/s", "", 404},
		{"GET", "/v1/objects/Service/..%2f..%2fetc", "", 400},
		{"GET", "/v1/watch", "", 400},
		{"GET", "/v1/watch?since=-1", "", 400},
		{"GET", "/v1/watch?since=0&waitMs=99999999", "", 400},
		{"GET", "/v1/nothing", "", 404},
		{"PATCH", "/v1/objects/Service/s", "", 405},
	}
	for _, c := range cases {
		name := c.method + " " + c.path
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		request.Header.Set("Content-Type", "application/json")
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, c.status, "%s: %s", name, recorder.Body)
		var problem oas.Problem
		assert.NilError(t, problem.UnmarshalJSON(recorder.Body.Bytes()), "%s: %s", name, recorder.Body)
		assert.Assert(t, problem.Remedy != "" && len(recorder.Body.Bytes()) < 64<<10, name)
	}
	assert.Equal(t, store.Revision(), int64(0))
}

func TestUnknownOperatorsAreRejected(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	s, err := New(Config{
		Platform: standin.NewStore(standin.Options{}).As("x", "x"), Runtime: &fakeRuntime{},
		Tokens: []Token{{Name: "ana", SHA256: hex.EncodeToString(sum[:])}},
	})
	assert.NilError(t, err)
	for header, status := range map[string]int{"": 401, "Bearer ": 401, "Bearer wrong": 401, "Bearer secret": 200, "Basic YW5hOnNlY3JldA==": 200} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("GET", "/v1/status", nil)
		request.Header.Set("Authorization", header)
		s.Handler().ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, status, header)
	}
}

func TestPageEscapesAndUsesNoOutsideResource(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	runtime := &fakeRuntime{members: []MemberFact{{VM: `<script>alert(1)</script>`, State: Live}}}
	s := newServer(t, store, runtime)
	createObjects(t, s)
	render := func() string {
		recorder := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
		assert.Equal(t, recorder.Code, http.StatusOK)
		return recorder.Body.String()
	}
	page := render()
	assert.Assert(t, !strings.Contains(page, "<script>alert"))
	assert.Assert(t, !strings.Contains(page, "http://") && !strings.Contains(page, "https://"))
	assert.Assert(t, strings.Contains(page, "every service: a to b"))
	store.Down(true)
	s.cachedPage.readAt = time.Time{}
	page = render()
	assert.Assert(t, strings.Contains(page, "The platform does not answer") && strings.Contains(page, "every service: a to b"))
}
