package forward

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/once"
	"heatherlock/steering/poison"
	"heatherlock/steering/routing"
)

// Limits of the timeout that a caller may request.
const (
	maxTimeout       = 24 * time.Hour
	maxTimeoutDigits = 8
)

// identify validates the request and reads its service, deadline, key and the beginning of its
// body.
func (x *exchange) identify() *steering.Refusal {
	steps := []func() *steering.Refusal{
		x.checkForwardable, x.findService, x.readDeadline, x.readKey, x.readBody,
	}
	for _, step := range steps {
		if refusal := step(); refusal != nil {
			return refusal
		}
	}
	x.findHome()
	return nil
}

// checkForwardable refuses requests that can't be forwarded.
func (x *exchange) checkForwardable() *steering.Refusal {
	if size := headerSize(x.r.Header); size > x.f.limits.HeaderBytes {
		return badRequest("the header holds %d bytes, over limits.headerBytes = %d", size, x.f.limits.HeaderBytes)
	}
	if x.r.Method == http.MethodConnect {
		return badRequest("method CONNECT is not forwarded")
	}
	if left, limited := forwardsLeft(x.r.Method, x.r.Header); limited && left == 0 {
		return badRequest("%s is used up here", headerMaxForwards)
	}
	if hasToken(x.r.Header["Connection"], "upgrade") {
		return badRequest("upgrading the connection to %q is not forwarded", x.r.Header.Get("Upgrade"))
	}
	return nil
}

func (x *exchange) findService() *steering.Refusal {
	x.snapshot = x.f.configs.Snapshot()
	if x.snapshot == nil {
		return steering.Refuse(steering.ReasonNotReady, notReadyRetry, "no configuration yet")
	}
	x.service = serviceOf(x.snapshot, x.r)
	if x.service == nil {
		return steering.Refuse(steering.ReasonNoService, 0, fmt.Sprintf("host %q, service %q", x.r.Host, x.r.Header.Get(headerService)))
	}
	x.counters = x.f.counters.service(x.service.Name)
	x.atMostOnce = slices.Contains(x.service.NonIdempotent, x.r.Method)
	x.life.Idempotent = !x.atMostOnce
	return nil
}

func serviceOf(s *routing.Snapshot, r *http.Request) *routing.Service {
	if name := firstValue(r.Header, headerService); name != "" {
		return s.Services[steering.Service(name)]
	}
	if service, ok := s.ByHost[r.Host]; ok {
		return service
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	return s.ByHost[strings.ToLower(host)]
}

func (x *exchange) readDeadline() *steering.Refusal {
	timeout := x.service.Timeout
	if text := firstValue(x.r.Header, headerTimeout); text != "" {
		given, ok := parseTimeout(text)
		if !ok {
			return badRequest("%s: %q is not a whole number of milliseconds from 1 to %d", headerTimeout, text, maxTimeout.Milliseconds())
		}
		timeout = given
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.started.Add(timeout)
	return nil
}

func parseTimeout(text string) (time.Duration, bool) {
	if len(text) > maxTimeoutDigits {
		return 0, false
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, false
	}
	timeout := time.Duration(ms) * time.Millisecond
	return timeout, timeout <= maxTimeout
}

func (x *exchange) readKey() *steering.Refusal {
	text := firstValue(x.r.Header, headerKey)
	if text == "" {
		return nil
	}
	parts, err := once.ParseKey(steering.Key(text))
	if err != nil {
		return badRequest("%s: %v", headerKey, err)
	}
	x.key, x.keyOwner = steering.Key(text), parts.Incarnation
	return nil
}

// readBody checks the declared length of the body and reads a small body, or the beginning of a
// larger one, ahead.
func (x *exchange) readBody() *steering.Refusal {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		x.computeFingerprints(nil, true)
		return nil
	}
	if limit := x.service.MaxBodyBytes; limit > 0 && x.r.ContentLength > limit {
		return steering.Refuse(steering.ReasonBodyTooLarge, 0,
			fmt.Sprintf("the body declares %d bytes, the service allows %d", x.r.ContentLength, limit))
	}
	x.body = &body{
		source:  x.r.Body,
		control: http.NewResponseController(x.w),
		limit:   x.service.MaxBodyBytes,
		minRate: newMinRate(x.f.limits.BodyMinBytesPerSec),
	}
	if refusal := x.bufferBeginning(); refusal != nil {
		return refusal
	}
	if x.body.fullyBuffered {
		x.computeFingerprints(x.body.buffered, true)
		return nil
	}
	x.computeFingerprints(x.body.prefix, false)
	return nil
}

// bufferBeginning reads what is read before a slot is acquired: a small body whole, and the
// beginning of a larger one. Nothing is read of a body of unknown length, whose sender may wait for
// a response to its first part, or of a request with Expect, whose sender waits for a 100 response.
func (x *exchange) bufferBeginning() *steering.Refusal {
	switch length := x.r.ContentLength; {
	case length <= 0 || x.r.Header["Expect"] != nil:
		return nil
	case length <= maxBufferedBody:
		return x.body.bufferWhole(length)
	}
	return x.body.bufferPrefix()
}

// fingerprintHeaders are the headers that change what a target does with a request. The credentials
// are among them: two callers that read their own data under the same path do not send the same
// request.
var fingerprintHeaders = [...]string{
	"Authorization", "Cookie", "Content-Type", "Content-Encoding",
	"Accept", "Accept-Encoding", "Accept-Language", "Range",
}

// computeFingerprints computes the fingerprints by which two requests are recognized as the same
// work, from the beginning of the body. whole states whether that is all of the body.
func (x *exchange) computeFingerprints(begin []byte, whole bool) {
	var headers [len(fingerprintHeaders)]string
	for i, name := range fingerprintHeaders {
		headers[i] = firstValue(x.r.Header, name)
	}
	content := poison.Content{
		Service: x.service.Name, Method: x.r.Method, URI: x.r.URL.RequestURI(),
		Headers: headers[:], Length: x.r.ContentLength, Body: begin,
	}
	x.mark = poison.Fingerprints{Content: content.Sum(), Key: poison.KeyID(x.key), BodyComplete: whole}
	x.fingerprint = uint64(x.mark.Content)
	for name, values := range x.r.Header {
		if isTrait(name) && len(values) > 0 {
			x.mark.AddHeader(name, values[0])
		}
	}
}

// isTrait reports whether a header is fingerprinted separately. These are the headers that reach a
// target, are not part of the content fingerprint and do not by their nature change with each
// request.
func isTrait(name string) bool {
	if isHopByHop(name) || strings.HasPrefix(name, reservedPrefix) || slices.Contains(fingerprintHeaders[:], name) {
		return false
	}
	switch name {
	case targetRequestID, "Content-Length", "Date", "Traceparent", "Tracestate", "User-Agent", "Via", "Expect":
		return false
	}
	return true
}

// findHome sets the place that the caller belongs to. For a request from a peer the home is taken
// from the header, because only the peer knows the caller's address.
func (x *exchange) findHome() {
	if x.origin != originCaller {
		x.home = steering.Place(firstValue(x.r.Header, headerHome))
		return
	}
	if place, ok := x.f.looker.Home(callerAddress(x.r)); ok {
		x.home = place
	}
}

// callerAddress returns the remote address of the connection.
func callerAddress(r *http.Request) netip.Addr {
	if info := connInfoOf(r.Context()); info != nil {
		return info.address
	}
	parsed, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// firstValue returns the first value of a field, or "". Unlike Header.Get it expects the name in
// canonical form and therefore needs no allocation.
func firstValue(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

func badRequest(format string, args ...any) *steering.Refusal {
	return steering.Refuse(steering.ReasonBadRequest, 0, fmt.Sprintf(format, args...))
}
