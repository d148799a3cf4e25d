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
func (c *call) try(ctx context.Context) (again bool, wait time.Duration) {
	c.result.Tries++
	entries, err := c.caller.lookupCache.entries(ctx, c.request.Service)
	if err != nil {
		c.result.Answer, c.result.Reason = witness.AnswerUnsent, "look_up"
		return true, 50 * time.Millisecond
	}
	vm := entries[c.skip%len(entries)]
	c.chooseKey(vm)
	t := c.sendTry(ctx, vm)
	c.result.Answer, c.result.Reason, c.result.Ran, c.result.EntryVM = t.Answer, t.Reason, t.Ran, t.EntryVM
	if c.caller.config.Reporter != nil {
		c.caller.config.Reporter.Answered(t.Try)
	}
	return c.shouldRetry(t)
}

// chooseKey creates the request key with the prefix of the first entry VM used. Only
// that entry VM may run requests with the key.
func (c *call) chooseKey(vm entryVM) {
	if c.key == "" && c.request.Kind != witness.KindRead {
		c.key = c.caller.nextKey(vm.KeyPrefix)
	}
}

// dropUnusedKey lets the next try use a key of the entry VM that it is sent to. The
// entry VM of the current key is unreachable. As long as nothing can have run with
// that key, keeping it would only make the other entry VMs answer that the outcome is
// unknown.
func (c *call) dropUnusedKey() {
	if !c.mayHaveRun {
		c.key = ""
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
func (c *call) shouldRetry(t tryResult) (again bool, wait time.Duration) {
	if t.Answer != witness.AnswerUnsent && (t.Answer != witness.AnswerRefused || t.Ran != witness.RanNo) {
		c.mayHaveRun = true
	}
	switch t.Answer {
	case witness.AnswerUnsent:
		c.skip++
		c.dropUnusedKey()
		return true, 0
	case witness.AnswerRefused:
		return c.shouldRetryRefused(t)
	case witness.AnswerBroken:
		c.skip++
		return c.request.Kind == witness.KindRead || c.key != "", 0
	}
	return false, 0
}

func (c *call) shouldRetryRefused(t tryResult) (again bool, wait time.Duration) {
	if t.Ran != witness.RanNo {
		return c.request.Kind == witness.KindRead && t.retryAfter > 0, t.retryAfter
	}
	if t.Reason == "leaving" || t.Reason == "peer_unreachable" || t.Reason == "not_ready" {
		c.caller.lookupCache.invalidate(c.request.Service)
		c.skip++
		return true, t.retryAfter
	}
	return t.retryAfter > 0, t.retryAfter
}

func (c *call) sendTry(ctx context.Context, vm entryVM) tryResult {
	t := tryResult{Try: witness.Try{
		Request: c.request.ID, Try: c.tryID(),
		Kind: c.request.Kind, Start: time.Now(), EntryVM: vm.VM, SentBytes: c.bodySize, SentSum: c.bodySum,
	}}
	via := ""
	r, err := c.build(ctx, vm, t.Try.Try)
	if err == nil {
		via, err = c.exchange(r, &t)
	}
	t.End = time.Now()
	if err != nil {
		t.Answer = classifyError(err)
	}
	interrupted := err != nil || t.Answer == witness.AnswerRefused && t.Ran != witness.RanNo
	if excused := c.caller.config.Excused; excused != nil && interrupted {
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

func (c *call) build(ctx context.Context, vm entryVM, try string) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	switch c.request.Kind {
	case witness.KindPurchase:
		method = http.MethodPost
		body = bytes.NewReader([]byte(c.request.ID))
	case witness.KindUpload:
		method = http.MethodPost
		body = newUpload(c.request)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address+"/"+c.request.Service, body)
	if err != nil {
		return nil, err
	}
	if c.request.Kind == witness.KindUpload {
		r.ContentLength = int64(c.request.UploadBytes)
	}
	c.setHeaders(r, try)
	return r, nil
}

// tryID returns an ID that is unique in this process. Several callers may send the
// same request: if their tries had the same ID, the refusal of one try would be
// checked against the run of another. A caller may also send the same request again
// later, so the ID contains a counter for the whole process.
func (c *call) tryID() string {
	return fmt.Sprintf("%s/%s/%d", c.request.ID, c.caller.config.Source, tries.Add(1))
}

func (c *call) setHeaders(r *http.Request, try string) {
	h := r.Header
	h.Set(headerService, c.request.Service)
	h.Set(headerTimeoutMs, strconv.FormatInt(c.remaining().Milliseconds(), 10))
	h.Set(witness.HeaderRequest, c.request.ID)
	h.Set(witness.HeaderTry, try)
	h.Set(witness.HeaderHome, c.caller.config.Home)
	h.Set(witness.HeaderAnswerBytes, strconv.Itoa(c.request.AnswerBytes))
	if c.key != "" {
		h.Set(headerKey, c.key)
	}
	if c.request.CrashMarker != "" {
		h.Set(headerCrash, c.request.CrashMarker)
	}
}

func (c *call) remaining() time.Duration {
	return max(time.Until(c.deadline), time.Millisecond)
}

// exchange sends the request, reads the answer and classifies it. It returns the value
// of the Via header.
func (c *call) exchange(r *http.Request, t *tryResult) (via string, err error) {
	reply, err := c.caller.client.Do(r)
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
	t.Answer = c.classifyResponse(reply.StatusCode, body)
	return via, nil
}

func (c *call) classifyResponse(status int, body []byte) witness.Answer {
	if status != http.StatusOK {
		return witness.AnswerFailed
	}
	if !bytes.Equal(body, witness.Body(c.request.ID, c.request.AnswerBytes)) {
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
