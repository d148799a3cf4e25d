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

// entry is a fake entry VM whose answer to each try is scripted.
type entry struct {
	mu      sync.Mutex
	address string
	prefix  string
	script  []http.HandlerFunc
	tries   []*http.Request
	lookups int
}

func startEntry(t *testing.T, prefix string, script ...http.HandlerFunc) *entry {
	t.Helper()
	e := &entry{prefix: prefix, script: script}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// seen returns the tries so far.
func (e *entry) seen() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.tries)
}

func whole(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write(witness.Body(r.Header.Get(witness.HeaderRequest), 64))
}

func crossed(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(witness.Body("other", 64)) }

func short(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "64")
	_, _ = w.Write([]byte("half"))
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refused(ran, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerReason, "no_slot")
		w.Header().Set(headerRan, ran)
		w.Header().Set(headerRetryAfter, retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Symptom: a purchase is charged twice, or given up although it could be
// repeated. Cause: a caller that repeats what may have run without its key, or
// under another key.
func TestRepeatsOnlyByTheRules(t *testing.T) {
	cases := []struct {
		name   string
		kind   witness.Kind
		prefix string
		script []http.HandlerFunc
		tries  int
		end    witness.Answer
	}{
		{"whole at once", witness.KindPurchase, "inc", []http.HandlerFunc{whole}, 1, witness.AnswerWhole},
		{"not run, come back", witness.KindPurchase, "inc", []http.HandlerFunc{refused("no", "1"), whole}, 2, witness.AnswerWhole},
		{"not run, no time to come back", witness.KindPurchase, "inc", []http.HandlerFunc{refused("no", "")}, 1, witness.AnswerRefused},
		{"may have run", witness.KindPurchase, "inc", []http.HandlerFunc{refused("unknown", "1")}, 1, witness.AnswerRefused},
		{"read may have run", witness.KindRead, "inc", []http.HandlerFunc{refused("unknown", "1"), whole}, 2, witness.AnswerWhole},
		{"broken off with a key", witness.KindPurchase, "inc", []http.HandlerFunc{broken, whole}, 2, witness.AnswerWhole},
		{"broken off without a key", witness.KindPurchase, "", []http.HandlerFunc{broken}, 1, witness.AnswerBroken},
		{"short is broken off", witness.KindUpload, "", []http.HandlerFunc{short}, 1, witness.AnswerBroken},
		{"crossed is wrong", witness.KindRead, "inc", []http.HandlerFunc{crossed}, 1, witness.AnswerWrong},
		{"no end of refusals", witness.KindRead, "inc", []http.HandlerFunc{refused("no", "1")}, maxTries, witness.AnswerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t, c.prefix, c.script...)
			from := New(Config{Bootstrap: []string{e.address}})
			defer from.Close()
			result := from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: c.kind, Timeout: 10 * time.Second, AnswerBytes: 64, UploadBytes: 100})
			assert.Equal(t, result.Tries, c.tries)
			assert.Equal(t, result.Answer, c.end)
			tries := e.seen()
			assert.Equal(t, len(tries), c.tries)
			for _, r := range tries {
				assert.Equal(t, r.Header.Get(headerKey), tries[0].Header.Get(headerKey))
			}
			assert.Equal(t, tries[0].Header.Get(headerKey) != "", c.prefix != "" && c.kind != witness.KindRead)
		})
	}
}

func TestLookupIsKeptForItsTimeToLive(t *testing.T) {
	e := startEntry(t, "inc", whole)
	from := New(Config{Bootstrap: []string{e.address}})
	defer from.Close()
	for i := range 3 {
		from.Do(t.Context(), Request{ID: fmt.Sprint(i), Service: "s", Timeout: time.Second, AnswerBytes: 64})
	}
	assert.Equal(t, e.lookups, 1)
	from.book.forget("s")
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.Equal(t, e.lookups, 2)
}

func TestFirstAnswerMayBePartlyUsedUp(t *testing.T) {
	e := startEntry(t, "inc", whole)
	from := New(Config{Bootstrap: []string{e.address}, Phase: 1})
	defer from.Close()
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.NilError(t, from.Reach(t.Context(), "s"))
	assert.Equal(t, e.lookups, 2)
}

// Symptom: a load test's purchases are refused with key_mismatch. Sequence: it
// sends from the addresses of callers that used the system before. Cause: keys
// made of the address and a count.
func TestKeysOfTwoCallersAtOneAddressDiffer(t *testing.T) {
	e := startEntry(t, "inc", whole)
	for range 2 {
		from := New(Config{Bootstrap: []string{e.address}})
		from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindPurchase, Timeout: time.Second, AnswerBytes: 64})
		from.Close()
	}
	tries := e.seen()
	assert.Check(t, tries[0].Header.Get(headerKey) != tries[1].Header.Get(headerKey))
}

func TestTriesAreReported(t *testing.T) {
	w := witness.New()
	e := startEntry(t, "inc", refused("no", "1"), whole)
	from := New(Config{Bootstrap: []string{e.address}, Reporter: w})
	defer from.Close()
	from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindUpload, Timeout: time.Second, AnswerBytes: 64, UploadBytes: 1000})
	v := w.Judge(time.Now(), witness.Planned{})
	assert.Equal(t, v.Tries, 2)
	assert.Equal(t, v.Refusals["no_slot"], 1)
	assert.Equal(t, v.Uploads, 1)
	assert.Equal(t, v.UploadsCut, 1, "no target received the acknowledged upload")
}

// Symptom: a purchase that nobody ran ends as "outcome unknown". Sequence: the
// entry VM that issued the key is gone before anything is sent to it; the
// caller goes to the next one with the same key. Cause: a key that is kept
// although nothing may have run under it.
func TestKeyOfAnEntryVMThatCannotBeReachedIsDropped(t *testing.T) {
	dead := httptest.NewServer(nil)
	deadAddress := strings.TrimPrefix(dead.URL, "http://")
	dead.Close()
	var keys []string
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/lookup" {
			fmt.Fprintf(w, `{"place":"p","entryVMs":[{"vm":"a","address":%q,"keyPrefix":"gone"},{"vm":"b","address":%q,"keyPrefix":"here"}],"ttlMs":60000}`, deadAddress, r.Host)
			return
		}
		keys = append(keys, r.Header.Get(headerKey))
		whole(w, r)
	}))
	defer live.Close()
	from := New(Config{Bootstrap: []string{strings.TrimPrefix(live.URL, "http://")}})
	defer from.Close()
	result := from.Do(t.Context(), Request{ID: "r", Service: "s", Kind: witness.KindPurchase, Timeout: 10 * time.Second, AnswerBytes: 64})
	assert.Equal(t, result.Answer, witness.AnswerWhole)
	assert.Equal(t, len(keys), 1)
	assert.Assert(t, strings.HasPrefix(keys[0], "here."), "%q", keys[0])
}
