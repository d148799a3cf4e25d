package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

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
	r := placement.Request{Service: x.service, ID: x.call.ID, Region: x.f.cfg.Region, Allowed: x.mayRunIn,
		Left: x.giveUp.Sub(now), Rank: x.workspace.RankOr(x.route.Rank), Repeatable: x.route.Kind.Repeatable(), Tried: x.tried}
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
		Began: func() { sentAt = time.Now() }, Opened: x.f.metered(pick.Target),
	}, x.outgoing(pick))
	e := x.judge(pick, answer, err)
	e.report = x.f.reportEnd(ctx, x, e, sentAt)
	x.ends <- e
}

// metered returns what counts the bytes of a connection to a target.
func (f *Relay) metered(t placement.Target) func(net.Conn) net.Conn {
	if f.cfg.Meter == nil {
		return nil
	}
	at := volume.Place{Zone: t.Zone, Region: t.Region}
	return func(raw net.Conn) net.Conn { return f.cfg.Meter.Conn(raw, volume.Requests, at) }
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
	if !e.notRun {
		x.f.cfg.Allowances.Ran(x.workspace)
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
	x.f.cfg.Allowances.Ran(x.workspace)
	x.f.cfg.Events.Retried("overdue")
}

func (x *exchange) hedgeDelay() time.Duration {
	expected := x.lastPick.Expected
	return max(time.Duration(hedgeFactor*float64(expected)), expected+hedgeExtra)
}
