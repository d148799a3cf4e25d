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

// tries counts the tries of this process.
var tries atomic.Int64

// errand is one request with its tries.
type errand struct {
	caller  *Caller
	request Request
	// deadline is the end of the time that the caller allows.
	deadline time.Time
	// key stays the same over the tries: it is how the system knows a repeat.
	key    string
	sum    string
	size   int64
	result Result
	// skip counts the entry VMs that could not be used.
	skip int
	// mayHaveRun is set once a try was sent and not proved to be not run.
	mayHaveRun bool
}

// try sends the request once. It reports whether to try again and after what
// wait.
func (e *errand) try(ctx context.Context) (again bool, wait time.Duration) {
	e.result.Tries++
	entries, err := e.caller.book.entries(ctx, e.request.Service)
	if err != nil {
		e.result.Answer, e.result.Reason = witness.AnswerUnsent, "look_up"
		return true, 50 * time.Millisecond
	}
	vm := entries[e.skip%len(entries)]
	e.chooseKey(vm)
	t := e.send(ctx, vm)
	e.result.Answer, e.result.Reason, e.result.Ran, e.result.EntryVM = t.Answer, t.Reason, t.Ran, t.EntryVM
	if e.caller.config.Reporter != nil {
		e.caller.config.Reporter.Answered(t.Try)
	}
	return e.next(t)
}

// chooseKey takes a key from the first entry VM used: it alone may run the key.
func (e *errand) chooseKey(vm entryVM) {
	if e.key == "" && e.request.Kind != witness.KindRead {
		e.key = e.caller.nextKey(vm.KeyPrefix)
	}
}

// dropUnusedKey lets the next try take a key from the entry VM it goes to. The
// entry VM that issued the key cannot be reached; while nothing may have run
// under it, keeping it would only have the others answer that its outcome is
// unknown.
func (e *errand) dropUnusedKey() {
	if !e.mayHaveRun {
		e.key = ""
	}
}

// tried is one try with what decides on a repeat.
type tried struct {
	witness.Try
	retryAfter time.Duration
}

// next decides on a repeat. A request that may have run is repeated only when
// it is idempotent, or under its key: the key's entry VM then gives the stored
// outcome and never runs it again.
func (e *errand) next(t tried) (again bool, wait time.Duration) {
	if t.Answer != witness.AnswerUnsent && (t.Answer != witness.AnswerRefused || t.Ran != witness.RanNo) {
		e.mayHaveRun = true
	}
	switch t.Answer {
	case witness.AnswerUnsent:
		e.skip++
		e.dropUnusedKey()
		return true, 0
	case witness.AnswerRefused:
		return e.afterRefusal(t)
	case witness.AnswerBroken:
		e.skip++
		return e.request.Kind == witness.KindRead || e.key != "", 0
	}
	return false, 0
}

func (e *errand) afterRefusal(t tried) (again bool, wait time.Duration) {
	if t.Ran != witness.RanNo {
		return e.request.Kind == witness.KindRead && t.retryAfter > 0, t.retryAfter
	}
	if t.Reason == "leaving" || t.Reason == "peer_unreachable" || t.Reason == "not_ready" {
		e.caller.book.forget(e.request.Service)
		e.skip++
		return true, t.retryAfter
	}
	return t.retryAfter > 0, t.retryAfter
}

func (e *errand) send(ctx context.Context, vm entryVM) tried {
	t := tried{Try: witness.Try{
		Request: e.request.ID, Try: e.tryID(),
		Kind: e.request.Kind, Start: time.Now(), EntryVM: vm.VM, SentBytes: e.size, SentSum: e.sum,
	}}
	via := ""
	r, err := e.build(ctx, vm, t.Try.Try)
	if err == nil {
		via, err = e.exchange(r, &t)
	}
	t.End = time.Now()
	if err != nil {
		t.Answer = endOf(err)
	}
	cut := err != nil || t.Answer == witness.AnswerRefused && t.Ran != witness.RanNo
	if excused := e.caller.config.Excused; excused != nil && cut {
		t.Excused = excused(vm.VM, via, t.Start, t.End)
	}
	return t
}

// endOf classifies a try without an answer.
func endOf(err error) witness.Answer {
	switch {
	case unsent(err):
		return witness.AnswerUnsent
	case errors.Is(err, context.DeadlineExceeded):
		return witness.AnswerLate
	}
	return witness.AnswerBroken
}

// unsent reports an error from before the first byte left.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (e *errand) build(ctx context.Context, vm entryVM, try string) (*http.Request, error) {
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

// tryID names one try. Several callers may send the same request; were their
// tries named alike, a refusal to one would be judged by the run of another.
// One caller may also send it again later, so tries are counted over the
// process.
func (e *errand) tryID() string {
	return fmt.Sprintf("%s/%s/%d", e.request.ID, e.caller.config.Source, tries.Add(1))
}

func (e *errand) setHeaders(r *http.Request, try string) {
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

func (e *errand) remaining() time.Duration {
	return max(time.Until(e.deadline), time.Millisecond)
}

// exchange sends the request, reads the answer and classifies it.
func (e *errand) exchange(r *http.Request, t *tried) (via string, err error) {
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
	// One byte more than asked for shows an answer that is too long.
	body, err := io.ReadAll(io.LimitReader(reply.Body, int64(witness.MaxAnswerBytes)+1))
	if err != nil {
		return via, err
	}
	t.Answer = e.judge(reply.StatusCode, body)
	return via, nil
}

func (e *errand) judge(status int, body []byte) witness.Answer {
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
