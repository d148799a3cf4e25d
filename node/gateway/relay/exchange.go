package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/fairshare"
	"heatherlock/steering/losses"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
	"heatherlock/steering/queueowner"
)

// exchange is the state of one caller's request while it is being served.
type exchange struct {
	routeMatch
	f        *Relay
	service  steering.Service
	r        *callers.Request
	call     platform.RequestInfo
	header   http.Header // end-to-end header fields, shared by all attempts
	deadline time.Time   // when the request times out

	results       chan attemptResult
	running       int // attempts in flight
	reachedTarget int // attempts that reached a target
	attempts      int
	tries         upstream.Tries
	// sending is shared with the attempts; endedSent is how many that sent the request have ended.
	sending   sending
	endedSent int
	// maybeRan is set once an attempt may have run the request.
	maybeRan      bool
	tried         []steering.Target
	lastPick      placement.Pick
	fingerprints  poison.Fingerprints
	verdict       poison.Verdict
	history       []tried
	noCapacity    *placement.Refusal // of the last attempt that found no target with capacity
	beyondShare   *fairshare.Usage   // set if the share of the workspace does not allow it
	noRetryReason string             // why it was not retried, for the log
	warmTime      time.Duration      // last known latency of the service with a warm cache

	maxAttempts int
	held        holdState
	caller      context.Context // done when the caller leaves
	// hop is set if another entry VM passed the request on to this one.
	hop *hop
	// helpers are the entry VMs to which this one has passed the request on; atHelper is set while one of
	// them has it.
	helpers       []steering.VM
	helperResults chan helperResult // nil until the request is passed on
	atHelper      bool
	noHelper      bool      // whether none was found
	startedAt     time.Time // of the last attempt
	// owner is the VM to which the request is to be passed on, nil if none is.
	owner *queueowner.VM
	// passedToOwner is set once the request was passed on.
	passedToOwner bool
	// causeToldByOwner is why the request is not answered in time, as the VM says to which it was passed on.
	causeToldByOwner losses.Cause
	// stopOver is set once this VM has stopped waiting for attempts.
	stopOver bool
	// responder is the target whose response was passed on to the VM that hop names; empty if none was.
	responder steering.Target
}

// newExchange returns the exchange for a request of a caller, or for one that another entry VM passed on.
func newExchange(f *Relay, e routeMatch, r *callers.Request, call platform.RequestInfo, passedOn *hop) *exchange {
	x := &exchange{routeMatch: e, f: f, r: r, call: call, service: e.route.Service(), maxAttempts: e.route.MaxAttempts, hop: passedOn,
		header: endToEnd(r.Header), results: make(chan attemptResult, e.route.MaxAttempts+maxExtraAttempts+1)} // one more for a hedge
	platform.RemoveIdentity(x.header)
	if passedOn != nil {
		x.maxAttempts = min(x.maxAttempts, passedOn.attempts)
		removeHopHeaders(x.header)
	}
	if e.workspace != nil {
		platform.SetWorkspace(x.header, e.workspace.Name)
	}
	x.deadline = r.Received.Add(x.timeLimit())
	return x
}

// timeLimit returns how long after its arrival the request times out.
func (x *exchange) timeLimit() time.Duration {
	timeLimit := defaultDeadline
	if x.call.Deadline > 0 {
		timeLimit = x.call.Deadline - replyMargin
	}
	if x.route.Timeout > 0 {
		timeLimit = min(timeLimit, x.route.Timeout+timeoutGrace)
	}
	return timeLimit
}

// run places the request, retries or hedges it as needed, and returns the final response. It
// returns nil if the caller left.
func (x *exchange) run(ctx context.Context) *callers.Response {
	x.caller = ctx
	x.planOwner()
	x.recordRequest()
	if x.r.BodyRest != nil && x.r.Length > x.table.Limits.BodyBytes {
		return x.refuse(steering.ReasonBodyTooLarge, 0)
	}
	x.recordDemand()
	if retryAfter, held := x.checkPoison(); held {
		return x.refuse(steering.ReasonPoison, retryAfter)
	}
	work, cancel := x.workContext(ctx)
	defer cancel()
	if refusal := x.startOrHold(ctx, work); refusal != nil {
		if refusal.Reason == steering.ReasonCancelled { // while it waited; it has not run
			if x.hop == nil {
				x.f.cfg.Allowances.ReturnCredit(x.workspace, steering.ReasonCancelled)
			}
			return x.callerLeft()
		}
		return x.refuse(refusal.Reason, refusal.RetryAfter)
	}
	deadline := time.NewTimer(time.Until(x.deadline))
	defer deadline.Stop()
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case e := <-x.results:
			if response, done := x.attemptEnded(work, e); done {
				return response
			}
		case e := <-x.helperResults:
			if response, done := x.helperEnded(work, e); done {
				return response
			}
		case <-hedge.C:
			if again := x.overdue(work); again > 0 {
				hedge.Reset(again)
			}
		case <-deadline.C:
			return x.timedOut()
		case <-x.f.stop.over:
			return x.endAtStop(work)
		case <-ctx.Done():
			return x.callerLeft()
		}
	}
}

// attemptEnded acts on the result of an attempt at a target.
func (x *exchange) attemptEnded(work context.Context, e attemptResult) (response *callers.Response, done bool) {
	x.running--
	x.recordResult(e)
	return x.handleResult(work, e)
}

// helperEnded acts on the result of an attempt at another entry VM.
func (x *exchange) helperEnded(work context.Context, e helperResult) (response *callers.Response, done bool) {
	x.running--
	return x.handleHelperResult(work, e)
}

// callerLeft records that the caller left or that this VM stops, and returns no response.
func (x *exchange) callerLeft() *callers.Response {
	if errors.Is(context.Cause(x.caller), callers.ErrStopped) {
		x.f.cfg.Metrics.BrokenOffByStop()
		x.f.logRequest("broken off by the end of the stop", x.requestInfo(x.call), "", x.detail())
	}
	x.f.cfg.Metrics.Refused(steering.ReasonCancelled)
	x.recordOutcome(losses.Failed, steering.ReasonCancelled)
	return nil
}

// checkPoison reports whether the request is refused because requests like it crashed targets.
func (x *exchange) checkPoison() (retryAfter time.Duration, held bool) {
	x.fingerprints = fingerprintsOf(x.service, x.r, x.call)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	v, allowed := x.f.poisonFilter.admit(time.Now(), x.fingerprints)
	x.verdict = v
	if allowed {
		return 0, false
	}
	return v.Refusal.RetryAfter, true
}

// workContext returns the context of the work at targets. An idempotent request is cancelled when
// its caller leaves. A request that must run at most once is left to finish, since cancelling it
// would leave its outcome unknown.
func (x *exchange) workContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind.Retryable() {
		return context.WithDeadline(ctx, x.deadline)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline.Add(timeoutGrace))
	context.AfterFunc(ctx, cancel) // cancelled at the deadline, not when the caller has its response
	return ctx, func() {}
}

// handleResult acts on the result of an attempt. done reports that callerResponse is final.
func (x *exchange) handleResult(ctx context.Context, e attemptResult) (callerResponse *callers.Response, done bool) {
	if !e.unsent {
		x.reachedTarget++
	}
	if errors.Is(e.err, errNoCredit) || errors.Is(e.err, errTurnedCold) {
		x.attempts-- // the target was not tried
	}
	if e.sent {
		x.endedSent++
	}
	if !e.notRun {
		x.maybeRan = true
	}
	failed := e.usable && e.response.Status >= http.StatusInternalServerError
	if e.usable && !(failed && x.mayRetry(e) && x.retry(ctx, e)) {
		return x.deliver(e), true
	}
	if e.usable {
		return nil, false // being retried at another target
	}
	if x.mayRetry(e) && x.retry(ctx, e) {
		return nil, false
	}
	if x.running > 0 {
		return nil, false
	}
	return x.failed(e), true
}
