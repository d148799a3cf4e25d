package forward

import (
	"bytes"
	"io"
	"net/http"
)

// attach gives the outgoing request its body in a form that the HTTP client
// never sends again by itself.
//
// Its silent repeat of a request on a new connection would run the request
// twice on one target, outside the retry budget, and hide a target that a
// request takes down. A body without GetBody keeps it from that; so does an
// empty one of a length it can't know. "identity" makes it send neither a
// length nor chunks for that one, which is the form of a request without a
// body (RFC 9112 section 6.3).
func (x *exchange) attach(out *http.Request, payload *tryBody) {
	switch {
	case payload == nil && repeatsSilently(out.Method):
		out.Body = io.NopCloser(bytes.NewReader(nil))
		out.ContentLength = -1
		out.TransferEncoding = identity
	case payload == nil:
		out.Body = nil
	case payload.whole == nil:
		out.Body = io.NopCloser(payload.reader)
		out.ContentLength = x.r.ContentLength
	default:
		out.Body = payload
		out.ContentLength = x.r.ContentLength
		out.Trailer = x.r.Trailer
	}
}

var identity = []string{"identity"}

// repeatsSilently reports the methods that the HTTP client repeats by itself.
func repeatsSilently(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
