package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// isHopByHop reports whether a field is limited to one connection by RFC 9110 section 7.6.1, or
// frames a message on a connection.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Authentication-Info":
		return true
	}
	return false
}

// copyEndToEnd copies the end-to-end fields, without the reserved fields of this system. The values
// are shared and not copied: neither side modifies them.
func copyEndToEnd(to, from http.Header) {
	named := connectionNamed(from["Connection"])
	for name, values := range from {
		if isHopByHop(name) || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		if named != nil && named[name] {
			continue
		}
		to[name] = values
	}
}

// connectionNamed returns the fields that a Connection header declares hop-by-hop, or nil if there
// are none. Fields that no intermediary may drop this way (they frame the message or carry the
// request's identity) stay end-to-end, so that a caller can't remove them from what a target
// receives.
func connectionNamed(values []string) map[string]bool {
	var named map[string]bool
	for _, value := range values {
		for token := range strings.SplitSeq(value, ",") {
			name := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(token))
			if name == "" || name == "Close" || name == "Keep-Alive" || neverHopByHop(name) {
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

func neverHopByHop(name string) bool {
	switch name {
	case "Host", "Content-Length", "Content-Type", "Content-Encoding", "Authorization",
		targetRequestID, targetDeadline:
		return true
	}
	return false
}

// hasToken reports whether a comma-separated header contains a token.
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

// headerSize returns the size of a header on the wire in bytes.
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

// disableClientRetry prevents the HTTP client from retrying a request by itself: it takes a field
// with exactly this name as permission to resend the request on a new connection, which would run
// it twice. A different spelling is the same field on the wire.
func disableClientRetry(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

const headerMaxForwards = "Max-Forwards"

// forwardsLeft returns how many more times a TRACE or OPTIONS request may be forwarded (RFC 9110
// section 7.6.2), and whether the request sets a limit at all.
func forwardsLeft(method string, h http.Header) (left int, limited bool) {
	if method != http.MethodTrace && method != http.MethodOptions {
		return 0, false
	}
	left, err := strconv.Atoi(firstValue(h, headerMaxForwards))
	return left, err == nil && left >= 0
}
