package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/witness"
)

// fakeEntryVM answers look-ups with itself and each try with the next handler of its
// script. The last handler answers all further tries.
type fakeEntryVM struct {
	mu      sync.Mutex
	address string
	prefix  string
	script  []http.HandlerFunc
	tries   []*http.Request
	lookups int
}

func startFakeEntryVM(t *testing.T, prefix string, script ...http.HandlerFunc) *fakeEntryVM {
	t.Helper()
	e := &fakeEntryVM{prefix: prefix, script: script}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

func (e *fakeEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if r.URL.Path == "/v1/lookup" {
		e.lookups++
		e.mu.Unlock()
		fmt.Fprintf(w, `{"place":"p","entryVMs":[{"vm":"vm","address":%q,"keyPrefix":%q}],"ttlMs":60000}`, e.address, e.prefix)
		return
	}
	step := e.script[min(len(e.tries), len(e.script)-1)]
	e.tries = append(e.tries, r)
	e.mu.Unlock()
	step(w, r)
}

// received returns the tries received so far.
func (e *fakeEntryVM) received() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.tries)
}

func complete(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(witness.Body(r.Header.Get(witness.HeaderRequest), 64))
}

func misrouted(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(witness.Body("other", 64)) }

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "64")
	_, _ = w.Write([]byte("half"))
}

func aborted(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refused(ran, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerReason, "no_slot")
		w.Header().Set(headerRan, ran)
		w.Header().Set(headerRetryAfter, retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against a purchase that is charged twice because the caller retries a request
// that may have run without its key or with another key, and against a purchase that
// is abandoned although a retry is safe.
func TestRetriesOnlyWhereSafe(t *testing.T) {
	cases := []struct {
		name   string
		kind   witness.Kind
		prefix string
		script []http.HandlerFunc
		tries  int
		end    witness.Answer
	}{
		{"whole at once", witness.KindPurchase, "inc", []http.HandlerFunc{complete}, 1, witness.AnswerWhole},
		{"not run, come back", witness.KindPurchase, "inc", []http.HandlerFunc{refused("no", "1"), complete}, 2, witness.AnswerWhole},
		{"not run, no time to come back", witness.KindPurchase, "inc", []http.HandlerFunc{refused("no", "")}, 1, witness.AnswerRefused},
		{"may have run", witness.KindPurchase, "inc", []http.HandlerFunc{refused("unknown", "1")}, 1, witness.AnswerRefused},
		{"read may have run", witness.KindRead, "inc", []http.HandlerFunc{refused("unknown", "1"), complete}, 2, witness.AnswerWhole},
		{"broken off with a key", witness.KindPurchase, "inc", []http.HandlerFunc{aborted, complete}, 2, witness.AnswerWhole},
		{"broken off without a key", witness.KindPurchase, "", []http.HandlerFunc{aborted}, 1, witness.AnswerBroken},
		{"short is broken off", witness.KindUpload, "", []http.HandlerFunc{truncated}, 1, witness.AnswerBroken},
		{"crossed is wrong", witness.KindRead, "inc", []http.HandlerFunc{misrouted}, 1, witness.AnswerWrong},
		{"no end of refusals", witness.KindRead, "inc", []http.HandlerFunc{refused("no", "1")}, maxTries, witness.AnswerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startFakeEntryVM(t, c.prefix, c.script...)
			from := New(Config{Bootstrap: []string{e.address}})
			defer from.Close()
			result := from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: c.kind, Timeout: 10 * time.Second, AnswerBytes: 64, UploadBytes: 100})
			assert.Equal(t, result.Tries, c.tries)
			assert.Equal(t, result.Answer, c.end)
			tries := e.received()
			assert.Equal(t, len(tries), c.tries)
			for _, r := range tries {
				assert.Equal(t, r.Header.Get(headerKey), tries[0].Header.Get(headerKey))
			}
			assert.Equal(t, tries[0].Header.Get(headerKey) != "", c.prefix != "" && c.kind != witness.KindRead)
		})
	}
}

func TestLookupIsCachedForItsTimeToLive(t *testing.T) {
	e := startFakeEntryVM(t, "inc", complete)
	from := New(Config{Bootstrap: []string{e.address}})
	defer from.Close()
	for i := range 3 {
		from.Do(t.Context(), Request{ID: fmt.Sprint(i), Service: "s", Timeout: time.Second, AnswerBytes: 64})
	}
	assert.Equal(t, e.lookups, 1)
	from.lookupCache.invalidate("s")
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.Equal(t, e.lookups, 2)
}

func TestPhaseShortensTheFirstCaching(t *testing.T) {
	e := startFakeEntryVM(t, "inc", complete)
	from := New(Config{Bootstrap: []string{e.address}, Phase: 1})
	defer from.Close()
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.Equal(t, e.lookups, 2)
}

// Guards against purchases of a load test that are refused with key_mismatch: it sends
// from addresses that other callers used before, so a key made only of address and
// counter would repeat an earlier one.
func TestKeysOfTwoCallersAtOneAddressDiffer(t *testing.T) {
	e := startFakeEntryVM(t, "inc", complete)
	for range 2 {
		from := New(Config{Bootstrap: []string{e.address}})
		from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindPurchase, Timeout: time.Second, AnswerBytes: 64})
		from.Close()
	}
	tries := e.received()
	assert.Check(t, tries[0].Header.Get(headerKey) != tries[1].Header.Get(headerKey))
}

func TestTriesAreReported(t *testing.T) {
	w := witness.New()
	e := startFakeEntryVM(t, "inc", refused("no", "1"), complete)
	from := New(Config{Bootstrap: []string{e.address}, Reporter: w})
	defer from.Close()
	from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindUpload, Timeout: time.Second, AnswerBytes: 64, UploadBytes: 1000})
	v := w.Judge(time.Now(), witness.Planned{})
	assert.Equal(t, v.Tries, 2)
	assert.Equal(t, v.Refusals["no_slot"], 1)
	assert.Equal(t, v.Uploads, 1)
	assert.Equal(t, v.UploadsCut, 1, "no target received the acknowledged upload")
}

// Guards against a purchase that never ran but ends as "outcome unknown": the entry VM
// of the key is unreachable before anything is sent to it, and the caller sends the
// same key to the next one although nothing can have run with it.
func TestKeyOfUnreachableEntryVMIsDropped(t *testing.T) {
	unreachable := httptest.NewServer(nil)
	unreachableAddress := strings.TrimPrefix(unreachable.URL, "http://")
	unreachable.Close()
	var keys []string
	reachable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/lookup" {
			fmt.Fprintf(w, `{"place":"p","entryVMs":[{"vm":"a","address":%q,"keyPrefix":"gone"},{"vm":"b","address":%q,"keyPrefix":"here"}],"ttlMs":60000}`, unreachableAddress, r.Host)
			return
		}
		keys = append(keys, r.Header.Get(headerKey))
		complete(w, r)
	}))
	defer reachable.Close()
	from := New(Config{Bootstrap: []string{strings.TrimPrefix(reachable.URL, "http://")}})
	defer from.Close()
	result := from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindPurchase, Timeout: 10 * time.Second, AnswerBytes: 64})
	assert.Equal(t, result.Answer, witness.AnswerWhole)
	assert.Equal(t, len(keys), 1)
	assert.Assert(t, strings.HasPrefix(keys[0], "here."), "%q", keys[0])
}
