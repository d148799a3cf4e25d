package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// isHopByHop reports the fields that RFC 9110 section 7.6.1 keeps to one
// connection, and those that frame a message on it.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Authentication-Info":
		return true
	}
	return false
}

// copyEndToEnd copies the fields that belong to the message and not to one
// connection, without those of this system. Values are shared, not copied:
// neither side changes them.
func copyEndToEnd(to, from http.Header) {
	named := connectionNamed(from["Connection"])
	for name, values := range from {
		if isHopByHop(name) || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		if named != nil && named[name] {
			continue
		}
		to[name] = values
	}
}

// connectionNamed returns the fields that a Connection header declares
// hop-by-hop, or nil when there are none. A field that no intermediary may
// drop this way (it frames the message or carries the request's identity)
// stays end to end, so that a caller can't strip it from what a target sees.
func connectionNamed(values []string) map[string]bool {
	var named map[string]bool
	for _, value := range values {
		for token := range strings.SplitSeq(value, ",") {
			name := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(token))
			if name == "" || name == "Close" || name == "Keep-Alive" || neverNamed(name) {
				continue
			}
			if named == nil {
				named = make(map[string]bool)
			}
			named[name] = true
		}
	}
	return named
}

func neverNamed(name string) bool {
	switch name {
	case "Host", "Content-Length", "Content-Type", "Content-Encoding", "Authorization",
		targetRequestID, targetDeadline:
		return true
	}
	return false
}

// hasToken reports whether a comma-separated header holds a token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			name, _, _ := strings.Cut(part, ";")
			if strings.EqualFold(textproto.TrimString(name), token) {
				return true
			}
		}
	}
	return false
}

// headerSize returns the size of a header as sent.
func headerSize(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// withoutTargetReplay keeps the HTTP client from repeating a request by
// itself: it takes a field under this exact name as permission to send the
// request again on a new connection, which would run it twice. Another
// spelling is the same field on the wire.
func withoutTargetReplay(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

const headerMaxForwards = "Max-Forwards"

// forwardsLeft returns how often a TRACE or OPTIONS request may still be
// forwarded (RFC 9110 section 7.6.2), and whether it sets a limit at all.
func forwardsLeft(method string, h http.Header) (left int, limited bool) {
	if method != http.MethodTrace && method != http.MethodOptions {
		return 0, false
	}
	left, err := strconv.Atoi(first(h, headerMaxForwards))
	return left, err == nil && left >= 0
}
