package relay

import (
	"context"
	"net/http"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/losses"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

// exchange is one caller's request on its way.
type exchange struct {
	entry
	f       *Relay
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

func newExchange(f *Relay, e entry, r *callers.Request, call platform.Call) *exchange {
	x := &exchange{entry: e, f: f, r: r, call: call, service: e.route.Service(),
		header: endToEnd(r.Header), ends: make(chan end, e.route.MaxAttempts+furtherTries+1)} // a hedge beside them
	platform.RemoveIdentity(x.header)
	if e.workspace != nil {
		platform.SetWorkspace(x.header, e.workspace.Name)
	}
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

// run takes the request to its answer.
func (x *exchange) run(ctx context.Context) *callers.Response {
	x.f.placing(x.service, x.onlyHome())
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
