package responses

import (
	"net/http"

	"github.com/go-faster/errors"
)

// ErrMalformed reports a response that breaks the protocol. It says nothing of its request, which may have run.
var ErrMalformed = errors.New("responses: the response breaks the protocol")

// Check returns ErrMalformed, with the reason, if the head of a response breaks the protocol. It is for final and interim
// responses to requests that ask for no other protocol.
func Check(r *http.Response) error {
	if !knownVersion(r) {
		return errors.Wrapf(ErrMalformed, "version %d.%d", r.ProtoMajor, r.ProtoMinor)
	}
	return CheckStatus(r.StatusCode)
}

// knownVersion reports whether a response is of HTTP/1, or came over a connection that has agreed on HTTP/2.
func knownVersion(r *http.Response) bool {
	return r.ProtoMajor == 1 || r.ProtoMajor == 2 && r.TLS != nil && r.TLS.NegotiatedProtocol == "h2"
}

// CheckStatus returns ErrMalformed for a status that no response has. A status outside 100 to 599 has no class that says
// whether the request was served (RFC 9110, section 15), nor whether a body follows; 101 answers an Upgrade, which is never
// asked for, and what follows it is no HTTP.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > 599 || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}
