package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/once"
	"heatherlock/steering/request"
)

// Times to come back of refusals that the data path makes itself.
const (
	notReadyRetry   = time.Second
	peerDownRetry   = time.Second
	connectionRetry = time.Second
	defaultTimeout  = 30 * time.Second
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	Ran          string `json:"ran"`
	Detail       string `json:"detail"`
	Remedy       string `json:"remedy"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId"`
}

// refuse sends the final answer of a request that has none from a target.
func (x *exchange) refuse(refusal *steering.Refusal) {
	final := *refusal
	if final.Ran == steering.RanNo {
		final.Ran = x.ranSoFar()
	}
	x.fire(request.Refuse)
	x.f.counters.refuse(final.Reason)
	if final.Reason == steering.ReasonCancelled {
		x.abort = true // nobody is there to read it
		return
	}
	x.ownHeaders(x.f.selfName)
	if x.origin == fromZone {
		x.freeHeader()
	}
	if x.body != nil && !x.body.ended.Load() || x.body == nil && x.r.ContentLength != 0 {
		closeAfterReading(x.w)
	}
	x.writeProblem(&final)
}

// closeAfterReading makes the server close the connection after the answer, in
// a way that lets a caller who is still sending read it.
//
// Two things go wrong without it. The server reads on before it sends the
// answer, so that a slow sender is told late. And once it has closed, the
// caller's next bytes meet a reset, which throws the answer away unread: the
// caller sees a broken connection in place of the refusal. The server has a
// lingering close, and takes it for bodies over a limit; a limit of nothing
// asks for it.
func closeAfterReading(w http.ResponseWriter) {
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("over")), 0)
	_, _ = io.Copy(io.Discard, over)
}

// ranSoFar says what "not run" has to be weakened to: an earlier try may have
// run, and a key that was not looked up may have run before.
func (x *exchange) ranSoFar() steering.Ran {
	if ran := x.atLeast(steering.RanNo); ran != steering.RanNo {
		return ran
	}
	if x.mayHaveRunBefore() {
		return steering.RanUnknown
	}
	return steering.RanNo
}

// mayHaveRunBefore reports a key whose outcome was not looked up, because the
// request was refused too early or its home did not answer. A caller that is
// told "not run" of its repeat would send the work again under a fresh key.
func (x *exchange) mayHaveRunBefore() bool {
	if x.claimed || x.origin == fromZone || x.service != nil && !x.atMostOnce {
		return false
	}
	key := first(x.r.Header, headerKey)
	if key == "" {
		return false
	}
	_, err := once.ParseKey(steering.Key(key))
	return err == nil // a malformed key never ran
}

func (x *exchange) writeProblem(r *steering.Refusal) {
	status := http.StatusServiceUnavailable
	meaning := string(r.Reason)
	if info, ok := steering.Reasons[r.Reason]; ok {
		status, meaning = info.Status, info.Meaning
	}
	h := x.w.Header()
	h.Set(headerReason, string(r.Reason))
	h.Set(headerRan, r.Ran.String())
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(ceilMs(r.RetryAfter), 10))
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
	}
	text, _ := json.Marshal(problem{
		Type: "about:blank", Title: meaning, Status: status, Reason: string(r.Reason), Ran: r.Ran.String(),
		Detail: r.Detail, Remedy: r.Remedy(), RetryAfterMs: ceilMs(r.RetryAfter), RequestID: string(x.id),
	})
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.committed = true
	x.w.WriteHeader(status)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(text)
	}
}

// ownHeaders sets the headers that every answer carries.
func (x *exchange) ownHeaders(via string) {
	h := x.w.Header()
	h[headerRequestID] = []string{string(x.id)}
	h[headerVia] = []string{via}
	h[headerIncarnation] = x.f.incarnationValue
	h[headerKeyPrefix] = x.f.keyPrefix(x.started)
	if x.f.leaver.Leaving() {
		h["Connection"] = closeValue
	}
}

// freeHeader tells the entry VM that handed the request over how many slots
// are left here.
func (x *exchange) freeHeader() {
	if x.service == nil {
		return
	}
	free, _ := x.f.admitter.Headroom(x.place, x.service.Name)
	x.w.Header().Set(headerFree, strconv.Itoa(free))
}

func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
