package relay

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/losses"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
	"heatherlock/steering/routes"
)

// exchange is one caller's request on its way.
type exchange struct {
	f       *Relay
	table   *routes.Table
	route   *routes.Route
	service steering.Service
	r       *callers.Request
	call    platform.Call
	header  http.Header // end-to-end fields, shared by all tries
	giveUp  time.Time

	ends    chan end
	running int // tries in flight
	arrived int // tries that reached a target
	tries   int
	// maybeRan is set once a try may have run the request.
	maybeRan bool
	tried    []steering.Target
	lastPick placement.Pick
	mark     poison.Mark
	verdict  poison.Verdict
	history  []tried
	noRoom   *placement.Refusal // of the last try that found no target with room
	stopped  string             // what kept it from a further try
	warm     time.Duration      // the time of a warm run of the service, as last known
}

func newExchange(f *Relay, table *routes.Table, route *routes.Route, r *callers.Request, call platform.Call) *exchange {
	x := &exchange{f: f, table: table, route: route, r: r, call: call, service: route.Service(),
		header: endToEnd(r.Header), ends: make(chan end, route.MaxAttempts+furtherTries+1)} // a hedge beside them
	x.giveUp = r.Received.Add(x.bound())
	return x
}

// bound is how long the request is kept at most.
func (x *exchange) bound() time.Duration {
	bound := noDeadline
	if x.call.Deadline > 0 {
		bound = x.call.Deadline - replyTime
	}
	if x.route.Timeout > 0 {
		bound = min(bound, x.route.Timeout+lateGrace)
	}
	return bound
}

// end is how a try ended.
type end struct {
	pick   placement.Pick
	answer *upstream.Answer
	said   platform.Answer
	err    error
	// notRun is set when the try is proved not to have run the request.
	notRun bool
	// unsent tries reached no target.
	unsent bool
	// usable answers may go to the caller.
	usable bool
	// report is what the try showed of its target.
	report placement.Report
}

// tried is one try as told in the log.
type tried struct {
	Target     steering.Target `json:"target"`
	Zone       steering.Zone   `json:"zone"`
	Rank       int             `json:"rank"`
	Trial      bool            `json:"trial,omitempty"`
	ExpectedMs int64           `json:"expected_ms"`
	WaitMs     int64           `json:"wait_ms"`
	AtMs       int64           `json:"at_ms"` // since the request came
	End        string          `json:"end,omitempty"`
	EndMs      int64           `json:"end_ms,omitempty"`

	report  placement.Report
	spoiled bool // its answer came and could not be passed on
	slots   int
	away    bool
}

// noteEnd adds a try's end to the history.
func (x *exchange) noteEnd(e end) {
	for i := range x.history {
		if t := &x.history[i]; t.Target == e.pick.Target.Name && t.End == "" {
			t.End, t.EndMs = e.String(), time.Since(x.r.Received).Milliseconds()
			t.report, t.spoiled = e.report, e.err == nil && !e.usable && !e.notRun
		}
	}
}

// String says in a word how a try ended.
func (e end) String() string {
	switch {
	case e.err != nil && e.unsent:
		return "not sent: " + e.err.Error()
	case e.err != nil:
		return "no answer: " + e.err.Error()
	case e.said.WrongTarget:
		return "another target has the address"
	case e.notRun:
		return "refused by the target, not run"
	case !e.usable:
		return "unusable answer " + strconv.Itoa(e.answer.Status)
	}
	return strconv.Itoa(e.answer.Status)
}

// run takes the request to its answer.
func (x *exchange) run(ctx context.Context) *callers.Response {
	x.f.placing(x.service)
	if x.r.Rest != nil && x.r.Length > x.table.Limits.BodyBytes {
		return x.refuse(steering.ReasonBodyTooLarge, 0)
	}
	if retryAfter, held := x.heldBack(); held {
		return x.refuse(steering.ReasonPoison, retryAfter)
	}
	work, cancel := x.workContext(ctx)
	defer cancel()
	if refusal := x.launch(work); refusal != nil {
		return x.refuse(refusal.Reason, refusal.RetryAfter)
	}
	giveUp := time.NewTimer(time.Until(x.giveUp))
	defer giveUp.Stop()
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case e := <-x.ends:
			x.running--
			x.noteEnd(e)
			if response, done := x.ended(work, e); done {
				return response
			}
		case <-hedge.C:
			x.hedge(work)
		case <-giveUp.C:
			return x.givenUp()
		case <-ctx.Done():
			x.f.cfg.Events.Refused(steering.ReasonCancelled)
			x.count(losses.Failed, steering.ReasonCancelled)
			return nil
		}
	}
}

// heldBack reports whether the request is one that crashes targets.
func (x *exchange) heldBack() (retryAfter time.Duration, held bool) {
	x.mark = markOf(x.service, x.r, x.call)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	v, allowed := x.f.suspects.enter(time.Now(), x.mark)
	x.verdict = v
	if allowed {
		return 0, false
	}
	return v.Refusal.RetryAfter, true
}

// workContext bounds the work at targets. A repeatable request ends with its
// caller; one that runs once is left to finish, since cutting it would leave
// its outcome unknown.
func (x *exchange) workContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind.Repeatable() {
		return context.WithDeadline(ctx, x.giveUp)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.giveUp.Add(lateGrace))
	context.AfterFunc(ctx, cancel) // at the deadline, not when the caller has been answered
	return ctx, func() {}
}

// launch places the request and starts a try.
func (x *exchange) launch(ctx context.Context) *placement.Refusal {
	pick, refusal := x.f.choose(x.placementRequest())
	if refusal != nil {
		x.noRoom, x.warm = refusal, refusal.Warm
		return refusal
	}
	x.lastPick, x.warm = pick, pick.Warm
	x.tries++
	x.running++
	x.tried = append(x.tried, pick.Target.Name)
	x.history = append(x.history, tried{Target: pick.Target.Name, Zone: pick.Target.Zone, Rank: pick.Rank, Trial: pick.Trial,
		ExpectedMs: pick.Expected.Milliseconds(), WaitMs: pick.Wait.Milliseconds(), AtMs: time.Since(x.r.Received).Milliseconds(),
		slots: pick.Target.Slots, away: pick.Away})
	go x.try(ctx, pick)
	return nil
}

func (x *exchange) placementRequest() placement.Request {
	now := time.Now()
	r := placement.Request{Service: x.service, ID: x.call.ID, Region: x.f.cfg.Region, Allowed: x.route.MayRunIn,
		Left: x.giveUp.Sub(now), Rank: x.route.Rank, Repeatable: x.route.Kind.Repeatable(), Tried: x.tried}
	if x.route.KeyAffinity {
		r.Key = x.call.Key
	}
	if x.route.Aim > 0 {
		r.Aim = max(x.route.Aim-now.Sub(x.r.Received)-replyTime, time.Millisecond)
	}
	return r
}

// try sends the request to one target and reports how that ended.
func (x *exchange) try(ctx context.Context, pick placement.Pick) {
	var sentAt time.Time
	answer, err := x.f.cfg.Pool.Do(ctx, upstream.Call{
		Target: pick.Target.Name, Generation: pick.Target.Generation, Address: pick.Target.Address,
		MaxConnections: x.maxConnections(), DialTimeout: min(dialTimeout, max(time.Until(x.giveUp), time.Millisecond)),
		Began: func() { sentAt = time.Now() },
	}, x.outgoing(pick))
	e := x.judge(pick, answer, err)
	e.report = x.f.reportEnd(ctx, x, e, sentAt)
	x.ends <- e
}

// maxConnections is this entry VM's share of a target's connections.
func (x *exchange) maxConnections() int {
	service := x.table.Services[x.service]
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(x.f.cfg.Members(), 1), 1)
}

func (x *exchange) outgoing(pick placement.Pick) *upstream.Request {
	header := make(http.Header, len(x.header)+2)
	for name, values := range x.header {
		header[name] = values
	}
	expected := string(pick.Target.Name)
	if planted.Defect == planted.ReusedAddress {
		expected = ""
	}
	platform.MarkForTarget(header, expected, time.Until(x.giveUp))
	return &upstream.Request{Method: x.r.Method, Path: x.r.Path, Host: x.r.Host, Header: header,
		Body: x.r.Body, Rest: x.r.Rest, Length: x.r.Length, ID: x.call.ID}
}

// judge says what a try's end proves.
func (x *exchange) judge(pick placement.Pick, answer *upstream.Answer, err error) end {
	e := end{pick: pick, answer: answer, err: err}
	if err != nil {
		e.unsent = stageOf(err) != upstream.Sent
		e.notRun = e.unsent
		return e
	}
	e.said = platform.ReadAnswer(answer.Status, answer.Header)
	e.notRun = e.said.NotRun
	switch {
	case e.notRun:
	case answer.Status < http.StatusMultipleChoices:
		e.usable = e.said.Signed
	case promisesNotRun(answer.Status):
		// The target did not prove it, so the promise must not be passed on.
		e.usable = false
	default:
		e.usable = true
	}
	return e
}

// promisesNotRun reports the statuses that tell a caller that its request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// ended acts on the end of a try; done tells that response is final.
func (x *exchange) ended(ctx context.Context, e end) (response *callers.Response, done bool) {
	if !e.unsent {
		x.arrived++
	}
	if !e.notRun {
		x.maybeRan = true
	}
	failed := e.usable && e.answer.Status >= http.StatusInternalServerError
	if e.usable && !(failed && x.mayRepeat(e) && x.again(ctx, e)) {
		return x.deliver(e), true
	}
	if e.usable {
		return nil, false // being tried elsewhere
	}
	if x.mayRepeat(e) && x.again(ctx, e) {
		return nil, false
	}
	if x.running > 0 {
		return nil, false
	}
	return x.failed(e), true
}

// mayRepeat reports whether the request may be sent once more.
func (x *exchange) mayRepeat(e end) bool {
	switch {
	case x.maybeRan && !x.route.Kind.Repeatable() && planted.Defect != planted.Twice:
		x.stopped = stoppedOnce
	case x.r.Rest != nil && !e.unsent:
		x.stopped = stoppedBody
	case !x.arrivedAtMost() || x.tries >= x.route.MaxAttempts+furtherTries:
		x.stopped = stoppedAttempts
	default:
		return true
	}
	return false
}

// What kept a request from a further try, as the log tells it.
const (
	stoppedOnce     = "it may have run, and must not run twice"
	stoppedBody     = "its body went to the target and is not kept"
	stoppedAttempts = "its route allows no more attempts"
	stoppedBudget   = "the budget for further tries is used up"
	stoppedNoRoom   = "no other target has room in time"
)

func (x *exchange) arrivedAtMost() bool { return x.arrived+x.running < x.route.MaxAttempts }

// again starts a further try within the budget.
func (x *exchange) again(ctx context.Context, e end) bool {
	if !e.unsent && !x.f.takeRetry(x.service) {
		x.f.cfg.Events.Refused(steering.ReasonRetryBudget)
		x.stopped = stoppedBudget
		return false
	}
	if x.launch(ctx) != nil {
		x.stopped = stoppedNoRoom
		if !e.unsent {
			x.f.returnRetry(x.service)
		}
		return false
	}
	x.f.cfg.Events.Retried(retryReason(e))
	return true
}

func retryReason(e end) string {
	switch {
	case e.unsent:
		return "unreachable"
	case e.said.WrongTarget:
		return "address_reused"
	case e.notRun:
		return "shed"
	case e.err != nil:
		return "broken"
	}
	return "failed"
}

// hedge sends a repeatable request that is overdue to a second target.
func (x *exchange) hedge(ctx context.Context) {
	if !x.route.Kind.Repeatable() || x.r.Rest != nil || x.running != 1 || !x.arrivedAtMost() {
		return
	}
	if !x.f.takeRetry(x.service) {
		return
	}
	if x.launch(ctx) != nil {
		x.f.returnRetry(x.service)
		return
	}
	x.f.cfg.Events.Retried("overdue")
}

func (x *exchange) hedgeDelay() time.Duration {
	expected := x.lastPick.Expected
	return max(time.Duration(hedgeFactor*float64(expected)), expected+hedgeExtra)
}

// givenUp answers a request whose time is over.
func (x *exchange) givenUp() *callers.Response {
	if x.running == 0 && !x.maybeRan {
		return x.refuse(steering.ReasonNoSlot, 0)
	}
	return x.unknown(steering.ReasonDeadline)
}

// failed answers a request whose last try brought no usable answer.
func (x *exchange) failed(e end) *callers.Response {
	if !x.maybeRan {
		switch {
		case e.unsent && x.noRoom != nil:
			return x.refuse(x.noRoom.Reason, x.noRoom.RetryAfter)
		case e.unsent:
			return x.refuse(steering.ReasonNoTarget, shedRetry)
		}
		return x.refuse(steering.ReasonShed, shedRetry)
	}
	if e.err == nil {
		return x.unknown(steering.ReasonAnswerCrossed)
	}
	return x.unknown(steering.ReasonTargetDied)
}

// shedRetry is when to come back after targets refused: about a service time.
const shedRetry = 200 * time.Millisecond

func (x *exchange) subject() subject { return subject{x.table, x.call.ID, x.route.Name} }

// refuse answers a request that has not run.
func (x *exchange) refuse(reason steering.Reason, retryAfter time.Duration) *callers.Response {
	x.count(losses.Refused, reason)
	return x.f.refuse(x.subject(), reason, retryAfter, x.detail())
}

// unknown answers a request that may have run.
func (x *exchange) unknown(reason steering.Reason) *callers.Response {
	x.f.cfg.Events.Refused(reason)
	x.count(losses.Failed, reason)
	x.f.logEnd("outcome unknown", x.subject(), reason, x.detail())
	status := http.StatusBadGateway
	if planted.Defect == planted.FalselyNotRun {
		status = http.StatusServiceUnavailable
	}
	if reason == steering.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return ownResponse(status, reason, steering.Reasons[reason].Meaning, 0)
}

// detail is what the log tells of a request beside its end: what was known when
// it was decided, and each try.
func (x *exchange) detail() []any {
	line := []any{"service", x.service, "kind", x.route.Kind.String(), "key", x.call.Key, "deadline_ms", x.call.Deadline.Milliseconds(),
		"timeout_ms", x.route.Timeout.Milliseconds(), "took_ms", time.Since(x.r.Received).Milliseconds(), "store_age_ms", x.f.storeAge().Milliseconds()}
	if x.noRoom != nil && x.noRoom.Wait > 0 {
		line = append(line, "shortest_wait_ms", x.noRoom.Wait.Milliseconds())
	}
	if len(x.history) > 0 {
		line = append(line, "tries", x.history)
	}
	if x.stopped != "" {
		line = append(line, "no_further_try", x.stopped)
	}
	return line
}

// deliver passes a target's answer on.
func (x *exchange) deliver(e end) *callers.Response {
	x.f.cfg.Events.Served(x.route.Kind, e.answer.Status, time.Since(x.r.Received))
	ready := time.Since(x.r.Received)
	if len(x.history) > 1 || e.answer.Status >= http.StatusInternalServerError {
		x.f.logEnd("passed on", x.subject(), "", append(x.detail(), "status", e.answer.Status))
	}
	return &callers.Response{Status: e.answer.Status, Header: endToEnd(e.answer.Header), Body: e.answer.Body,
		Rest: e.answer.Rest, Length: e.answer.Length, Close: x.r.Rest != nil,
		Turn: func() { x.countAnswer(outcomeOfAnswer(e.answer.Status), ready) }}
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}
