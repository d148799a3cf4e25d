package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"heatherlock/node/gateway/buffering"
	"heatherlock/steering"
	"heatherlock/steering/routes"
)

var errHeaderTooBig = errors.New("callers: header larger than the limit")

// headStep is the part of a head that may come without a reservation of memory, and the size of each reservation for the
// rest. Most heads fit into the first, and a caller that sends a long one slowly holds no more than it has sent.
const headStep = 16 << 10

// headSource is what the heads of requests are read from. It limits the bytes of one head, and reserves memory for it.
type headSource struct {
	from net.Conn
	// remaining is how many bytes of the head may still come; negative means that no head is being read.
	remaining int
	// reserved is how many of them have room.
	reserved int
	reserve  func(bytes int64) bool
}

// beginHead allows a head of some bytes.
func (s *headSource) beginHead(bytes int) { s.remaining, s.reserved = bytes, headStep }

// Read implements io.Reader.
func (s *headSource) Read(p []byte) (int, error) {
	if s.remaining < 0 {
		return s.from.Read(p)
	}
	if s.remaining == 0 {
		return 0, errHeaderTooBig
	}
	if s.reserved == 0 {
		if !s.reserve(headStep) {
			return 0, buffering.ErrNoRoom
		}
		s.reserved = headStep
	}
	n, err := s.from.Read(p[:min(len(p), s.remaining, s.reserved)])
	s.remaining -= n
	s.reserved -= n
	return n, err
}

// reserveHead reserves memory for the head that is being read.
func (c *conn) reserveHead(bytes int64) bool {
	if c.headClaim == nil {
		c.headClaim = c.account.NewClaim()
	}
	return c.headClaim.Reserve(bytes)
}

// takeClaim returns the claim of the request whose head has been read.
func (c *conn) takeClaim() *buffering.Claim {
	claim := c.headClaim
	if c.headClaim = nil; claim == nil {
		claim = c.account.NewClaim()
	}
	return claim
}

// head is the head of a request, with the limits that were in force when it came.
type head struct {
	*http.Request
	length   int // in bytes
	received time.Time
	limits   routes.Limits
}

// readHead reads the head of the request whose first byte has come, by the limits of now: the connection may have been idle
// for longer than they are in force. If it returns false, the request has been answered or
// the connection is broken, and no further request is to be read.
func (c *conn) readHead(ctx context.Context) (head, bool) {
	h := head{received: time.Now(), limits: c.limits()}
	// Only after the first byte: a caller that closes the connection is noticed meanwhile.
	c.account.AwaitRoom(ctx)
	_ = c.raw.SetReadDeadline(time.Now().Add(h.limits.HeaderTimeout))
	buffered := c.reader.Buffered()
	granted := max(h.limits.HeaderBytes-buffered, 1)
	c.source.beginHead(granted)
	r, err := http.ReadRequest(c.reader)
	h.Request, h.length = r, buffered+granted-c.source.remaining-c.reader.Buffered()
	c.source.remaining = -1
	if err == nil && h.length > h.limits.HeaderBytes { // it came with the first byte
		err = errHeaderTooBig
	}
	if err != nil {
		c.endHeadClaim()
		c.refuseUnreadable(err)
		return head{}, false
	}
	if status, detail := checkHeader(r, h.limits); status != 0 {
		c.endHeadClaim()
		c.reject(status, detail, r)
		return head{}, false
	}
	return h, true
}

// endHeadClaim releases what was reserved for a head whose request is not started.
func (c *conn) endHeadClaim() {
	c.headClaim.End()
	c.headClaim = nil
}

// refuseUnreadable answers a request whose header cannot be read, unless the connection is broken.
func (c *conn) refuseUnreadable(err error) {
	switch {
	case errors.Is(err, errHeaderTooBig):
		c.reject(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit", nil)
	case errors.Is(err, buffering.ErrNoRoom):
		c.reject(http.StatusServiceUnavailable, steering.Reasons[steering.ReasonMemoryFull].Meaning, nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, "the header did not come in time", nil)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetError(err):
		c.unwritable.Store(true)
	default:
		c.reject(http.StatusBadRequest, "the request is malformed", nil)
	}
}

func isNetError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e)
}

// checkHeader returns the status and detail with which to refuse a request because of its header,
// or 0 to accept it.
func checkHeader(r *http.Request, limits routes.Limits) (int, string) {
	switch {
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return http.StatusBadRequest, "no Host"
	case !validHeader(r.Header):
		return http.StatusBadRequest, "a header field is malformed"
	case r.Method == http.MethodConnect:
		return http.StatusMethodNotAllowed, "CONNECT is not served"
	case limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, "the body is larger than the limit"
	}
	return 0, ""
}

// validHeader reports whether all header fields are well formed. The parser accepts some fields
// that another server would interpret differently, which would allow request smuggling: a second
// request hidden in the first.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}
