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

// Headers of requests from entry VMs and of responses to them.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderNotRun     = "Target-Not-Run"
	HeaderInFlight   = "Target-In-Flight"
	HeaderSlots      = "Target-Slots"
	// HeaderCrash is the request header that crashes the target if its value
	// equals Config.CrashMarker.
	HeaderCrash = "Standin-Crash"
)

// maxSpread is the largest ratio of a service time, before the cold start factor,
// to the median.
const maxSpread = 10

// deadlineSlack is the largest time by which the sender's deadline expires
// before the target's.
const deadlineSlack = 50 * time.Millisecond

func (t *Target) handler(l *incarnation) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { t.serveRequest(l, w, r) })
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
	_ = json.NewEncoder(w).Encode(t.reportedLoad())
}

// reportedLoad returns the load that the target reports, which a fault may replace.
func (t *Target) reportedLoad() Load {
	if override := t.faults.Load().Load; override != nil {
		return *override
	}
	return Load{InFlight: t.slots.inFlight(), Slots: t.config.Slots, Draining: t.slots.isDraining()}
}

func (t *Target) setLoadHeaders(h http.Header) {
	load := t.reportedLoad()
	h.Set(HeaderInFlight, strconv.Itoa(load.InFlight))
	h.Set(HeaderSlots, strconv.Itoa(load.Slots))
}

// run is one request that occupies a slot.
type run struct {
	*witness.Execution
	id      string
	request string
	// ctx is done when the sender disconnects, the deadline passes or the
	// server closes the connection in a crash.
	ctx         context.Context
	cancel      context.CancelFunc
	incarnation *incarnation
}

func (t *Target) serveRequest(l *incarnation, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	t.config.Witness.Offered(t.config.Name)
	if !t.slots.tryAcquire() {
		t.shed(w)
		return
	}
	x := t.startRun(l, r, id)
	end := t.execute(x, r)
	x.cancel()
	// The slot is released before the response is sent: a sender that has read the
	// whole response may send its next request immediately and must get the slot.
	t.config.Witness.Finished(x.Execution, time.Now(), end)
	t.slots.release()
	if end == witness.EndAnswered {
		t.reply(w, r, x)
		return
	}
	if end == witness.EndDeadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler) // closes the connection without a response
}

func (t *Target) shed(w http.ResponseWriter) {
	t.config.Witness.Refused(t.config.Name)
	t.setLoadHeaders(w.Header())
	w.Header().Set(HeaderNotRun, "true")
	w.Header().Set("Connection", "keep-alive")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) startRun(l *incarnation, r *http.Request, id string) *run {
	request := r.Header.Get(witness.HeaderRequest)
	if request == "" {
		request = id
	}
	x := &run{id: id, request: request, incarnation: l}
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

// execute reads the body, waits for the service time and returns how the
// execution ended.
func (t *Target) execute(x *run, r *http.Request) witness.End {
	if marker := t.config.CrashMarker; marker != "" && r.Header.Get(HeaderCrash) == marker {
		t.crash(x.incarnation)
		return witness.EndCausedCrash
	}
	if r.Body == http.NoBody {
		return t.serveInSlot(x)
	}
	scan := &markerReader{Reader: r.Body, marker: []byte(t.config.CrashMarker)}
	sum, size, err := witness.Sum(scan)
	if scan.found {
		t.crash(x.incarnation)
		return witness.EndCausedCrash
	}
	if err != nil {
		return x.stopReason()
	}
	t.config.Witness.Received(x.Execution, size, sum)
	return t.serveInSlot(x)
}

// serveInSlot waits for the service time and returns how the execution ended.
func (t *Target) serveInSlot(x *run) witness.End {
	if !x.sleep(t.serviceTime(x)) {
		return x.stopReason()
	}
	return witness.EndAnswered
}

// stopReason returns why a run ended before its service time.
func (x *run) stopReason() witness.End {
	if x.incarnation.stopped.Err() != nil {
		return witness.EndCrashed
	}
	if x.ctx.Err() == context.DeadlineExceeded || x.nearDeadline() {
		return witness.EndDeadline
	}
	return witness.EndCancelled
}

// nearDeadline reports whether the deadline is so close that the sender has
// probably cancelled because of it: the sender's timer started before the target's
// and so expires first.
func (x *run) nearDeadline() bool {
	deadline, ok := x.ctx.Deadline()
	return ok && time.Until(deadline) < deadlineSlack
}

// sleep waits for d and reports whether it did so without an interruption by a
// cancellation, the deadline or a crash.
func (x *run) sleep(d time.Duration) bool {
	if d <= 0 {
		return x.ctx.Err() == nil && x.incarnation.stopped.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
	case <-x.incarnation.stopped.Done():
	}
	return false
}

// serviceTime returns the request's service time. Its random part depends only on
// the seed and the request's identity, so that the order of arrival does not change it.
func (t *Target) serviceTime(x *run) time.Duration {
	factor := t.warmup.factor(x.At)
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
	t.setLoadHeaders(w.Header())
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

// markerReader searches a body for the crash marker as it is read. A body is read
// no further than its marker, so that the target crashes in the middle of it.
type markerReader struct {
	io.Reader
	marker []byte
	tail   []byte
	found  bool
}

// Read returns io.ErrUnexpectedEOF once it has read the crash marker.
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
