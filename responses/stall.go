package responses

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minProgressBytes is the part of a response that must arrive within the limit of a call for
	// the limit to start again. It is a fortieth of what the slowest link transfers in a second. A
	// response that arrives more slowly is too late to be useful to callers.
	minProgressBytes = 32 << 10
	// maxTransferTime bounds a response that arrives steadily. It allows for the largest response
	// on the slowest link, shared with callers' traffic.
	maxTransferTime = 15 * time.Second
)

// ErrStalled is the error of a call whose response did not begin in time, stalled, or took longer
// than maxTransferTime after that.
var ErrStalled = errors.New("response timed out or stalled")

// StallTimeout aborts a call whose response does not begin in time or stalls, but not one whose
// response arrives steadily.
//
// With a timeout for the complete response, there is a size of the stored data above which no
// response completes in time on a slow link. The call is then repeated from the first byte again
// and again and saturates the link; the visible effect is a VM that never becomes ready while its
// calls fail after exactly the timeout.
type StallTimeout struct {
	limit           time.Duration
	timer           *time.Timer
	cancel          context.CancelCauseFunc
	ctx             context.Context
	bytesSinceReset int
}

// WithStallTimeout returns a context that is canceled if the response read through the StallTimeout does not
// begin within limit, if less than minProgressBytes of it arrive in that time, or if the call takes longer
// than limit plus maxTransferTime. The caller must call Release when the call has ended.
func WithStallTimeout(ctx context.Context, limit time.Duration) (context.Context, *StallTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &StallTimeout{limit: limit, cancel: cancel, ctx: ctx}
	whole := time.AfterFunc(limit+maxTransferTime, func() { cancel(ErrStalled) })
	context.AfterFunc(ctx, func() { whole.Stop() })
	s.timer = time.AfterFunc(limit, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, stallKey{}, s), s
}

// stallKey is the context key of a call's StallTimeout.
type stallKey struct{}

// StallTransport applies the StallTimeout in a request's context to the response body. It is for
// clients whose code does not read response bodies itself.
type StallTransport struct{ *http.Transport }

// Unwrap returns the underlying transport.
func (t StallTransport) Unwrap() *http.Transport { return t.Transport }

// RoundTrip implements http.RoundTripper.
func (t StallTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if s, ok := r.Context().Value(stallKey{}).(*StallTimeout); ok && err == nil {
		response.Body = progressBody{s.Reader(response.Body), response.Body}
	}
	return response, err
}

// progressBody is a response body that resets the timeout as data arrives.
type progressBody struct {
	io.Reader
	io.Closer
}

// Release stops the timers and cancels the context of the call.
func (s *StallTimeout) Release() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

// Cause returns ErrStalled if the StallTimeout aborted the call, and err otherwise. Cause(nil) is nil.
func (s *StallTimeout) Cause(err error) error {
	if err != nil && errors.Is(context.Cause(s.ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// Reader returns a reader of the response that resets the timeout as data arrives.
func (s *StallTimeout) Reader(answer io.Reader) io.Reader { return progressReader{s, answer} }

type progressReader struct {
	stall  *StallTimeout
	answer io.Reader
}

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.answer.Read(b)
	s := r.stall
	if s.bytesSinceReset += n; s.bytesSinceReset >= minProgressBytes {
		s.bytesSinceReset = 0
		s.timer.Reset(s.limit)
	}
	return n, err
}
