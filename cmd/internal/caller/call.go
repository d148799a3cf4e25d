package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/standin/witness"
)

// tries counts the tries of all callers of this process.
var tries atomic.Int64

// call is one request with its tries.
type call struct {
	caller  *Caller
	request Request
	// deadline is when the timeout of the request ends.
	deadline time.Time
	// key is the same for all tries, so that the system recognizes a retry.
	key      string
	bodySum  string
	bodySize int64
	result   Result
	// skip is the number of entry VMs that could not be used so far.
	skip int
	// mayHaveRun is true once a try was sent that is not known to have not run.
	mayHaveRun bool
}

// try sends the request once. It returns whether to retry and after what delay.
func (e *call) try(ctx context.Context) (again bool, wait time.Duration) {
	e.result.Tries++
	entries, err := e.caller.lookupCache.entries(ctx, e.request.Service)
	if err != nil {
		e.result.Answer, e.result.Reason = witness.AnswerUnsent, "look_up"
		return true, 50 * time.Millisecond
	}
	vm := entries[e.skip%len(entries)]
	e.chooseKey(vm)
	t := e.sendTry(ctx, vm)
	e.result.Answer, e.result.Reason, e.result.Ran, e.result.EntryVM = t.Answer, t.Reason, t.Ran, t.EntryVM
	if e.caller.config.Reporter != nil {
		e.caller.config.Reporter.Answered(t.Try)
	}
	return e.shouldRetry(t)
}

// chooseKey creates the request key with the prefix of the first entry VM used. Only
// that entry VM may run requests with the key.
func (e *call) chooseKey(vm entryVM) {
	if e.key == "" && e.request.Kind != witness.KindRead {
		e.key = e.caller.nextKey(vm.KeyPrefix)
	}
}

// dropUnusedKey lets the next try use a key of the entry VM that it is sent to. The
// entry VM of the current key is unreachable. As long as nothing can have run with
// that key, keeping it would only make the other entry VMs answer that the outcome is
// unknown.
func (e *call) dropUnusedKey() {
	if !e.mayHaveRun {
		e.key = ""
	}
}

// tryResult is the result of one try with the time to wait before a retry.
type tryResult struct {
	witness.Try
	retryAfter time.Duration
}

// shouldRetry decides whether to retry and after what delay. A request that may have
// run is retried only if it is idempotent or has a key: the entry VM of the key then
// returns the stored outcome and never runs the request again.
func (e *call) shouldRetry(t tryResult) (again bool, wait time.Duration) {
	if t.Answer != witness.AnswerUnsent && (t.Answer != witness.AnswerRefused || t.Ran != witness.RanNo) {
		e.mayHaveRun = true
	}
	switch t.Answer {
	case witness.AnswerUnsent:
		e.skip++
		e.dropUnusedKey()
		return true, 0
	case witness.AnswerRefused:
		return e.shouldRetryRefused(t)
	case witness.AnswerBroken:
		e.skip++
		return e.request.Kind == witness.KindRead || e.key != "", 0
	}
	return false, 0
}

func (e *call) shouldRetryRefused(t tryResult) (again bool, wait time.Duration) {
	if t.Ran != witness.RanNo {
		return e.request.Kind == witness.KindRead && t.retryAfter > 0, t.retryAfter
	}
	if t.Reason == "leaving" || t.Reason == "peer_unreachable" || t.Reason == "not_ready" {
		e.caller.lookupCache.invalidate(e.request.Service)
		e.skip++
		return true, t.retryAfter
	}
	return t.retryAfter > 0, t.retryAfter
}

func (e *call) sendTry(ctx context.Context, vm entryVM) tryResult {
	t := tryResult{Try: witness.Try{
		Request: e.request.ID, Try: e.tryID(),
		Kind: e.request.Kind, Start: time.Now(), EntryVM: vm.VM, SentBytes: e.bodySize, SentSum: e.bodySum,
	}}
	via := ""
	r, err := e.build(ctx, vm, t.Try.Try)
	if err == nil {
		via, err = e.exchange(r, &t)
	}
	t.End = time.Now()
	if err != nil {
		t.Answer = classifyError(err)
	}
	interrupted := err != nil || t.Answer == witness.AnswerRefused && t.Ran != witness.RanNo
	if excused := e.caller.config.Excused; excused != nil && interrupted {
		t.Excused = excused(vm.VM, via, t.Start, t.End)
	}
	return t
}

// classifyError classifies a try that ended with an error instead of an answer.
func classifyError(err error) witness.Answer {
	switch {
	case isUnsent(err):
		return witness.AnswerUnsent
	case errors.Is(err, context.DeadlineExceeded):
		return witness.AnswerLate
	}
	return witness.AnswerBroken
}

// isUnsent reports whether err occurred before the first byte was sent.
func isUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (e *call) build(ctx context.Context, vm entryVM, try string) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	switch e.request.Kind {
	case witness.KindPurchase:
		method = http.MethodPost
		body = bytes.NewReader([]byte(e.request.ID))
	case witness.KindUpload:
		method = http.MethodPost
		body = newUpload(e.request)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address+"/"+e.request.Service, body)
	if err != nil {
		return nil, err
	}
	if e.request.Kind == witness.KindUpload {
		r.ContentLength = int64(e.request.UploadBytes)
	}
	e.setHeaders(r, try)
	return r, nil
}

// tryID returns an ID that is unique in this process. Several callers may send the
// same request: if their tries had the same ID, the refusal of one try would be
// checked against the run of another. A caller may also send the same request again
// later, so the ID contains a counter for the whole process.
func (e *call) tryID() string {
	return fmt.Sprintf("%s/%s/%d", e.request.ID, e.caller.config.Source, tries.Add(1))
}

func (e *call) setHeaders(r *http.Request, try string) {
	h := r.Header
	h.Set(headerService, e.request.Service)
	h.Set(headerTimeoutMs, strconv.FormatInt(e.remaining().Milliseconds(), 10))
	h.Set(witness.HeaderRequest, e.request.ID)
	h.Set(witness.HeaderTry, try)
	h.Set(witness.HeaderHome, e.caller.config.Home)
	h.Set(witness.HeaderAnswerBytes, strconv.Itoa(e.request.AnswerBytes))
	if e.key != "" {
		h.Set(headerKey, e.key)
	}
	if e.request.CrashMarker != "" {
		h.Set(headerCrash, e.request.CrashMarker)
	}
}

func (e *call) remaining() time.Duration {
	return max(time.Until(e.deadline), time.Millisecond)
}

// exchange sends the request, reads the answer and classifies it. It returns the value
// of the Via header.
func (e *call) exchange(r *http.Request, t *tryResult) (via string, err error) {
	reply, err := e.caller.client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = reply.Body.Close() }()
	via = reply.Header.Get(headerVia)
	if reason := reply.Header.Get(headerReason); reason != "" {
		t.Answer, t.Reason, t.Ran = witness.AnswerRefused, reason, reply.Header.Get(headerRan)
		t.retryAfter = retryAfter(reply.Header)
		drain(reply.Body)
		return via, nil
	}
	// The extra byte reveals an answer longer than the maximum.
	body, err := io.ReadAll(io.LimitReader(reply.Body, int64(witness.MaxAnswerBytes)+1))
	if err != nil {
		return via, err
	}
	t.Answer = e.classifyResponse(reply.StatusCode, body)
	return via, nil
}

func (e *call) classifyResponse(status int, body []byte) witness.Answer {
	if status != http.StatusOK {
		return witness.AnswerFailed
	}
	if !bytes.Equal(body, witness.Body(e.request.ID, e.request.AnswerBytes)) {
		return witness.AnswerWrong
	}
	return witness.AnswerWhole
}

func retryAfter(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
