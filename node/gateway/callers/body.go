package callers

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/lock"
)

// statusGone marks a caller that closed the connection before the end of a body.
const statusGone = -1

// readBody reads a body of up to maxBufferedBody bytes whole, and the beginning of a longer one;
// rest yields the remainder. A status other than 0 refuses the request.
func readBody(r *http.Request, maxBytes int64, claim *buffering.Claim) (body []byte, rest io.Reader, status int) {
	if r.ContentLength == 0 {
		return nil, nil, 0
	}
	body, err := buffering.ReadUpTo(r.Body, claim, min(r.ContentLength, firstBodyBuffer), maxBufferedBody)
	n := int64(len(body))
	switch {
	case errors.Is(err, buffering.ErrNoRoom):
		return nil, nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		return nil, nil, statusGone
	case err != nil:
		return nil, nil, http.StatusBadRequest
	case maxBytes > 0 && n > maxBytes:
		return nil, nil, http.StatusRequestEntityTooLarge
	case n < maxBufferedBody || n == r.ContentLength:
		return body, nil, 0
	case !claim.Reserve(streamReserve):
		return nil, nil, http.StatusServiceUnavailable
	}
	if maxBytes <= 0 {
		return body, r.Body, 0
	}
	return body, &boundedBody{from: r.Body, remaining: maxBytes - n}, 0
}

var errBodyTooBig = errors.New("callers: body larger than the limit")

// boundedBody fails once more than a limit was read. Returning io.EOF there instead would pass on a
// truncated body as a complete one.
type boundedBody struct {
	from      io.Reader
	remaining int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooBig
	}
	return n, err
}

// restBody is the remainder of a body, which is read while it is sent to a target.
type restBody struct {
	from io.Reader
	raw  net.Conn

	reading lock.Mutex // held during Read
	mu      lock.Mutex
	ended   bool
}

// Read implements io.Reader. The time limit begins anew with each read, because a target that reads
// slowly delays the caller.
func (b *restBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return 0, io.ErrUnexpectedEOF
	}
	_ = b.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	b.mu.Unlock()
	return b.from.Read(p)
}

// end makes Read fail from now on, and returns when none is running. An attempt that goes on after the
// response would otherwise take bytes from whoever reads the connection next.
func (b *restBody) end() {
	b.mu.Lock()
	b.ended = true
	_ = b.raw.SetReadDeadline(time.Unix(1, 0)) // ends a Read that is running
	b.mu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
}

// HoldBack bounds what the kernel receives of the body while it is not read, and returns the bytes
// that it may hold.
func (b *restBody) HoldBack() int64 { return buffering.HoldBack(b.raw) }

// Reserved returns how many bytes of the claim were reserved for what the kernel holds of the body.
func (*restBody) Reserved() int64 { return streamReserve }

// lengthOf returns the length of the body, negative if it is unknown.
func lengthOf(r *http.Request, body []byte, rest io.Reader) int64 {
	if rest == nil && r.ContentLength >= 0 {
		return int64(len(body))
	}
	return r.ContentLength
}
