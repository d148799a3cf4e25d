package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/once"
)

// useRealOutcomes configures both entry VMs with the real outcome table.
func (w *testbed) useRealOutcomes() {
	for _, e := range []*entryVM{w.a, w.b} {
		e.outcomes = NewOutcomes(OutcomesConfig{
			Incarnation: e.self.Incarnation, Started: time.Now(), Limits: e.limits, Scope: tally.NoopScope,
		})
	}
}

func freshKey(incarnation steering.Incarnation, unique string) string {
	return string(once.PrefixAt(incarnation, time.Now())) + "." + unique
}

// callerResult is what a caller learns about its purchase.
type callerResult struct {
	text, reason, ran, replayed string
	status                      int
	err                         error
}

// buy sends a purchase through one of the two entry VMs.
func (w *testbed) buy(ctx context.Context, through *entryVM, key, content string) callerResult {
	address := callerA
	if through == w.b {
		address = callerB
	}
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/buy", strings.NewReader(content))
	r.Host = "tickets.example"
	r.Header.Set(headerKey, key)
	res, err := w.client.Do(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	h := res.Header
	return callerResult{string(text), h.Get(headerReason), h.Get(headerRan), h.Get(headerReplayed), res.StatusCode, err}
}

func slow(d time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		next(w, r)
	}
}

// Guards against charging a caller twice. The caller lost the response and repeats the purchase
// several times concurrently, through both entry VMs, while the first execution is running and
// after it ended.
func TestRepeatsShareOneExecution(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.useRealOutcomes()
		w.target("t1", slow(2*time.Second, ok))
		w.target("t2", slow(2*time.Second, ok))
		w.target("t3", slow(2*time.Second, ok))
		key := freshKey("INCA", "purchase1")
		impatient, hangUp := context.WithTimeout(t.Context(), time.Second)
		defer hangUp()
		var callers sync.WaitGroup
		callers.Go(func() { assert.Assert(t, w.buy(impatient, w.a, key, "1").err != nil) })
		synctest.Wait()
		for i := range 6 {
			callers.Go(func() {
				got := w.buy(t.Context(), []*entryVM{w.a, w.b}[i%2], key, "1")
				assert.Equal(t, got.text, "POST /buy 1")
				assert.Equal(t, got.replayed, "true")
			})
		}
		callers.Wait()
		assert.Equal(t, w.buy(t.Context(), w.b, key, "1").text, "POST /buy 1")
		other := w.buy(t.Context(), w.a, key, "2")
		assert.Equal(t, other.reason+" "+other.ran, "key_mismatch unknown")
		assert.Equal(t, w.ran("t1")+w.ran("t2")+w.ran("t3"), 1)

		long, large := freshKey("INCA", "purchase2"), strings.Repeat("x", maxBufferedBody+1)
		assert.Equal(t, w.buy(t.Context(), w.a, long, large).text, "POST /buy "+large)
		assert.Equal(t, w.buy(t.Context(), w.a, long, "y"+large[1:]).reason, "key_mismatch")
	})
}

// Guards against running a purchase of unknown outcome again, and against never running one that
// was refused without running. Targets break the connection, shed the request or send a long
// response; then the caller repeats it.
func TestRepeatAfterEachOutcome(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(targetNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	long := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, once.DefaultMaxAnswerBytes+1))
	}
	for _, test := range []struct {
		name         string
		first, then  http.HandlerFunc
		repeat       string // reason and ran of the repeat
		repeatStatus int
		sent         int
	}{
		{"died", breakConnection, ok, "target_died unknown", http.StatusBadGateway, 1},
		{"refused", shed, ok, " ", http.StatusOK, 3},
		{"long", long, ok, "answer_not_kept yes", http.StatusConflict, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inTestbed(t, func(t *testing.T, w *testbed) {
				w.useRealOutcomes()
				w.target("t1", test.first)
				w.target("t2", test.first)
				w.target("t3", test.first)
				key := freshKey("INCA", "purchase1")
				first := w.buy(t.Context(), w.a, key, "1")
				sent := w.ran("t1") + w.ran("t2") + w.ran("t3")
				for _, name := range []string{"t1", "t2", "t3"} {
					w.target(name, test.then)
				}
				again := w.buy(t.Context(), w.b, key, "1")
				assert.Equal(t, again.reason+" "+again.ran, test.repeat, "first: %+v", first)
				assert.Equal(t, again.status, test.repeatStatus)
				assert.Equal(t, sent, test.sent)
				if test.name == "refused" {
					assert.Equal(t, first.ran, "no")
					return
				}
				assert.Equal(t, w.ran("t1")+w.ran("t2")+w.ran("t3"), test.sent, "the repeat ran it again")
			})
		})
	}
}

// Guards against a second run, or a wrong "not run", when the owner of a key is unreachable,
// recovers, and is replaced by a new process while the caller keeps repeating the purchase. Only
// the owner may decide about the key.
func TestKeyOwnerUnreachableAndReplaced(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.useRealOutcomes()
		w.target("t1", ok)
		w.target("t3", ok)
		key := freshKey("INCA", "purchase1")
		assert.Equal(t, w.buy(t.Context(), w.a, key, "1").status, http.StatusOK)

		address := w.members[0].PeerAddress
		w.members[0].PeerAddress = "cut-off:1"
		cut := w.buy(t.Context(), w.b, key, "1")
		assert.Equal(t, cut.reason+" "+cut.ran, "peer_unreachable unknown")
		w.members[0].PeerAddress = address
		assert.Equal(t, w.buy(t.Context(), w.b, key, "1").replayed, "true")

		replaced := seam.Member{VM: "ea", Incarnation: "INCA2", Zone: "a", PeerAddress: address, State: seam.MemberLive}
		w.members[0] = replaced
		w.a.self = replaced
		w.useRealOutcomes()
		for _, through := range []*entryVM{w.a, w.b} {
			gone := w.buy(t.Context(), through, key, "1")
			assert.Equal(t, gone.reason+" "+gone.ran, "home_gone unknown")
		}
		next := freshKey("INCA2", "purchase2")
		assert.Equal(t, w.buy(t.Context(), w.b, next, "1").status, http.StatusOK)
		assert.Equal(t, w.ran("t1")+w.ran("t3"), 2)
	})
}

// Guards against unbounded memory when thousands of slow responses are recorded at once: the table
// is bounded, but the responses still being received need a limit of their own.
func TestRecordingIsBounded(t *testing.T) {
	limits := newLimits(64 << 10)
	o := NewOutcomes(OutcomesConfig{Incarnation: "INCA", Started: time.Now(), Limits: limits, Scope: tally.NoopScope})
	var open []*keyRecorder
	for i := range 40 {
		recorder, _, refusal := o.Claim(t.Context(), steering.Key(freshKey("INCA", fmt.Sprintf("purchase%d", i))), 1)
		assert.Assert(t, refusal == nil, "%v", refusal)
		recorder.Head(200, nil)
		recorder.Body(make([]byte, 1<<10))
		open = append(open, recorder.(*keyRecorder))
	}
	held := 0
	for _, recorder := range open {
		held += len(recorder.answer.Body)
		recorder.Complete(nil)
	}
	assert.Assert(t, held <= 16<<10, "%d bytes of unfinished responses are held", held)
	assert.Equal(t, o.recordingBytes.Load(), int64(0))
	assert.Assert(t, o.table.Stats().Bytes <= 64<<10)
}

func newLimits(outcomeBytes int64) static.Limits {
	limits := static.Settings{}.WithDefaults().Limits
	limits.OutcomeBytes = outcomeBytes
	return limits
}
