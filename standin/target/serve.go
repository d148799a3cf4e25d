package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/standin/witness"
)

// Headers between entry VMs and targets.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderNotRun     = "Target-Not-Run"
	HeaderInFlight   = "Target-In-Flight"
	HeaderSlots      = "Target-Slots"
	// HeaderCrash crashes the target when it equals Config.CrashMarker.
	HeaderCrash = "Standin-Crash"
)

// maxSpread bounds a service time to this many medians.
const maxSpread = 10

// deadlineSlack is the most that a sender's deadline comes before the
// target's.
const deadlineSlack = 50 * time.Millisecond

func (t *Target) handler(l *life) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { t.work(l, w, r) })
	return mux
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	healthy := !t.slots.isDraining()
	switch t.faults.Load().Health {
	case HealthGood:
		healthy = true
	case HealthBad:
		healthy = false
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.says())
}

// says returns the load that the target reports.
func (t *Target) says() Load {
	if lie := t.faults.Load().Load; lie != nil {
		return *lie
	}
	return Load{InFlight: t.slots.inFlight(), Slots: t.config.Slots, Draining: t.slots.isDraining()}
}

func (t *Target) sayLoad(h http.Header) {
	load := t.says()
	h.Set(HeaderInFlight, strconv.Itoa(load.InFlight))
	h.Set(HeaderSlots, strconv.Itoa(load.Slots))
}

// run is one request in a slot.
type run struct {
	*witness.Execution
	id      string
	request string
	// ctx ends when the sender goes away, the deadline passes or the target
	// crashes.
	ctx    context.Context
	cancel context.CancelFunc
	life   *life
}

func (t *Target) work(l *life, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	t.config.Witness.Offered(t.config.Name)
	if !t.slots.take() {
		t.shed(w)
		return
	}
	x := t.begin(l, r, id)
	how := t.execute(x, r)
	x.cancel()
	// The slot is free before the answer leaves: a sender that reads the whole
	// answer may send the next request at once and must find the slot.
	t.config.Witness.Finished(x.Execution, time.Now(), how)
	t.slots.give()
	if how == witness.EndAnswered {
		t.reply(w, r, x)
		return
	}
	if how == witness.EndDeadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler) // break the connection
}

func (t *Target) shed(w http.ResponseWriter) {
	t.config.Witness.Refused(t.config.Name)
	t.sayLoad(w.Header())
	w.Header().Set(HeaderNotRun, "true")
	w.Header().Set("Connection", "keep-alive")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) begin(l *life, r *http.Request, id string) *run {
	request := r.Header.Get(witness.HeaderRequest)
	if request == "" {
		request = id
	}
	x := &run{id: id, request: request, life: l}
	x.ctx, x.cancel = withDeadline(r)
	x.Execution = t.config.Witness.Started(witness.Start{
		At: time.Now(), Target: t.config.Name, Request: request,
		Try: r.Header.Get(witness.HeaderTry), Home: r.Header.Get(witness.HeaderHome),
	})
	return x
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadlineMs), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute reads the body, spends the service time and says how it ended.
func (t *Target) execute(x *run, r *http.Request) witness.End {
	if marker := t.config.CrashMarker; marker != "" && r.Header.Get(HeaderCrash) == marker {
		t.crash(x.life)
		return witness.EndCulprit
	}
	if r.Body == http.NoBody {
		return t.serveInSlot(x)
	}
	scan := &markerReader{Reader: r.Body, marker: []byte(t.config.CrashMarker)}
	sum, size, err := witness.Sum(scan)
	if scan.found {
		t.crash(x.life)
		return witness.EndCulprit
	}
	if err != nil {
		return x.ended()
	}
	t.config.Witness.Received(x.Execution, size, sum)
	return t.serveInSlot(x)
}

// serveInSlot spends the service time.
func (t *Target) serveInSlot(x *run) witness.End {
	if !x.sleep(t.serviceTime(x)) {
		return x.ended()
	}
	return witness.EndAnswered
}

// ended tells why a run stopped early.
func (x *run) ended() witness.End {
	if x.life.over.Err() != nil {
		return witness.EndCrashed
	}
	if x.ctx.Err() == context.DeadlineExceeded || x.nearDeadline() {
		return witness.EndDeadline
	}
	return witness.EndCancelled
}

// nearDeadline reports that the sender stopped because of the deadline it
// gave: its own clock started earlier than the target's.
func (x *run) nearDeadline() bool {
	deadline, ok := x.ctx.Deadline()
	return ok && time.Until(deadline) < deadlineSlack
}

// sleep waits and reports whether the whole time passed.
func (x *run) sleep(d time.Duration) bool {
	if d <= 0 {
		return x.ctx.Err() == nil && x.life.over.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
	case <-x.life.over.Done():
	}
	return false
}

// serviceTime draws the request's service time from its identity, so that a
// seed gives the same times whatever the order of arrival.
func (t *Target) serviceTime(x *run) time.Duration {
	factor := t.warmth.factor(x.At)
	if t.config.ServiceTime <= 0 {
		return 0
	}
	source := rand.New(rand.NewPCG(t.config.Seed, xxhash.Sum64String(x.request)))
	spread := min(math.Exp(source.NormFloat64()*t.config.Sigma), maxSpread)
	return time.Duration(float64(t.config.ServiceTime) * spread * factor)
}

func (t *Target) reply(w http.ResponseWriter, r *http.Request, x *run) {
	faults := t.faults.Load()
	if faults.Late > 0 {
		time.Sleep(faults.Late)
	}
	n := t.served.Add(1)
	mine := answer{id: x.id, request: x.request}
	given := mine
	if before := t.last.swap(mine); every(faults.CrossedEvery, n) && before.id != "" {
		given = before
	}
	w.Header().Set(HeaderRequestID, given.id)
	t.sayLoad(w.Header())
	if every(faults.FailEvery, n) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := given.body(answerBytes(r))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if every(faults.ShortEvery, n) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func every(n int, count int64) bool { return n > 0 && count%int64(n) == 0 }

func answerBytes(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(witness.HeaderAnswerBytes))
	if err != nil || n < 0 {
		return DefaultAnswerBytes
	}
	return min(n, witness.MaxAnswerBytes)
}

// markerReader looks for the crash marker in a body as it is read. Marked
// bodies are read to their marker only: the target dies in the middle.
type markerReader struct {
	io.Reader
	marker []byte
	tail   []byte
	found  bool
}

// Read reads the next bytes; it fails at the marker.
func (m *markerReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if len(m.marker) == 0 {
		return n, err
	}
	window := append(m.tail, p[:n]...)
	if bytes.Contains(window, m.marker) {
		m.found = true
		return n, io.ErrUnexpectedEOF
	}
	keep := min(len(window), len(m.marker)-1)
	m.tail = append(m.tail[:0], window[len(window)-keep:]...)
	return n, err
}
