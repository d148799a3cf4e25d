package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop holds the header fields that apply to one connection only (RFC 9110 section 7.6.1) or
// that frame a message on it.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd returns a copy of from without the hop-by-hop fields. The values are shared with from. A
// Connection header cannot remove fields whose names start with "X-".
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
