package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// leg is where one try goes.
type leg struct {
	transport http.RoundTripper
	scheme    string
	address   string // host:port
	prefix    string // before the request's path
	via       string // entry VMs on the way, for the answer
	// peer marks an entry VM; its answers carry this system's headers.
	peer bool
	// mark sets the headers of this leg.
	mark func(http.Header)
	// hint, when set, reads what a peer's answer says besides.
	hint func(http.Header)
	// begun is called once, as soon as it is known whether anything was sent:
	// when the answer begins or the try is given up.
	begun func(sent bool)
	// whole, when set, is called as soon as the whole answer is here; the
	// caller may still take long to read it.
	whole func(ending)
	// inFlight and slots are the target's own figures; -1 when it gave none.
	inFlight, slots int
	// quiet keeps interim answers back: another try runs beside this one.
	quiet bool
}

// ending says how one try ended.
type ending struct {
	kind    seam.OutcomeKind
	refusal *steering.Refusal // nil when an answer went to the caller
	// reported are the target's own figures; -1 when it gave none.
	inFlight, slots int
	// died marks a target that broke off with the request in its hands.
	died bool
}

// relayed reports that an answer went to the caller, whole or cut.
func (e ending) relayed() bool { return e.refusal == nil }

func ended(kind seam.OutcomeKind, refusal *steering.Refusal) ending {
	return ending{kind: kind, refusal: refusal, inFlight: -1, slots: -1}
}

// sending is a try whose answer has begun or that has failed.
type sending struct {
	leg     *leg
	id      string
	conn    *exchangeConn
	payload *tryBody
	res     *http.Response // nil after a failure
	err     error
	sent    bool    // any byte left
	unsent  *ending // the try could not be made at all
}

// try sends the request along one leg and relays the answer.
func (x *exchange) try(l *leg) ending {
	return x.receive(x.send(x.ctx, l))
}

// send sends the request and waits for the answer to begin.
func (x *exchange) send(ctx context.Context, l *leg) *sending {
	payload, ok := x.openBody()
	s := &sending{leg: l, id: string(x.id), payload: payload, conn: &exchangeConn{onClose: payload.interrupt}}
	if !ok {
		l.begun(false)
		spent := ended(seam.OutcomeCancelled, steering.Refuse(steering.ReasonTargetFailed, 0, "part of the body is already spent on an earlier try"))
		s.unsent = &spent
		return s
	}
	s.res, s.err = l.transport.RoundTrip(x.outgoing(ctx, l, payload, s.conn))
	s.sent = s.err == nil || s.conn.giveUp()
	l.begun(s.sent)
	return s
}

// receive judges what a try brought and relays an answer.
func (x *exchange) receive(s *sending) ending {
	defer s.conn.release()
	if s.unsent != nil {
		return *s.unsent
	}
	if s.err != nil {
		s.payload.detach()
		result := x.failed(s.err, s.sent)
		result.died = result.kind == seam.OutcomeBroken
		return result
	}
	result := x.answer(s.leg, s.res, s.conn)
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

// outgoing builds the request of one leg.
func (x *exchange) outgoing(ctx context.Context, l *leg, payload *tryBody, conn *exchangeConn) *http.Request {
	header := make(http.Header, len(x.r.Header)+legHeaders)
	copyEndToEnd(header, x.r.Header)
	withoutTargetReplay(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = noValue // else the HTTP client adds its own
	}
	if hasToken(x.r.Header["Te"], "trailers") {
		header["Te"] = trailersValue
	}
	header["Via"] = append(append([]string(nil), header["Via"]...), x.f.viaValue)
	if left, limited := forwardsLeft(x.r.Method, x.r.Header); limited {
		header[headerMaxForwards] = []string{strconv.Itoa(left - 1)}
	}
	if l.peer && payload != nil && payload.whole != nil {
		// The body can be sent once only; the peer says first that it takes it.
		header["Expect"] = continueValue
	}
	l.mark(header)
	out := &http.Request{
		Method: x.r.Method, URL: x.address(l), Host: x.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	x.attach(out, payload)
	trace := &httptrace.ClientTrace{GotConn: conn.got}
	if !l.quiet {
		trace.Got1xxResponse = x.interim
	}
	return out.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// legHeaders is room for the headers that a leg adds. A map of up to eight is
// one small block; a few more cost four times the memory.
const legHeaders = 3

var (
	noValue       = []string{""}
	trailersValue = []string{"trailers"}
	closeValue    = []string{"close"}
	continueValue = []string{"100-continue"}
)

func (x *exchange) address(l *leg) *url.URL {
	u := *x.r.URL
	u.Scheme, u.Host, u.User = l.scheme, l.address, nil
	if l.prefix != "" {
		u.Path = l.prefix + u.Path
		if u.RawPath != "" {
			u.RawPath = l.prefix + u.RawPath
		}
	}
	return &u
}

// interim relays 1xx answers. 100 is made by the server itself when the body
// is first read, and 101 never comes since upgrades are refused.
func (x *exchange) interim(code int, header textproto.MIMEHeader) error {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols || x.committed {
		return nil
	}
	to := x.w.Header()
	copyEndToEnd(to, http.Header(header))
	x.w.WriteHeader(code)
	clear(to)
	return nil
}

// tryTarget runs one try on a granted target.
func (x *exchange) tryTarget(grant seam.Grant, permit seam.CapPermit, verdict poison.Verdict) ending {
	a := x.begin(grant, permit, verdict)
	x.countFirst(a.target)
	x.tried = append(x.tried, a.target.Name)
	if delay := x.hedgeDelay(verdict); delay > 0 {
		return x.race(a, delay)
	}
	return x.settle(a, x.send(x.ctx, a.leg))
}

// slotOutcome is what the pool is told. A caller that went away before a byte
// was sent leaves nothing behind at the target; its slot is free at once.
func slotOutcome(result ending) seam.OutcomeKind {
	unsent := result.refusal != nil && result.refusal.Ran == steering.RanNo
	if result.kind == seam.OutcomeCancelled && unsent {
		return seam.OutcomeUnused
	}
	return result.kind
}

// tryEnd says what the try showed of its target's health.
func (e ending) tryEnd() TryEnd {
	switch {
	case e.died:
		return TryBroken
	case e.kind == seam.OutcomeOK:
		return TryWhole
	case e.kind == seam.OutcomeFailed:
		return TryFailure
	case e.kind == seam.OutcomeTimeout:
		return TrySilent
	}
	return TryNothing
}

func (x *exchange) markTarget(h http.Header) {
	h[targetRequestID] = []string{string(x.id)}
	h[targetDeadline] = []string{x.remainingMs()}
}
