package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/command"
	"heatherlock/node/operator"
	standin "heatherlock/standin/platform"
)

// allInForce is an operator.Runtime in which every revision of the store is in force
// at once.
type allInForce struct{ store *standin.Store }

func (e allInForce) ConfigVersion() int64                  { return e.store.Revision() }
func (e allInForce) PlatformReachable() bool               { return true }
func (e allInForce) Members() []operator.MemberFact        { return nil }
func (e allInForce) Pools() []operator.PoolFact            { return nil }
func (e allInForce) Stop(string) (operator.StopFact, bool) { return operator.StopFact{}, false }
func (e allInForce) Cap(string) (operator.CapFact, bool)   { return operator.CapFact{}, false }
func (e allInForce) Shift(string) (operator.ShiftFact, bool) {
	return operator.ShiftFact{}, false
}
func (e allInForce) Zones() []operator.ZoneFact {
	return []operator.ZoneFact{{Zone: "a", ConfigVersion: e.store.Revision()}}
}

// entryVM is a listener of the operators' API that can break connections in two ways.
type entryVM struct {
	*httptest.Server
	down        atomic.Bool  // break every connection before the request is handled
	lostReplies atomic.Int32 // number of changes whose connection breaks before the reply
}

func startEntryVM(t testing.TB, store *standin.Store, zone string) *entryVM {
	t.Helper()
	s, err := operator.New(operator.Config{VM: zone, Zone: zone, Platform: store.As(zone, zone), Runtime: allInForce{store}})
	assert.NilError(t, err)
	e := &entryVM{}
	next := s.Handler()
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down.Load() {
			panic(http.ErrAbortHandler)
		}
		if r.Method != http.MethodGet && e.lostReplies.Add(-1) >= 0 {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	}))
	e.Config.ErrorLog = nil
	t.Cleanup(e.Close)
	return e
}

// commandLine runs commands against the entry VMs with the given addresses.
type commandLine struct{ addresses string }

func (c commandLine) run(stdin string, args ...string) (code command.Code, out, errOut string) {
	return c.runFor(context.Background(), stdin, args...)
}

func (c commandLine) runFor(ctx context.Context, stdin string, args ...string) (command.Code, string, string) {
	var out, errOut bytes.Buffer
	if c.addresses != "" {
		args = append(args, "--entry-vm", c.addresses)
	}
	code := program().Main(ctx, args, command.IO{In: strings.NewReader(stdin), Out: &out, Err: &errOut})
	return code, out.String(), errOut.String()
}

func unbounded() standin.Options {
	return standin.Options{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20}
}

func TestExamplesCanBeAppliedAndReadBack(t *testing.T) {
	for _, name := range []string{"chile", "prairies"} {
		store := standin.NewStore(unbounded())
		c := commandLine{startEntryVM(t, store, "a").URL}
		dir := filepath.Join(examplesDir, name)
		code, _, errOut := c.run("", "apply", "-f", dir, "--dry-run")
		assert.Equal(t, code, command.OK, errOut)
		assert.Equal(t, store.Revision(), int64(0), "a dry run stores nothing")
		code, out, errOut := c.run("", "apply", "-f", dir)
		assert.Equal(t, code, command.OK, errOut)
		assert.Equal(t, strings.Count(out, " created\n"), 14, out)
		before := store.Revision()
		code, out, _ = c.run("", "apply", "-f", dir)
		assert.Equal(t, code, command.OK)
		assert.Equal(t, strings.Count(out, " unchanged\n"), 14, out)
		assert.Equal(t, store.Revision(), before)
		for _, kind := range check.Kinds {
			code, out, errOut = c.run("", "get", string(kind), "-o", "json")
			assert.Equal(t, code, command.OK, errOut)
			var list oas.ObjectList
			assert.NilError(t, list.UnmarshalJSON([]byte(out)))
			assert.Assert(t, len(list.Items) > 0)
		}
		code, out, errOut = c.run("", "wait", "Service", string(check.MetadataOf(&exampleObjects(t, name)[0]).Name), "--for", "InForce")
		assert.Equal(t, code, command.OK, out+errOut)
	}
}

// Guards against a new shift that moves callers without its cap for a short time after
// an apply: if the shift is stored with its percentage before the cap is stored, its
// driver starts in between. This must not happen for any order of objects in the file.
func TestNewShiftNeverRunsWithoutItsCap(t *testing.T) {
	all := []string{
		`{"kind":"Service","metadata":{"name":"tickets"},"spec":{}}`,
		`{"kind":"Place","metadata":{"name":"a"},"spec":{"region":"centro","zone":"a"}}`,
		`{"kind":"Place","metadata":{"name":"b"},"spec":{"region":"sur","zone":"b","targets":[{"name":"b1","service":"tickets","address":"10.0.0.2:80","slots":3}]}}`,
		`{"kind":"Shift","metadata":{"name":"s"},"spec":{"from":"centro","to":"sur","percent":50}}`,
		`{"kind":"Cap","metadata":{"name":"s"},"spec":{"shift":"s","requests":9}}`,
	}
	store := standin.NewStore(unbounded())
	c := commandLine{startEntryVM(t, store, "a").URL}
	rapid.Check(t, func(rt *rapid.T) {
		began := store.Revision()
		code, _, errOut := c.run(strings.Join(rapid.Permutation(all).Draw(rt, "order"), "\n"), "apply", "-f", "-")
		assert.Equal(t, code, command.OK, errOut)
		events, _, err := store.As("x", "x").Watch(context.Background(), began, 0, "Shift", "Cap")
		assert.NilError(t, err)
		capped, percent := false, 0
		for _, e := range events {
			var o oas.Object
			assert.NilError(t, o.UnmarshalJSON(e.Object.Value))
			capped = capped || o.Type == oas.CapObject
			if o.Type == oas.ShiftObject {
				percent = o.Shift.Spec.Percent
			}
			assert.Assert(t, percent == 0 || capped)
		}
		assert.Equal(t, percent, 50)
		for _, kind := range []string{"Cap", "Shift"} {
			code, _, errOut = c.run("", "delete", kind, "s", "--override", "the test ends")
			assert.Equal(t, code, command.OK, errOut)
		}
	})
}

// Guards against an apply that fails with "exists" or stores a change twice: the entry
// VM stores the object, the connection breaks before the reply, and the client repeats
// the change at another entry VM, which must recognize it as a repeat.
func TestApplySurvivesLostReplies(t *testing.T) {
	store := standin.NewStore(unbounded())
	first, second := startEntryVM(t, store, "a"), startEntryVM(t, store, "b")
	c := commandLine{first.URL + "," + second.URL}
	first.lostReplies.Store(2)
	second.lostReplies.Store(1)
	code, out, errOut := c.run("", "apply", "-f", filepath.Join(examplesDir, "chile"))
	assert.Equal(t, code, command.OK, out+errOut)
	assert.Equal(t, store.Revision(), int64(15), "14 objects, and the shift a second time when its cap was there")
	first.lostReplies.Store(1)
	code, _, errOut = c.run("", "delete", "PlannedStop", "place-norte-a")
	assert.Equal(t, code, command.OK, errOut)
	second.down.Store(true)
	store.CutOff("a", true)
	code, _, errOut = c.run("", "get", "Shift")
	assert.Equal(t, code, command.Unreachable, errOut)
}

// outputLines collects the output of a command while it runs.
type outputLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *outputLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *outputLines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(l.buf.String()), "\n")
}

// Guards against a watch that skips or repeats changes after a lost connection: entry
// VMs fail and recover in turn while objects change, so the watch must not resume from
// a position that is known to one entry VM only.
func TestWatchResumesWithoutLossOrRepetition(t *testing.T) {
	store := standin.NewStore(unbounded())
	vms := []*entryVM{startEntryVM(t, store, "a"), startEntryVM(t, store, "b")}
	c := commandLine{vms[0].URL + "," + vms[1].URL}
	ctx, cancel := context.WithCancel(context.Background())
	out, done := &outputLines{}, make(chan command.Code)
	go func() {
		done <- program().Main(ctx, []string{"watch", "Service", "-o", "json", "-e", c.addresses}, command.IO{Out: out, Err: &outputLines{}})
	}()
	api := store.As("x", "x")
	value := json.RawMessage(`{"kind":"Service","metadata":{"name":"s"},"spec":{}}`)
	stored, err := api.Create(context.Background(), "Service", "s", value)
	assert.NilError(t, err)
	for i := range 30 {
		vms[i/3%2].down.Store(i%3 != 2)
		vms[i/3%2].CloseClientConnections()
		stored, err = api.Update(context.Background(), "Service", "s", stored.Version, value)
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond)
	}
	final := fmt.Sprintf(`"version":%d`, stored.Version)
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(strings.Join(out.all(), "\n"), final) && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
	last := int64(0)
	for _, line := range out.all() {
		var e oas.WatchEvent
		assert.NilError(t, e.UnmarshalJSON([]byte(line)), line)
		assert.Assert(t, last == 0 || e.Version == last+1, "after version %d came %d", last, e.Version)
		last = e.Version
	}
	assert.Equal(t, last, stored.Version)
}

// Guards against a watch that ends, or misses changes, after an outage during which the
// platform compacted its history: while no entry VM responds, one object is changed, one
// deleted and one created. The client must not treat "too old to continue from" as an
// error, and must compare a new list with the objects that it knows.
func TestWatchContinuesAfterHistoryIsCompacted(t *testing.T) {
	store := standin.NewStore(unbounded())
	vm := startEntryVM(t, store, "a")
	ctx, cancel := context.WithCancel(context.Background())
	api := store.As("x", "x")
	value := func(name string) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"kind":"Service","metadata":{"name":%q},"spec":{}}`, name))
	}
	for _, name := range []string{"changed", "deleted", "same"} {
		_, err := api.Create(ctx, "Service", name, value(name))
		assert.NilError(t, err)
	}
	out, done := &outputLines{}, make(chan command.Code)
	go func() {
		done <- program().Main(ctx, []string{"watch", "Service", "-o", "json", "-e", vm.URL}, command.IO{Out: out, Err: &outputLines{}})
	}()
	until := func(n int) {
		for deadline := time.Now().Add(20 * time.Second); len(out.all()) < n && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	until(3)
	vm.down.Store(true)
	vm.CloseClientConnections()
	_, err := api.Update(ctx, "Service", "changed", 1, value("changed"))
	assert.NilError(t, err)
	_, err = api.Delete(ctx, "Service", "deleted", 2)
	assert.NilError(t, err)
	_, err = api.Create(ctx, "Service", "new", value("new"))
	assert.NilError(t, err)
	store.Compact(store.Revision())
	vm.down.Store(false)
	until(6)
	cancel()
	<-done
	got := map[string]string{}
	for _, line := range out.all()[3:] {
		var e oas.WatchEvent
		assert.NilError(t, e.UnmarshalJSON([]byte(line)), line)
		assert.Equal(t, got[e.Name], "", "%s twice", e.Name)
		got[e.Name] = string(e.Type)
	}
	assert.DeepEqual(t, got, map[string]string{"changed": "put", "deleted": "delete", "new": "put"})
}

// An operator's token is accepted from a file or the environment and never appears in
// output.
func TestTokens(t *testing.T) {
	sum := sha256.Sum256([]byte("secret-token"))
	store := standin.NewStore(unbounded())
	s, err := operator.New(operator.Config{
		Platform: store.As("a", "a"), Runtime: allInForce{store},
		Tokens: []operator.Token{{Name: "ana", SHA256: hex.EncodeToString(sum[:])}},
	})
	assert.NilError(t, err)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := commandLine{server.URL}
	code, _, errOut := c.run("", "get", "Shift")
	assert.Equal(t, code, command.Refused, errOut)
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte("secret-token\n"), 0o600))
	service := `{"kind":"Service","metadata":{"name":"s"},"spec":{}}`
	code, out, errOut := c.run(service, "apply", "-f", "-", "--token-file", file)
	assert.Equal(t, code, command.OK, errOut)
	assert.Assert(t, !strings.Contains(out+errOut, "secret-token"))
	t.Setenv("HEATHERLOCK_TOKEN", "secret-token")
	code, out, errOut = c.run("", "get", "Service")
	assert.Equal(t, code, command.OK, errOut)
	assert.Assert(t, strings.Contains(out, " ana "), "who made the change is shown: %s", out)
	t.Setenv("HEATHERLOCK_TOKEN", "wrong")
	code, _, errOut = c.run("", "get", "Service")
	assert.Equal(t, code, command.Refused, errOut)
}

func TestExitCodes(t *testing.T) {
	store := standin.NewStore(unbounded())
	up := commandLine{startEntryVM(t, store, "a").URL}
	code, _, errOut := up.run("", "apply", "-f", filepath.Join(examplesDir, "chile"))
	assert.Equal(t, code, command.OK, errOut)
	none, nowhere := commandLine{}, commandLine{"127.0.0.1:1"}
	t.Setenv("HEATHERLOCK_ENTRY_VMS", "")
	service := `{"kind":"Service","metadata":{"name":"tickets","version":%d},"spec":{"timeoutMs":7}}`
	cases := []struct {
		c     commandLine
		stdin string
		args  string
		code  command.Code
	}{
		{none, "", "", command.Usage},
		{none, "", "nonsense", command.Usage},
		{none, "", "get", command.Usage},
		{none, "", "get Shift", command.Usage},
		{none, "", "check", command.Usage},
		{none, "", "check -f nonsense.json", command.Usage},
		{none, "{", "check -f -", command.Usage},
		{none, "", "check --settings nonsense.json", command.Usage},
		{none, "", "check --settings client_test.go", command.Refused},
		{none, "", "check --settings ../../examples/settings.json", command.OK},
		{none, "", "completion bash", command.OK},
		{none, "", "completion nonsense", command.Usage},
		{none, "{}", "check -f -", command.Refused},
		{none, "", "why --reason nonsense", command.Usage},
		{none, "", "why --reason cap_reached", command.OK},
		{none, "", "why --key nonsense", command.Refused},
		{none, "", "why --key abc-29000000.12345678", command.OK},
		{up, "", "why --key abc-29000000.12345678", command.OK},
		{none, "", "explain Shift.spec.percent", command.OK},
		{none, "", "explain Shift.spec.nonsense", command.Usage},
		{commandLine{"http://%zz"}, "", "get Shift", command.Usage},
		{up, "", "get Nonsense", command.Usage},
		{up, "", "get Shift -o xml", command.Usage},
		{up, "", "get Shift --nonsense", command.Usage},
		{up, "", "get Shift nonsense", command.Refused},
		{up, "", "get Shift ../../etc", command.Refused},
		{up, "", "delete Shift nonsense", command.Refused},
		{up, "", "delete Service tickets", command.Refused},
		{up, "", "delete Shift tickets-centro-sur --at-version 1", command.Conflict},
		{up, "", "wait Service tickets --for Nonsense", command.Usage},
		{up, "", "wait PlannedStop place-norte-a --for Drained --timeout 1ms", command.Other},
		{up, "", "shift norte sur", command.Usage},
		{up, "", "shift norte nowhere --percent 5", command.Refused},
		{up, "", "shift norte sur --percent 500", command.Refused},
		{up, "", "stop planet norte-a", command.Refused},
		{up, "", "stop place norte-b --deadline soon", command.Usage},
		{up, "", "stop zone sur-a --dry-run", command.OK},
		{up, fmt.Sprintf(service, 1), "apply -f -", command.Conflict},
		{up, `{"kind":"Cap","metadata":{"name":"tickets-centro-sur"},"spec":{"shift":"tickets-centro-sur","requests":0}}`, "apply -f -", command.Refused},
		{up, `{"kind":"Cap","metadata":{"name":"tickets-centro-sur"},"spec":{"shift":"tickets-centro-sur","requests":0}}`, "apply -f - --override closed", command.OK},
		{nowhere, "", "get Shift", command.Unreachable},
		{nowhere, fmt.Sprintf(service, 0), "apply -f -", command.Unreachable},
		{nowhere, "", "status", command.Unreachable},
		{up, "", "status", command.OK},
	}
	for i, test := range cases {
		code, out, errOut := test.c.run(test.stdin, strings.Fields(test.args)...)
		assert.Equal(t, code, test.code, "%d: %s\n%s%s", i, test.args, out, errOut)
		assert.Assert(t, !strings.Contains(out+errOut, "\x1b["), "colours without a terminal")
	}
}
