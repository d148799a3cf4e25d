package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/once"
)

// behaviour is what a target does with a request.
type behaviour string

// Behaviours of targets. Only some of them run the request.
const (
	responds        behaviour = "answers"
	fails           behaviour = "fails"       // 503 from the service itself
	sheds           behaviour = "sheds"       // typed refusal, not run
	breaksBeforeRun behaviour = "dies before" // closes the connection without running the request
	breaksAfterRun  behaviour = "dies after"
	truncatesShort  behaviour = "short" // a short response that ends early
	truncatesLong   behaviour = "long cut"
	truncatesStream behaviour = "stream cut" // a chunked response that ends early
	mismatchesID    behaviour = "crosses"
	hangs           behaviour = "hangs"
	unreachable     behaviour = "gone" // does not listen
)

var behaviours = []behaviour{responds, responds, fails, sheds, breaksBeforeRun, breaksAfterRun, truncatesShort, truncatesLong, truncatesStream, mismatchesID, hangs, unreachable}

// scenario is one request and the state of the targets when it is sent.
type scenario struct {
	Method    string
	Key       int // 0 means no key
	Size      int
	EntryVM   int       // index of the entry VM that receives it
	Duplicate bool      // the same request is sent to the other entry VM concurrently
	Targets   [3]string // behaviours
	Full      [3]bool   // the target has no free slot
	Retries   bool
}

func drawScenarios(t *rapid.T) []scenario {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			Method:  rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
			Key:     rapid.IntRange(0, 2).Draw(t, "key"),
			Size:    rapid.SampledFrom([]int{0, 10, maxBufferedBody + 1}).Draw(t, "size"),
			EntryVM: rapid.IntRange(0, 1).Draw(t, "at"), Duplicate: rapid.Bool().Draw(t, "twin"),
			Retries: rapid.Bool().Draw(t, "retries"),
		}
		if s.Key > 0 {
			s.Method, s.Size = "POST", 10*s.Key // a key always stands for the same request
		}
		for i := range s.Targets {
			s.Targets[i] = string(rapid.SampledFrom(behaviours).Draw(t, "target"))
			s.Full[i] = rapid.IntRange(0, 3).Draw(t, "full") == 0
		}
		return s
	}), 1, 6).Draw(t, "scenes")
}

// runLog counts the runs of each request and collects violations of the invariants.
type runLog struct {
	mu         sync.Mutex
	runs       map[string]int // by value of headerWork
	violations []string
}

func (l *runLog) ran(work string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[work]++
}

func (l *runLog) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

const (
	headerWork      = "X-Work"
	scenarioTimeout = 2 * time.Second
)

// handler returns a target with the behavior b.
func (l *runLog) handler(b behaviour) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		work := r.Header.Get(headerWork)
		switch b {
		case sheds:
			w.Header().Set(targetNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case breaksBeforeRun:
			closeConnection(w)
			return
		case mismatchesID:
			w.Header().Set(targetRequestID, "another")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a partially received request is not run
		}
		l.ran(work)
		answer := []byte("did " + work)
		switch b {
		case fails:
			w.WriteHeader(http.StatusServiceUnavailable)
		case breaksAfterRun:
			closeConnection(w)
		case hangs:
			<-r.Context().Done()
		case truncatesShort, truncatesLong:
			if b == truncatesLong {
				answer = bytes.Repeat(answer, relayBufferBytes)
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)+1))
			_, _ = w.Write(answer)
			panic(http.ErrAbortHandler)
		case truncatesStream:
			_, _ = w.Write(answer[:len(answer)-1])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write(answer)
		}
	}
}

func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// TestDataPathInvariants draws the behavior of each target and the arriving requests, and checks
// the responses against what ran: non-idempotent requests run at most once, "not run" is true, a
// response is the whole response to its own request, and every request ends by its deadline with
// its slots released.
func TestDataPathInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenes := drawScenarios(rt)
		l := &runLog{runs: map[string]int{}}
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t)
			for _, e := range []*entryVM{w.a, w.b} {
				e.outcomes = NewOutcomes(OutcomesConfig{Incarnation: e.self.Incarnation, Started: time.Now(), Limits: e.limits, Scope: e.scope})
			}
			for i, s := range scenes {
				w.runScenario(l, i, s)
			}
			w.assertSlotsReleased()
			w.client.CloseIdleConnections()
			time.Sleep(time.Second)
		})
		for _, b := range l.violations {
			rt.Errorf("%s", b)
		}
	})
}

// runScenario sets up the targets and sends the scenario's request, and its duplicate.
func (w *testbed) runScenario(l *runLog, n int, s scenario) {
	for i, name := range []string{"t1", "t2", "t3"} {
		w.target(name, l.handler(behaviour(s.Targets[i])))
		place, at := w.snapshot.Places["p-a"], i
		if name == "t3" {
			place, at = w.snapshot.Places["p-b"], 0
		}
		place.Targets[at].Address = targetAddress(name)
		if behaviour(s.Targets[i]) == unreachable {
			place.Targets[at].Address = "10.9.9.9:1"
		}
		for _, e := range []*entryVM{w.a, w.b} {
			// A hedge of the previous request may still release its slot.
			e.mu.Lock()
			e.allow = s.Retries
			delete(e.slots, steering.Target(name))
			if s.Full[i] {
				e.slots[steering.Target(name)] = 0
			}
			e.mu.Unlock()
		}
	}
	var both sync.WaitGroup
	both.Go(func() { w.sendAndCheck(l, n, s, s.EntryVM) })
	if s.Duplicate {
		both.Go(func() { w.sendAndCheck(l, n, s, 1-s.EntryVM) })
	}
	both.Wait()
	time.Sleep(scenarioTimeout + time.Second) // the execution of a key continues without its caller
	synctest.Wait()
}

// sendAndCheck sends one request and checks its response.
func (w *testbed) sendAndCheck(l *runLog, n int, s scenario, at int) {
	work, key := fmt.Sprintf("scene-%d-at-%d", n, at), ""
	if s.Key > 0 {
		work = fmt.Sprintf("key-%d", s.Key)
		key = fmt.Sprintf("%s.abcdefgh%d", once.PrefixAt("INCA", time.Now()), s.Key)
	}
	r, err := http.NewRequest(s.Method, "http://"+[]string{callerA, callerB}[at]+"/", bytes.NewReader(make([]byte, s.Size)))
	if err != nil {
		l.violation("%v", err)
		return
	}
	r.Host = "tickets.example"
	r.Header.Set(headerWork, work)
	r.Header.Set(headerTimeout, fmt.Sprint(scenarioTimeout.Milliseconds()))
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	began := time.Now()
	res, err := w.client.Do(r)
	if err != nil {
		return // the connection was aborted, which the caller can detect
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if took := time.Since(began); took > scenarioTimeout {
		l.violation("%s took %v", work, took)
	}
	l.check(s, work, res, string(text), err)
}

func (l *runLog) check(s scenario, work string, res *http.Response, text string, err error) {
	l.mu.Lock()
	runs := l.runs[work]
	l.mu.Unlock()
	if s.Method == "POST" && runs > 1 {
		l.violation("%s ran %d times", work, runs)
	}
	switch {
	case err != nil: // the caller can detect it
	case res.Header.Get(headerRan) == "no" && runs > 0:
		l.violation("%s is reported not run (%s) but ran", work, res.Header.Get(headerReason))
	case res.StatusCode == http.StatusOK && text != "did "+work:
		l.violation("%s got %q", work, text[:min(len(text), 40)])
	case res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable && res.Header.Get(headerReason) == "":
		l.violation("%s got status %d without a reason", work, res.StatusCode)
	}
}
