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

// Bounds of what a caller may ask.
const (
	maxTimeout    = 24 * time.Hour
	timeoutDigits = 8
)

// identify reads what the request says about itself.
func (x *exchange) identify() *steering.Refusal {
	steps := []func() *steering.Refusal{
		x.checkForm, x.findService, x.readDeadline, x.readKey, x.readBody,
	}
	for _, step := range steps {
		if refusal := step(); refusal != nil {
			return refusal
		}
	}
	x.findHome()
	return nil
}

// checkForm refuses what can't be forwarded.
func (x *exchange) checkForm() *steering.Refusal {
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
	if name := first(r.Header, headerService); name != "" {
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
	if text := first(x.r.Header, headerTimeout); text != "" {
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
	if len(text) > timeoutDigits {
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
	text := first(x.r.Header, headerKey)
	if text == "" {
		return nil
	}
	parts, err := once.ParseKey(steering.Key(text))
	if err != nil {
		return badRequest("%s: %v", headerKey, err)
	}
	x.key, x.keyHome = steering.Key(text), parts.Incarnation
	return nil
}

// readBody checks the body's declared length and reads a small body ahead.
func (x *exchange) readBody() *steering.Refusal {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		x.fingerprintBody(nil, true)
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
		pace:    newPace(x.f.limits.BodyMinBytesPerSec),
	}
	if refusal := x.readBeginning(); refusal != nil {
		return refusal
	}
	if x.body.ahead {
		x.fingerprintBody(x.body.small, true)
		return nil
	}
	x.fingerprintBody(x.body.lead, false)
	return nil
}

// readBeginning reads what is read before a slot is taken: a small body whole,
// and the beginning of a larger one. A body of unknown length may wait for an
// answer to its first part, and one with Expect waits to be asked for.
func (x *exchange) readBeginning() *steering.Refusal {
	switch length := x.r.ContentLength; {
	case length <= 0 || x.r.Header["Expect"] != nil:
		return nil
	case length <= smallBody:
		return x.body.readAhead(length)
	}
	return x.body.readLead()
}

// marked are the headers that change what a target does with a request. The
// credentials are among them: two callers that read their own data by one path
// do not send the same request.
var marked = [...]string{
	"Authorization", "Cookie", "Content-Type", "Content-Encoding",
	"Accept", "Accept-Encoding", "Accept-Language", "Range",
}

// fingerprintBody notes what makes two requests the same work, given the
// beginning of the body, and whether that is all of it.
func (x *exchange) fingerprintBody(begin []byte, whole bool) {
	var headers [len(marked)]string
	for i, name := range marked {
		headers[i] = first(x.r.Header, name)
	}
	content := poison.Content{
		Service: x.service.Name, Method: x.r.Method, URI: x.r.URL.RequestURI(),
		Headers: headers[:], Length: x.r.ContentLength, Body: begin,
	}
	x.mark = poison.Mark{Content: content.Sum(), Key: poison.KeyID(x.key), Whole: whole}
	x.fingerprint = uint64(x.mark.Content)
	for name, values := range x.r.Header {
		if isTrait(name) && len(values) > 0 {
			x.mark.AddTrait(name, values[0])
		}
	}
}

// isTrait reports the headers that reach a target and are neither in the
// content fingerprint nor new with each request by their nature.
func isTrait(name string) bool {
	if isHopByHop(name) || strings.HasPrefix(name, ownPrefix) || slices.Contains(marked[:], name) {
		return false
	}
	switch name {
	case targetRequestID, "Content-Length", "Date", "Traceparent", "Tracestate", "User-Agent", "Via", "Expect":
		return false
	}
	return true
}

// findHome finds the place that the caller belongs to. A peer that hands a
// request over has looked already, and only it knows the caller's address.
func (x *exchange) findHome() {
	if x.origin != fromCaller {
		x.home = steering.Place(first(x.r.Header, headerHome))
		return
	}
	if place, ok := x.f.looker.Home(callerAddress(x.r)); ok {
		x.home = place
	}
}

// callerAddress returns the address of the connection's other end.
func callerAddress(r *http.Request) netip.Addr {
	if info := infoOf(r.Context()); info != nil {
		return info.address
	}
	parsed, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// first returns a field's first value. Unlike Header.Get it expects the name
// in canonical form and so needs no allocation.
func first(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

func badRequest(format string, args ...any) *steering.Refusal {
	return steering.Refuse(steering.ReasonBadRequest, 0, fmt.Sprintf(format, args...))
}
