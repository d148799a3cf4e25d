package responses

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that breaks the protocol. It says nothing of its request, which may have run.
var ErrMalformed = errors.New("responses: the response breaks the protocol")

// Check returns ErrMalformed, with the reason, if the head of a response breaks the protocol. It is for final and interim
// responses to requests that ask for no other protocol.
func Check(r *http.Response) error {
	if !knownVersion(r) {
		return errors.Wrapf(ErrMalformed, "version %d.%d", r.ProtoMajor, r.ProtoMinor)
	}
	return checkParts(r.StatusCode, r.Header)
}

// knownVersion reports whether a response is of HTTP/1, or came over a connection that has agreed on HTTP/2.
func knownVersion(r *http.Response) bool {
	return r.ProtoMajor == 1 || r.ProtoMajor == 2 && r.TLS != nil && r.TLS.NegotiatedProtocol == "h2"
}

// checkStatus returns ErrMalformed for a status that no response has. A status outside 100 to 599 has no class that says
// whether the request was served (RFC 9110, section 15), nor whether a body follows; 101 answers an Upgrade, which is never
// asked for, and what follows it is no HTTP.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > 599 || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// CheckInterim is Check for an interim response of which only parts are known.
func CheckInterim(status int, h http.Header) error { return checkParts(status, h) }

func checkParts(status int, h http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	return checkFields(h)
}

// checkFields returns ErrMalformed if the name of a field is no token (RFC 9110, section 5.1). net/http takes names that
// hold a blank, as in "Content-Length : 5", for names of other fields, so that a body would be read that was not sent.
func checkFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// CheckTrailer is checkFields for the trailer of a response whose body has been read to its end.
func CheckTrailer(r *http.Response) error { return checkFields(r.Trailer) }

// HasTrailer reports whether a response may have a trailer, so that it is not checked before its body has ended.
func HasTrailer(r *http.Response) bool { return r.ContentLength < 0 && r.Body != http.NoBody }
