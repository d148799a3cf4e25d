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

// Retry delays of refusals that the data path generates, and the timeout of requests for which
// neither the caller nor the service sets one.
const (
	notReadyRetry        = time.Second
	peerUnreachableRetry = time.Second
	connectionRetry      = time.Second
	defaultTimeout       = 30 * time.Second
)

// problem is the JSON body of a refusal (RFC 9457).
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

// refuse sends the final refusal of a request that was not answered by a target.
func (x *exchange) refuse(refusal *steering.Refusal) {
	final := *refusal
	if final.Ran == steering.RanNo {
		final.Ran = x.ranSoFar()
	}
	x.fire(request.Refuse)
	x.f.counters.refuse(final.Reason)
	if final.Reason == steering.ReasonCancelled {
		x.abort = true // the caller has disconnected and would not read a response
		return
	}
	x.setCommonHeaders(x.f.selfName)
	if x.origin == originSpillover {
		x.setFreeHeader()
	}
	if x.body != nil && !x.body.eof.Load() || x.body == nil && x.r.ContentLength != 0 {
		closeLingering(x.w)
	}
	x.writeProblem(&final)
}

// closeLingering makes the server close the connection after the response, in a way that lets a
// caller who is still sending read the response.
//
// Otherwise two problems occur. The server reads the rest of the body before it sends the response,
// so that a slow sender gets it late. And once the server has closed the connection, the caller's
// next bytes are answered with a TCP reset, which discards the unread response: the caller sees a
// broken connection instead of the refusal. The server has a lingering close that it uses for
// bodies over a limit. Exceeding a limit of 0 bytes triggers it.
func closeLingering(w http.ResponseWriter) {
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("over")), 0)
	_, _ = io.Copy(io.Discard, over)
}

// ranSoFar returns the value that replaces "not run" in a refusal: an earlier try may have run, and
// a key that was not looked up may have run before.
func (x *exchange) ranSoFar() steering.Ran {
	if ran := x.acrossTries(steering.RanNo); ran != steering.RanNo {
		return ran
	}
	if x.mayHaveRunBefore() {
		return steering.RanUnknown
	}
	return steering.RanNo
}

// mayHaveRunBefore reports whether the request has a key whose outcome was not looked up, because
// the request was refused too early or the owner of the key did not respond. A caller that receives
// "not run" for its repeat would send the work again under a new key.
func (x *exchange) mayHaveRunBefore() bool {
	if x.claimed || x.origin == originSpillover || x.service != nil && !x.atMostOnce {
		return false
	}
	key := firstValue(x.r.Header, headerKey)
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
	x.headerSent = true
	x.w.WriteHeader(status)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(text)
	}
}

// setCommonHeaders sets the headers that every response carries.
func (x *exchange) setCommonHeaders(via string) {
	h := x.w.Header()
	h[headerRequestID] = []string{string(x.id)}
	h[headerVia] = []string{via}
	h[headerIncarnation] = x.f.incarnationValue
	h[headerKeyPrefix] = x.f.keyPrefix(x.started)
	if x.f.leaver.Leaving() {
		h["Connection"] = closeValue
	}
}

// setFreeHeader sets the header that reports the number of free slots in this place to the entry VM
// that handed the request over.
func (x *exchange) setFreeHeader() {
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
