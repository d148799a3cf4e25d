package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"heatherlock/node/seam"
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// upstream is the destination of one try: a target or a peer.
type upstream struct {
	transport http.RoundTripper
	scheme    string
	address   string // host:port
	prefix    string // prepended to the request's path
	via       string // entry VMs that the request passed, for the Via header of the response
	// peer is set if the destination is an entry VM, whose responses carry this system's headers.
	peer bool
	// mark sets the headers that are specific to the destination.
	mark func(http.Header)
	// onPeerHeader, if not nil, is called with the header of a peer's response.
	onPeerHeader func(http.Header)
	// onSent is called once, as soon as it is known whether anything was sent: when the response
	// begins or the try is abandoned.
	onSent func(sent bool)
	// complete, if not nil, is called as soon as the complete response was received; sending it to
	// the caller may still take long.
	complete func(tryResult)
	// inFlight and slots are the counts that the target reports, or -1 if it reports none.
	inFlight, slots int
	// suppressInterim suppresses interim responses, because another try runs in parallel.
	suppressInterim bool
}

// tryResult is the result of one try.
type tryResult struct {
	kind    seam.OutcomeKind
	refusal *steering.Refusal // nil if a response was sent to the caller, complete or truncated
	// inFlight and slots are the counts that the target reports, or -1 if it reports none.
	inFlight, slots int
	// rest is how long a target that shed the request wants no further one; 0 if it does not say.
	rest time.Duration
	// connectionBroken is set if the target closed the connection while it had the request.
	connectionBroken bool
}

// relayed reports whether a response was sent to the caller, complete or truncated.
func (r tryResult) relayed() bool { return r.refusal == nil }

func newTryResult(kind seam.OutcomeKind, refusal *steering.Refusal) tryResult {
	return tryResult{kind: kind, refusal: refusal, inFlight: -1, slots: -1}
}

// sentTry is a try whose response has begun or that has failed.
type sentTry struct {
	upstream   *upstream
	id         string
	conn       *exchangeConn
	payload    *tryBody
	res        *http.Response // nil after a failure
	err        error
	sent       bool       // whether any byte of the request was sent
	notStarted *tryResult // set if the try could not be started at all
}

// try sends the request to one destination and relays the response.
func (x *exchange) try(up *upstream) tryResult {
	return x.receive(x.send(x.ctx, up))
}

// send sends the request and waits for the response to begin.
func (x *exchange) send(ctx context.Context, up *upstream) *sentTry {
	payload, ok := x.openBody()
	s := &sentTry{upstream: up, id: string(x.id), payload: payload, conn: &exchangeConn{onClose: payload.interrupt}}
	if !ok {
		up.onSent(false)
		spent := newTryResult(seam.OutcomeCancelled, steering.Refuse(steering.ReasonTargetFailed, 0, "part of the body is already spent on an earlier try"))
		s.notStarted = &spent
		return s
	}
	s.res, s.err = up.transport.RoundTrip(x.buildRequest(ctx, up, payload, s.conn))
	if s.err == nil {
		s.err = responses.Check(s.res)
	}
	s.sent = s.err == nil || s.conn.abandon()
	switch {
	case s.err != nil && s.res != nil:
		_ = s.res.Body.Close()
	case s.err == nil && !responses.HasTrailer(s.res):
		s.conn.accept()
	}
	up.onSent(s.sent)
	return s
}

// receive classifies the result of a try and relays a response.
func (x *exchange) receive(s *sentTry) tryResult {
	defer s.conn.release()
	if s.notStarted != nil {
		return *s.notStarted
	}
	if s.err != nil {
		s.payload.detach()
		return x.failed(s.err, s.sent)
	}
	result := x.handleResponse(s.upstream, s.res, s.conn)
	if !result.relayed() {
		s.payload.detach()
	}
	return result
}

func (x *exchange) openBody() (*tryBody, bool) {
	if x.body == nil {
		return nil, true
	}
	return x.body.open()
}

// buildRequest builds the request for one destination.
func (x *exchange) buildRequest(ctx context.Context, up *upstream, payload *tryBody, conn *exchangeConn) *http.Request {
	header := make(http.Header, len(x.r.Header)+addedHeaders)
	copyEndToEnd(header, x.r.Header)
	disableClientRetry(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = noValue // otherwise the HTTP client adds its own
	}
	if hasToken(x.r.Header["Te"], "trailers") {
		header["Te"] = trailersValue
	}
	header["Via"] = append(append([]string(nil), header["Via"]...), x.f.viaValue)
	if left, limited := forwardsLeft(x.r.Method, x.r.Header); limited {
		header[headerMaxForwards] = []string{strconv.Itoa(left - 1)}
	}
	if up.peer && payload != nil && payload.callerBody != nil {
		// The body can be sent only once, so the peer first confirms that it accepts the request.
		header["Expect"] = continueValue
	}
	up.mark(header)
	out := &http.Request{
		Method: x.r.Method, URL: x.address(up), Host: x.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	x.setBody(out, payload)
	trace := &httptrace.ClientTrace{GotConn: conn.gotConn}
	trace.Got1xxResponse = func(code int, header textproto.MIMEHeader) error {
		if err := responses.CheckInterim(code, http.Header(header)); err != nil || up.suppressInterim {
			return err
		}
		return x.relayInterim(code, header)
	}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// addedHeaders is the room for the headers that are added to a request. A map of up to eight fields
// is one small block; a few fields more cost four times the memory.
const addedHeaders = 3

var (
	noValue       = []string{""}
	trailersValue = []string{"trailers"}
	closeValue    = []string{"close"}
	continueValue = []string{"100-continue"}
)

func (x *exchange) address(up *upstream) *url.URL {
	u := *x.r.URL
	u.Scheme, u.Host, u.User = up.scheme, up.address, nil
	if up.prefix != "" {
		u.Path = up.prefix + u.Path
		if u.RawPath != "" {
			u.RawPath = up.prefix + u.RawPath
		}
	}
	return &u
}

// relayInterim relays 1xx responses, except for 100, which the server sends itself when the body is
// first read, and 101, which never occurs because upgrades are refused.
func (x *exchange) relayInterim(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols || x.headerSent {
		return nil
	}
	to := x.w.Header()
	copyEndToEnd(to, http.Header(header))
	x.w.WriteHeader(code)
	clear(to)
	return nil
}

// tryTarget runs one try on a granted target.
func (x *exchange) tryTarget(grant seam.Grant, permit seam.CapPermit, verdict poison.Verdict) tryResult {
	a := x.begin(grant, permit, verdict)
	x.countFirstTry(a.target)
	x.tried = append(x.tried, a.target.Name)
	if delay := x.hedgeDelay(verdict); delay > 0 {
		return x.race(a, delay)
	}
	return x.finishTry(a, x.send(x.ctx, a.upstream))
}

// slotOutcome returns the outcome to report to the pool. If the caller disconnected before a byte
// was sent, no work is left at the target and its slot is free at once.
func slotOutcome(result tryResult) seam.OutcomeKind {
	unsent := result.refusal != nil && result.refusal.Ran == steering.RanNo
	if result.kind == seam.OutcomeCancelled && unsent {
		return seam.OutcomeUnused
	}
	return result.kind
}

// tryOutcome returns what the try showed about its target's health.
func (r tryResult) tryOutcome() TryOutcome {
	switch {
	case r.connectionBroken:
		return TryConnectionBroken
	case r.kind == seam.OutcomeOK:
		return TrySucceeded
	case r.kind == seam.OutcomeFailed:
		return TryErrorResponse
	case r.kind == seam.OutcomeTimeout:
		return TryTimedOut
	}
	return TryInconclusive
}

func (x *exchange) setTargetHeaders(h http.Header) {
	h[targetRequestID] = []string{string(x.id)}
	h[targetDeadline] = []string{x.remainingMs()}
}
