package forward

import (
	"bytes"
	"io"
	"net/http"
)

// setBody sets the body of the outgoing request in a form that the HTTP client never resends by
// itself.
//
// The client's silent retry on a new connection would run the request twice on one target, outside
// the retry budget, and hide a target that the request crashes. A body without GetBody prevents
// that, and so does an empty body of unknown length. For the latter, the transfer encoding
// "identity" makes the client send neither a length nor chunks, which is the form of a request
// without a body (RFC 9112 section 6.3).
func (x *exchange) setBody(out *http.Request, payload *tryBody) {
	switch {
	case payload == nil && retriedByClient(out.Method):
		out.Body = io.NopCloser(bytes.NewReader(nil))
		out.ContentLength = -1
		out.TransferEncoding = identity
	case payload == nil:
		out.Body = nil
	case payload.callerBody == nil:
		out.Body = io.NopCloser(payload.reader)
		out.ContentLength = x.r.ContentLength
	default:
		out.Body = payload
		out.ContentLength = x.r.ContentLength
		out.Trailer = x.r.Trailer
	}
}

var identity = []string{"identity"}

// retriedByClient reports whether the HTTP client retries requests of a method by itself.
func retriedByClient(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
