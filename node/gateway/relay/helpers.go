package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/losses"
	"heatherlock/steering/notrun"
	"heatherlock/steering/placement"
	"heatherlock/steering/reach"
	"heatherlock/steering/rendezvous"
)

const (
	// maxHelpers is how many entry VMs are asked to pass on one request.
	maxHelpers = 3
	// maxHelperConnections bounds the connections to one entry VM.
	maxHelperConnections = 64
	// helperMargin is how long before the deadline here the entry VM that passes the request on gives it up,
	// so that its final answer arrives in time; at most helperMarginShare of the time left.
	helperMargin      = 50 * time.Millisecond
	helperMarginShare = 10
)

// SetHelpers sets the entry VMs that pass on requests while this one is cut off from all targets.
func (f *Relay) SetHelpers(h *reach.Helpers) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.TakeOver(f.helpers)
	f.helpers = h
}

// startAtHelper passes the request on to another entry VM, or returns why none can take it. A request is
// passed on once.
func (x *exchange) startAtHelper(ctx context.Context) *placement.Refusal {
	refusal := &placement.Refusal{Reason: steering.ReasonNoTarget, RetryAfter: retryAfterCut(x.call.ID)}
	if x.hop != nil || len(x.helpers) >= maxHelpers || x.f.cfg.Peers == nil || planted.Defect == planted.NoHelpers {
		x.noCapacity = refusal
		return refusal
	}
	helper, found := x.f.chooseHelper(x)
	if !found {
		x.noCapacity, x.noHelper = refusal, true
		return refusal
	}
	if x.helperResults == nil {
		x.helperResults = make(chan helperResult, maxHelpers)
	}
	x.attempts++
	x.running++
	x.atHelper = true
	x.startedAt = time.Now()
	x.helpers = append(x.helpers, helper.VM)
	x.history = append(x.history, tried{Helper: helper.VM, AtMs: time.Since(x.r.Received).Milliseconds(), crossRegion: helper.Region != x.f.cfg.Region})
	attempts := x.maxAttempts - x.reachedTarget - x.running + 1
	runAttempt(ctx, func() { x.attemptAtHelper(ctx, helper, attempts, maxHelperConnections) })
	return nil
}

// retryAfterCut returns when a caller should come back to a VM that is cut off and finds no other VM.
func retryAfterCut(id string) time.Duration {
	spread := rendezvous.Unit(rendezvous.Mix(rendezvous.Hash(id)))
	return reach.ProbeInterval + time.Duration(spread*float64(reach.ProbeInterval))
}

func (f *Relay) chooseHelper(x *exchange) (reach.Helper, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.helpers == nil {
		return reach.Helper{}, false
	}
	return f.helpers.For(time.Now(), x.call.ID, x.mayRunIn, x.helpers)
}

// helperResult is what became of a request that was passed on.
type helperResult struct {
	helper   steering.VM
	response *upstream.Response
	err      error
	verdict  hopVerdict
	// sent is set when the request may have been sent to the other VM, even in part.
	sent bool
	// attempts is how many attempts the other VM has sent to targets, as far as it said before its response.
	attempts int
}

// unsent reports whether nothing of the request reached the other VM.
func (e helperResult) unsent() bool { return e.err != nil && stageOf(e.err) != upstream.Sent }

// evidence is what the attempt showed of whether the request has run.
func (e helperResult) evidence() notrun.Evidence {
	return notrun.Evidence{Sent: !e.unsent(), Returned: e.err == nil && (e.verdict == hopNotRun || e.verdict == hopElsewhere)}
}

// reason returns why the other VM refused the request, or an empty reason.
func (e helperResult) reason() steering.Reason {
	if e.response == nil {
		return ""
	}
	return steering.Reason(e.response.Header.Get(headerReason))
}

// String describes the result for the log.
func (e helperResult) String() string {
	if e.err != nil {
		return e.err.Error()
	}
	return string(e.verdict) + " " + strconv.Itoa(e.response.Status)
}

// asAttempt returns the result as that of an attempt at a target.
func (e helperResult) asAttempt() attemptResult {
	return attemptResult{response: e.response, err: e.err, sent: e.sent, unsent: e.unsent(), usable: e.verdict == hopDelivered}
}

// attemptAtHelper sends the request to another entry VM, with the number of targets it may still reach.
func (x *exchange) attemptAtHelper(ctx context.Context, helper reach.Helper, attempts, maxConnections int) {
	e := helperResult{helper: helper.VM}
	ctx, end := x.f.awaitProcess(ctx, process{helper.VM, helper.Incarnation})
	defer end()
	call := upstream.Call{Target: steering.Target(helper.VM), Address: helper.Address, MaxConnections: maxConnections,
		DialTimeout: min(dialTimeout, max(time.Until(x.deadline), time.Millisecond)),
		BeforeSend:  func() bool { e.sent = x.sending.begin(); return e.sent }}
	if x.f.cfg.PeerMeter != nil {
		call.OnOpen = func(raw net.Conn) net.Conn { return x.f.cfg.PeerMeter(raw, helper.VM) }
	}
	request, told := x.helperRequest(helper, attempts), atomic.Int64{}
	request.OnInterim = func(h http.Header) {
		if n, err := strconv.Atoi(h.Get(headerHopReached)); err == nil {
			told.Store(int64(n))
		}
	}
	e.response, e.err = x.f.cfg.Peers.Do(ctx, call, request)
	e.attempts = int(told.Load())
	if e.err != nil && errors.Is(context.Cause(ctx), errProcessGone) {
		e.err = &upstream.Error{Stage: stageOf(e.err), Err: errProcessGone}
	}
	e.classify()
	x.helperResults <- e
}

func (x *exchange) helperRequest(to reach.Helper, attempts int) *upstream.Request {
	header := make(http.Header, len(x.header)+8)
	for name, values := range x.header {
		header[name] = values
	}
	platform.RemoveIdentity(header)
	h := hop{from: x.f.cfg.VM, to: to.Incarnation, region: x.f.cfg.Region, config: max(x.table.Version, x.f.shownConfig.Load()), attempts: attempts, told: x.f.tellNotices(x.service, "")}
	if x.workspace != nil {
		h.workspace = x.workspace.Name
	}
	h.answerAt = x.stopsAt()
	h.set(header)
	left := time.Until(x.deadline)
	platform.SetDeadline(header, left-min(helperMargin, left/helperMarginShare))
	return &upstream.Request{Method: x.r.Method, Path: x.r.Path, Host: x.r.Host, Header: header,
		Body: x.r.Body, BodyRest: x.r.BodyRest, Length: x.r.Length, ID: x.call.ID}
}

// classify sets what the response of the other entry VM, or the error, proves.
func (e *helperResult) classify() {
	switch {
	case e.unsent():
		e.verdict = hopElsewhere
	case e.err != nil:
		e.verdict = hopUnknown
	default:
		e.verdict = hopVerdict(e.response.Header.Get(headerHopVerdict))
	}
	switch e.verdict {
	case hopDelivered, hopNotRun, hopElsewhere:
	default:
		e.verdict = hopUnknown
	}
}

// handleHelperResult acts on what another entry VM answered.
func (x *exchange) handleHelperResult(ctx context.Context, e helperResult) (callerResponse *callers.Response, done bool) {
	x.atHelper = false
	if e.sent {
		x.endedSent++
	}
	x.noteHelper(e)
	switch {
	case e.verdict == hopDelivered:
		x.f.helperAnswered(e.helper)
		removeHopHeaders(e.response.Header)
		return x.deliver(e.asAttempt()), true
	case notrun.Of(e.evidence()) != notrun.None:
		return x.notRunAtHelper(ctx, e)
	}
	x.maybeRan = true
	x.reachedTarget += max(e.attempts, 1)
	if e.err != nil {
		x.f.avoidHelper(e.helper)
		if a := e.asAttempt(); x.mayRetry(a) && x.retry(ctx, a) {
			return nil, false
		}
	}
	if x.running > 0 {
		return nil, false
	}
	if e.err == nil && e.response.Status == http.StatusGatewayTimeout {
		return x.outcomeUnknown(steering.ReasonDeadline), true
	}
	return x.outcomeUnknown(steering.ReasonTargetLost), true
}

// noteHelper records for the log how an attempt at another VM ended, by which configuration that VM handled
// the request, and how many attempts it made.
func (x *exchange) noteHelper(e helperResult) {
	for i := range x.history {
		if t := &x.history[i]; t.Helper == e.helper && t.End == "" {
			t.End, t.EndMs = e.String(), time.Since(x.r.Received).Milliseconds()
		}
	}
	if e.response == nil {
		return
	}
	x.f.applyTold(readToldNotices(e.response.Header))
	x.causeToldByOwner = losses.Cause(e.response.Header.Get(headerHopCause))
	version, err := strconv.ParseUint(e.response.Header.Get(headerHopConfig), 10, 64)
	if err == nil && (e.verdict == hopDelivered || e.verdict == hopUnknown) {
		x.f.configShown(version)
	}
	if reached, err := strconv.Atoi(e.response.Header.Get(headerHopReached)); err == nil {
		x.reachedTarget += max(reached, 0)
	}
}

// configShown records that another VM handled a request by a version of the configuration.
func (f *Relay) configShown(version uint64) {
	for {
		shown := f.shownConfig.Load()
		if version <= shown || f.shownConfig.CompareAndSwap(shown, version) {
			return
		}
	}
}

// notRunAtHelper tries another entry VM if the request may run there, and else passes the refusal on.
func (x *exchange) notRunAtHelper(ctx context.Context, e helperResult) (callerResponse *callers.Response, done bool) {
	if e.verdict == hopElsewhere {
		if e.reason() != steering.ReasonConfigBehind { // others are most likely behind as well, and soon none is
			x.f.avoidHelper(e.helper)
		}
		streamed := x.r.BodyRest != nil && !e.unsent()
		if !streamed && ctx.Err() == nil && !x.maybeRan && x.startAttempt(ctx) == nil {
			x.f.cfg.Metrics.Retried("helper")
			return nil, false
		}
	}
	switch {
	case x.running > 0:
		return nil, false
	case x.maybeRan:
		return x.outcomeUnknown(steering.ReasonTargetLost), true
	case e.response == nil:
		return x.refuse(steering.ReasonPeerUnreachable, retryAfterCut(x.call.ID)), true
	}
	reason := e.reason()
	if _, known := steering.Reasons[reason]; !known {
		reason = steering.ReasonPeerUnreachable
	}
	seconds, _ := strconv.ParseFloat(e.response.Header.Get("Retry-After"), 64) // none is 0
	return x.refuse(reason, time.Duration(seconds*float64(time.Second))), true
}

// countHelpers is reach.Helpers.Count.
func (f *Relay) countHelpers() (known, avoided int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.helpers == nil {
		return 0, 0
	}
	return f.helpers.Count(time.Now())
}

func (f *Relay) avoidHelper(vm steering.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.helpers != nil {
		f.helpers.Avoid(time.Now(), vm)
	}
	if f.owners != nil {
		f.owners.Avoid(time.Now(), vm)
	}
}

// helperAnswered notes that another entry VM has delivered the response of a target.
func (f *Relay) helperAnswered(vm steering.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.helpers != nil {
		f.helpers.Answered(vm)
	}
	if f.owners != nil {
		f.owners.Answered(vm)
	}
}

// linkRecheck is the pause before an overdue request looks again whether this VM is cut off.
const linkRecheck = 50 * time.Millisecond

// overdue handles a request whose response is overdue: if this VM is cut off it is passed on, and else
// hedged. It returns after which time to call it again, or 0.
func (x *exchange) overdue(ctx context.Context) (again time.Duration) {
	if x.atHelper {
		return 0
	}
	cutOff, checking := x.f.linksOverdue(x.startedAt)
	switch {
	case checking:
		return linkRecheck
	case cutOff:
		x.moveToHelper(ctx)
	default:
		x.hedge(ctx)
	}
	return 0
}

// moveToHelper passes an idempotent request on that waits at a target which this VM no longer reaches.
func (x *exchange) moveToHelper(ctx context.Context) {
	if !x.route.Kind.Retryable() || x.r.BodyRest != nil || !x.attemptsLeft() || !x.f.takeRetry(x.service) {
		return
	}
	if x.startAtHelper(ctx) != nil {
		x.f.returnRetry(x.service)
		return
	}
	x.f.cfg.Allowances.RecordExtraRun(x.workspace)
	x.f.cfg.Metrics.Retried("cut_off")
}

// unansweredAtHelper notes that another entry VM has not answered in time.
func (x *exchange) unansweredAtHelper() {
	if x.atHelper {
		x.f.avoidHelper(x.helpers[len(x.helpers)-1])
	}
}
