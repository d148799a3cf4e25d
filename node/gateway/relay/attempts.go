package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/notrun"
	"heatherlock/steering/placement"
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	pick     placement.Pick
	response *upstream.Response
	info     platform.Response
	err      error
	// notRun is set when the request is proven not to have run in this attempt.
	notRun bool
	// unsent is set when the attempt reached no target.
	unsent bool
	// sent is set when the request may have been sent to the target, even in part.
	sent bool
	// usable is set when the response may be passed on to the caller.
	usable bool
	// report is what the attempt showed about its target.
	report placement.Report
	// limitHeard is set if the target's response changed what is known of its limit.
	limitHeard *placement.NamedLimit
}

// errNoCredit reports that the target names a limit and there is no credit left for the request.
var errNoCredit = errors.New("the target's limit is used up; the request goes to another target")

// tried is the record of one attempt in the log.
type tried struct {
	Target     steering.Target `json:"target"`
	Helper     steering.VM     `json:"helper,omitempty"` // the entry VM that passed the request on
	Zone       steering.Zone   `json:"zone"`
	Rank       int             `json:"rank"`
	Trial      bool            `json:"trial,omitempty"`
	ExpectedMs int64           `json:"expected_ms"`
	WaitMs     int64           `json:"wait_ms"`
	AtMs       int64           `json:"at_ms"` // since the request was received
	End        string          `json:"end,omitempty"`
	EndMs      int64           `json:"end_ms,omitempty"`
	RestMs     int64           `json:"rest_ms,omitempty"` // rest that the target asked for

	report      placement.Report
	unusable    bool // a response arrived but could not be passed on
	slots       int
	crossRegion bool
}

// recordResult adds the result of an attempt to the history.
func (x *exchange) recordResult(e attemptResult) {
	for i := range x.history {
		if t := &x.history[i]; t.Target == e.pick.Target.Name && t.Helper == "" && t.End == "" {
			t.End, t.EndMs = e.String(), time.Since(x.r.Received).Milliseconds()
			t.RestMs = e.info.Rest.Milliseconds()
			t.report, t.unusable = e.report, e.err == nil && !e.usable && !e.notRun || errors.Is(e.err, responses.ErrMalformed)
		}
	}
}

// String describes the result for the log.
func (e attemptResult) String() string {
	switch {
	case e.err != nil && e.unsent:
		return "not sent: " + e.err.Error()
	case e.err != nil:
		return "no answer: " + e.err.Error()
	case e.info.WrongTarget:
		return "another target has the address"
	case e.notRun:
		return "refused by the target, not run"
	case !e.usable:
		return "unusable answer " + strconv.Itoa(e.response.Status)
	}
	return strconv.Itoa(e.response.Status)
}

// startAttempt places the request and starts an attempt, or returns why no target was found. If this VM is
// cut off from all targets, another one passes the request on.
func (x *exchange) startAttempt(ctx context.Context) *placement.Refusal {
	if x.stopOver {
		return &placement.Refusal{Reason: steering.ReasonShuttingDown, RetryAfter: drainRetryAfter}
	}
	if x.startAtOwner(ctx) {
		return nil
	}
	pick, refusal, links := x.f.choose(x.placementRequest())
	// A request that has waited may have tried all targets before the cut was known.
	triedAll := refusal != nil && refusal.Reason == steering.ReasonNoTarget && x.waited()
	if links == linksCut || links == linksOpenOnly && (triedAll || refusal == nil && !x.f.cfg.Pool.HasIdle(pick.Target.Name)) {
		x.f.withdraw(pick)
		return x.startAtHelper(ctx)
	}
	if refusal != nil {
		if refusal.TooSlow {
			x.f.cfg.Metrics.RunTooSlow()
		}
		x.noCapacity, x.warmTime = refusal, refusal.WarmRunTime
		return refusal
	}
	x.lastPick, x.warmTime = pick, pick.WarmRunTime
	x.attempts++
	x.running++
	x.tried = append(x.tried, pick.Target.Name)
	x.startedAt = time.Now()
	x.history = append(x.history, tried{Target: pick.Target.Name, Zone: pick.Target.Zone, Rank: pick.Rank, Trial: pick.Trial,
		ExpectedMs: pick.Expected.Milliseconds(), WaitMs: pick.Wait.Milliseconds(), AtMs: x.startedAt.Sub(x.r.Received).Milliseconds(),
		slots: pick.Target.Slots, crossRegion: pick.OtherRegion})
	began := x.startedAt
	runAttempt(ctx, func() { x.attempt(ctx, pick, began, links == linksOpenOnly) })
	return nil
}

// runAttempt runs an attempt in its own goroutine. The bytes of the request stay reserved until the attempt
// has ended, also if the caller leaves before.
func runAttempt(ctx context.Context, attempt func()) {
	claim := buffering.ClaimOf(ctx)
	if !claim.Retain() {
		claim = nil // the request has been answered; upstream sends nothing
	}
	go func() {
		defer claim.Release()
		attempt()
	}()
}

func (x *exchange) placementRequest() placement.Request {
	now := time.Now()
	r := placement.Request{Service: x.service, ID: x.call.ID, Route: x.route.Name, RouteAim: x.route.Aim, RouteRank: x.route.Rank, Workspace: x.workspace != nil, Region: x.hop.regionOr(x.f.cfg.Region), Zone: x.f.cfg.Zone, Allowed: x.mayRunIn,
		TimeLeft: x.deadline.Sub(now), StopsIn: x.stopsIn(now), MaxQueue: x.f.holds.maxQueue(), Rank: x.workspace.RankOr(x.route.Rank), Retryable: x.route.Kind.Retryable(), Tried: x.tried,
		Key: x.affinityKey()}
	if x.route.Aim > 0 {
		r.Aim = max(x.route.Aim-now.Sub(x.r.Received)-replyMargin, time.Millisecond)
	}
	return r
}

// affinityKey returns the request's key if its route has key affinity.
func (x *exchange) affinityKey() string {
	if !x.route.KeyAffinity {
		return ""
	}
	return x.call.Key
}

// attempt sends the request to one target and reports the result. With onlyOpen set it opens no
// connection.
func (x *exchange) attempt(ctx context.Context, pick placement.Pick, began time.Time, onlyOpen bool) {
	var sentAt time.Time
	if pick.Limit != nil && planted.Defect != planted.LimitIgnored {
		newest, ok := x.f.admitToTarget(ctx, pick)
		if !ok {
			x.finishAttempt(ctx, x.classify(pick, nil, &upstream.Error{Stage: upstream.NotSent, Err: errNoCredit}), began, sentAt)
			return
		}
		pick.Limit = &newest
		if !newest.InForce {
			pick.Limit = nil // without a credit
		}
	}
	if x.turnedCold(ctx, pick) {
		x.finishAttempt(ctx, x.classify(pick, nil, &upstream.Error{Stage: upstream.NotSent, Err: errTurnedCold}), began, sentAt)
		return
	}
	beforeSend := func() bool {
		if !x.f.mayStillSend(pick) || !x.sending.begin() {
			return false
		}
		x.tellAttempt()
		sentAt = time.Now()
		return true
	}
	response, err := x.f.cfg.Pool.Do(ctx, upstream.Call{
		Target: pick.Target.Name, Generation: pick.Target.Generation, Address: pick.Target.Address, Tries: &x.tries,
		MaxConnections: x.maxConnections(), DialTimeout: min(dialTimeout, max(time.Until(x.deadline), time.Millisecond)),
		BeforeSend: beforeSend, OnOpen: x.f.opened(pick.Target), OnlyOpen: onlyOpen,
	}, x.targetRequest(pick))
	x.finishAttempt(ctx, x.classify(pick, response, err), began, sentAt)
}

// finishAttempt reports the result of an attempt that began at began; sentAt is zero if nothing was sent.
func (x *exchange) finishAttempt(ctx context.Context, e attemptResult, began, sentAt time.Time) {
	e.sent = !sentAt.IsZero()
	x.f.reportResult(ctx, x, &e, began, sentAt)
	if e.limitHeard != nil {
		x.f.applyLimit(e.pick.Target, x.f.cfg.TargetLimits.LimitHeard(e.pick.Target, *e.limitHeard))
	}
	x.f.holds.room(x.service, e.pick.Target.Name)
	if e.pick.Limit != nil && !e.sent && !errors.Is(e.err, errNoCredit) {
		x.f.cfg.TargetLimits.ReturnTargetCredit(e.pick.Target)
	}
	x.results <- e
}

// opened returns a function that records a connection that was opened to a target, and wraps it so that
// its bytes are counted.
func (f *Relay) opened(t placement.Target) func(net.Conn) net.Conn {
	at := volume.Location{Zone: t.Zone, Region: t.Region}
	return func(raw net.Conn) net.Conn {
		f.linkOpened()
		return f.metered(raw, at)
	}
}

// metered wraps a connection to a target so that its bytes are counted.
func (f *Relay) metered(raw net.Conn, at volume.Location) net.Conn {
	if f.cfg.Meter == nil {
		return raw
	}
	return f.cfg.Meter.Conn(raw, volume.Requests, at)
}

// maxConnections returns this entry VM's share of the connections to a target; 0 means no limit.
func (x *exchange) maxConnections() int {
	service := x.table.Services[x.service]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(x.f.cfg.MemberCount(), 1), 1)
}

func (x *exchange) targetRequest(pick placement.Pick) *upstream.Request {
	header := make(http.Header, len(x.header)+2)
	for name, values := range x.header {
		header[name] = values
	}
	expected := string(pick.Target.Name)
	if planted.Defect == planted.ReusedAddress {
		expected = ""
	}
	platform.SetTargetHeaders(header, expected, time.Until(x.deadline))
	return &upstream.Request{Method: x.r.Method, Path: x.r.Path, Host: x.r.Host, Header: header,
		Body: x.r.Body, BodyRest: x.r.BodyRest, Length: x.r.Length, ID: x.call.ID}
}

// classify returns the result of an attempt, with what the response or the error proves.
func (x *exchange) classify(pick placement.Pick, response *upstream.Response, err error) attemptResult {
	e := attemptResult{pick: pick, response: response, err: err}
	if err != nil {
		e.unsent = stageOf(err) != upstream.Sent
		e.notRun = notrun.Of(notrun.Evidence{Sent: !e.unsent, RequestID: x.call.ID}) != notrun.None
		return e
	}
	e.info = platform.ReadResponse(response.Status, response.Header)
	e.notRun = notrun.Of(notrun.Evidence{Sent: true, RequestID: x.call.ID, ResponseID: e.info.RequestID, Rejects: e.info.NotRun}) != notrun.None
	switch {
	case e.notRun:
	case response.Status < http.StatusMultipleChoices:
		e.usable = e.info.Signed
	case promisesNotRun(response.Status):
		// The target gave no proof, so the promise must not be passed on.
		e.usable = false
	default:
		e.usable = true
	}
	return e
}

// promisesNotRun reports whether a status tells the caller that its request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRetry reports whether the request may be sent once more. If not, it sets noRetryReason.
func (x *exchange) mayRetry(e attemptResult) bool {
	switch {
	case x.atHelper:
		x.noRetryReason = noRetryAtHelper
	case x.maybeRan && !x.route.Kind.Retryable() && planted.Defect != planted.UnsafeRetry:
		x.noRetryReason = noRetryMayHaveRun
	case x.r.BodyRest != nil && !e.unsent:
		x.noRetryReason = noRetryBodySent
	case !x.attemptsLeft() || x.attempts >= x.maxAttempts+maxExtraAttempts:
		x.noRetryReason = noRetryMaxAttempts
	default:
		return true
	}
	return false
}

// Reasons in the log why a request was not retried.
const (
	noRetryAtHelper    = "another entry VM has passed it on"
	noRetryMayHaveRun  = "it may have run, and must not run twice"
	noRetryBodySent    = "its body went to the target and is not kept"
	noRetryMaxAttempts = "its route allows no more attempts"
	noRetryBudget      = "the budget for further tries is used up"
	noRetryNoCapacity  = "no other target has room in time"
)

// attemptsLeft reports whether the route allows a further attempt, given those that reached a
// target or are in flight.
func (x *exchange) attemptsLeft() bool { return x.reachedTarget+x.running < x.maxAttempts }

// retry starts a further attempt, and reports whether it did. An attempt after one that reached a
// target takes a retry from the budget.
func (x *exchange) retry(ctx context.Context, e attemptResult) bool {
	if !e.unsent && !x.f.takeRetry(x.service) {
		x.f.cfg.Metrics.Refused(steering.ReasonRetryBudget)
		x.noRetryReason = noRetryBudget
		return false
	}
	x.forgetShed(e)
	if x.startOrHold(x.caller, ctx) != nil {
		x.noRetryReason = noRetryNoCapacity
		if !e.unsent {
			x.f.returnRetry(x.service)
		}
		return false
	}
	if !e.notRun {
		x.f.cfg.Allowances.RecordExtraRun(x.workspace)
	}
	x.f.cfg.Metrics.Retried(retryReason(e))
	return true
}

func retryReason(e attemptResult) string {
	switch {
	case errors.Is(e.err, errNoCredit):
		return "target_limit"
	case errors.Is(e.err, errTurnedCold):
		return "cold"
	case e.unsent:
		return "unreachable"
	case e.info.WrongTarget:
		return "address_reused"
	case e.notRun:
		return "shed"
	case errors.Is(e.err, responses.ErrMalformed):
		return "malformed"
	case e.err != nil:
		return "broken"
	}
	return "failed"
}

// hedge sends an overdue idempotent request to a second target, if the retry budget allows.
func (x *exchange) hedge(ctx context.Context) {
	if !x.route.Kind.Retryable() || x.r.BodyRest != nil || x.running != 1 || x.atHelper || !x.attemptsLeft() {
		return
	}
	if !x.f.takeRetry(x.service) {
		return
	}
	reason := "overdue"
	if x.lastPick.HedgeAfter > 0 {
		reason = "hedged"
	}
	if x.startAttempt(ctx) != nil {
		x.f.returnRetry(x.service)
		return
	}
	x.f.cfg.Allowances.RecordExtraRun(x.workspace)
	x.f.cfg.Metrics.Retried(reason)
}

// hedgeDelay returns how long to wait for the first response before the request is hedged: what the run
// times of its route say, if they do.
func (x *exchange) hedgeDelay() time.Duration {
	if x.lastPick.HedgeAfter > 0 {
		return x.lastPick.HedgeAfter
	}
	expected := x.lastPick.Expected
	return max(time.Duration(hedgeFactor*float64(expected)), expected+hedgeExtra)
}
