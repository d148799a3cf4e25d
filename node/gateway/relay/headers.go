package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the fields that concern one connection (RFC 9110 section 7.6.1)
// or frame a message on it.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd copies the fields that are to be passed on. Values are shared.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			name := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(token))
			if !strings.HasPrefix(name, "X-") {
				delete(to, name)
			}
		}
	}
	return to
}
