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

// Behaviours of targets. Only some run the request.
const (
	answers    behaviour = "answers"
	fails      behaviour = "fails"       // 503 of the service's own
	sheds      behaviour = "sheds"       // typed refusal, not run
	diesBefore behaviour = "dies before" // breaks off without running it
	diesAfter  behaviour = "dies after"
	short      behaviour = "short" // a short answer that ends early
	longCut    behaviour = "long cut"
	streamCut  behaviour = "stream cut" // ends early in chunks
	crosses    behaviour = "crosses"
	hangs      behaviour = "hangs"
	gone       behaviour = "gone" // does not listen
)

var behaviours = []behaviour{answers, answers, fails, sheds, diesBefore, diesAfter, short, longCut, streamCut, crosses, hangs, gone}

// scene is one request and what it meets.
type scene struct {
	Method  string
	Key     int // 0 is none
	Size    int
	At      int       // entry VM that gets it
	Twin    bool      // the same request arrives at the other one, too
	Targets [3]string // behaviours
	Full    [3]bool   // no slot
	Retries bool
}

func drawScenes(t *rapid.T) []scene {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scene {
		s := scene{
			Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
			Key:    rapid.IntRange(0, 2).Draw(t, "key"),
			Size:   rapid.SampledFrom([]int{0, 10, smallBody + 1}).Draw(t, "size"),
			At:     rapid.IntRange(0, 1).Draw(t, "at"), Twin: rapid.Bool().Draw(t, "twin"),
			Retries: rapid.Bool().Draw(t, "retries"),
		}
		if s.Key > 0 {
			s.Method, s.Size = "POST", 10*s.Key // a key always means the same work
		}
		for i := range s.Targets {
			s.Targets[i] = string(rapid.SampledFrom(behaviours).Draw(t, "target"))
			s.Full[i] = rapid.IntRange(0, 3).Draw(t, "full") == 0
		}
		return s
	}), 1, 6).Draw(t, "scenes")
}

// ledger counts what ran and notes broken promises.
type ledger struct {
	mu     sync.Mutex
	runs   map[string]int // by work
	broken []string
}

func (l *ledger) ran(work string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[work]++
}

func (l *ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

const (
	headerWork = "X-Work"
	sceneTime  = 2 * time.Second
)

// play returns a target that behaves so.
func (l *ledger) play(b behaviour) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		work := r.Header.Get(headerWork)
		switch b {
		case sheds:
			w.Header().Set(targetNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case diesBefore:
			hangUp(w)
			return
		case crosses:
			w.Header().Set(targetRequestID, "another")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a request that came in part is not run
		}
		l.ran(work)
		answer := []byte("did " + work)
		switch b {
		case fails:
			w.WriteHeader(http.StatusServiceUnavailable)
		case diesAfter:
			hangUp(w)
		case hangs:
			<-r.Context().Done()
		case short, longCut:
			if b == longCut {
				answer = bytes.Repeat(answer, relayBuffer)
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)+1))
			_, _ = w.Write(answer)
			panic(http.ErrAbortHandler)
		case streamCut:
			_, _ = w.Write(answer[:len(answer)-1])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write(answer)
		}
	}
}

func hangUp(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// TestPromisesOfTheDataPath draws what each target does and how requests come,
// and judges by what ran: work that must run at most once does, "not run" is
// true, an answer is the whole answer to its own request, and every request
// ends by its deadline with its slots given back.
func TestPromisesOfTheDataPath(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenes := drawScenes(rt)
		l := &ledger{runs: map[string]int{}}
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			for _, e := range []*entry{w.a, w.b} {
				e.outcomes = NewOutcomes(OutcomesConfig{Incarnation: e.self.Incarnation, Started: time.Now(), Limits: e.limits, Scope: e.scope})
			}
			for i, s := range scenes {
				w.show(l, i, s)
			}
			w.settled()
			w.client.CloseIdleConnections()
			time.Sleep(time.Second)
		})
		for _, b := range l.broken {
			rt.Errorf("%s", b)
		}
	})
}

// show sets the targets up and sends a scene's request, and its twin.
func (w *world) show(l *ledger, n int, s scene) {
	for i, name := range []string{"t1", "t2", "t3"} {
		w.target(name, l.play(behaviour(s.Targets[i])))
		place, at := w.snapshot.Places["p-a"], i
		if name == "t3" {
			place, at = w.snapshot.Places["p-b"], 0
		}
		place.Targets[at].Address = targetAddress(name)
		if behaviour(s.Targets[i]) == gone {
			place.Targets[at].Address = "10.9.9.9:1"
		}
		for _, e := range []*entry{w.a, w.b} {
			// A hedge of the request before may still give its slot back.
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
	both.Go(func() { w.perform(l, n, s, s.At) })
	if s.Twin {
		both.Go(func() { w.perform(l, n, s, 1-s.At) })
	}
	both.Wait()
	time.Sleep(sceneTime + time.Second) // the run of a key outlives its caller
	synctest.Wait()
}

// perform sends one request and judges its answer.
func (w *world) perform(l *ledger, n int, s scene, at int) {
	work, key := fmt.Sprintf("scene-%d-at-%d", n, at), ""
	if s.Key > 0 {
		work = fmt.Sprintf("key-%d", s.Key)
		key = fmt.Sprintf("%s.abcdefgh%d", once.PrefixAt("INCA", time.Now()), s.Key)
	}
	r, err := http.NewRequest(s.Method, "http://"+[]string{callerA, callerB}[at]+"/", bytes.NewReader(make([]byte, s.Size)))
	if err != nil {
		l.breach("%v", err)
		return
	}
	r.Host = "tickets.example"
	r.Header.Set(headerWork, work)
	r.Header.Set(headerTimeout, fmt.Sprint(sceneTime.Milliseconds()))
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	began := time.Now()
	res, err := w.client.Do(r)
	if err != nil {
		return // broken off, which the caller can tell
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if took := time.Since(began); took > sceneTime {
		l.breach("%s took %v", work, took)
	}
	l.judge(s, work, res, string(text), err)
}

func (l *ledger) judge(s scene, work string, res *http.Response, text string, err error) {
	l.mu.Lock()
	runs := l.runs[work]
	l.mu.Unlock()
	if s.Method == "POST" && runs > 1 {
		l.breach("%s ran %d times", work, runs)
	}
	switch {
	case err != nil: // the caller can tell
	case res.Header.Get(headerRan) == "no" && runs > 0:
		l.breach("%s is called not run (%s) and ran", work, res.Header.Get(headerReason))
	case res.StatusCode == http.StatusOK && text != "did "+work:
		l.breach("%s got %q", work, text[:min(len(text), 40)])
	case res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable && res.Header.Get(headerReason) == "":
		l.breach("%s got an untyped %d", work, res.StatusCode)
	}
}
