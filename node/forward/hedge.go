package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/poison"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// errLostRace is the cancellation cause of the try whose response is not used, because another try
// answered first.
var errLostRace = errors.New("forward: another try answered first")

// attempt is a try on a granted target, from its start until its outcome is recorded.
type attempt struct {
	grant     seam.Grant
	target    routing.Target
	verdict   poison.Verdict
	upstream  *upstream
	started   time.Time
	cut       context.CancelCauseFunc // cancels the whole exchange
	accounted bool                    // the outcome was reported to the pool and to the suspect list
}

// begin prepares a try on a granted target.
func (x *exchange) begin(grant seam.Grant, permit seam.CapPermit, verdict poison.Verdict) *attempt {
	target := grant.Target()
	x.f.suspects.SetTrialTarget(x.mark, verdict, target.Name)
	a := &attempt{
		grant: grant, target: target, verdict: verdict, started: time.Now(), cut: x.cancel,
		upstream: &upstream{
			transport: x.f.targets,
			scheme:    "http",
			address:   target.Address,
			via:       x.f.selfName,
			mark:      x.setTargetHeaders,
			onSent:    permit.Done,
		},
	}
	a.upstream.complete = func(result tryResult) { x.account(a, result) }
	x.f.activeTries.add(a)
	return a
}

// account reports the outcome of a try to the pool and to the suspect list. Only the first call has
// an effect: a complete response releases its slot before it is sent to the caller, whatever
// happens to the caller's connection after that.
func (x *exchange) account(a *attempt, result tryResult) {
	if a.accounted {
		return
	}
	a.accounted = true
	x.f.activeTries.remove(a)
	a.grant.Done(seam.Outcome{
		Kind: slotOutcome(result), Latency: time.Since(a.started),
		ReportedInFlight: result.inFlight, ReportedSlots: result.slots, Rest: result.rest,
	})
	x.f.suspects.End(x.mark, a.verdict, a.target, result.tryOutcome())
}

// finishTry relays the response of a try and accounts for the try.
func (x *exchange) finishTry(a *attempt, s *sentTry) tryResult {
	result := x.receive(s)
	x.account(a, result)
	return result
}

// hedgeDelay returns how long to wait for the first try before a second one is sent in parallel.
// Zero means that the request is not hedged.
func (x *exchange) hedgeDelay(v poison.Verdict) time.Duration {
	if x.service.HedgeAfter <= 0 || v.Kind == poison.Trial || x.body != nil && !x.body.fullyBuffered {
		return 0
	}
	return retry.HedgeDelay(time.Now(), x.retryRequest(), x.service.HedgeAfter)
}

// parallelTry is a try that runs in parallel to another one.
type parallelTry struct {
	attempt *attempt // set before done receives a value; nil if the try got no slot
	cancel  context.CancelCauseFunc
	done    chan *sentTry
}

// race runs a try and, if it is slow, a second one on another target. The first usable response is
// relayed, after the other try was canceled.
//
// Without a budget, hedges would double the load of a pool as soon as it gets slow, and slow it
// down further. A hedge is therefore charged to the retry budget and needs a free slot. It does not
// wait in the pool's queue.
func (x *exchange) race(first *attempt, delay time.Duration) tryResult {
	primary := x.launch(first)
	defer primary.cancel(errLostRace)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-primary.done:
		return x.finishTry(first, s)
	case <-timer.C:
	}
	secondary := x.hedge()
	if secondary == nil {
		return x.finishTry(first, <-primary.done)
	}
	defer secondary.cancel(errLostRace)
	select {
	case s := <-primary.done:
		return x.pickWinner(primary, s, secondary)
	case s := <-secondary.done:
		return x.pickWinner(secondary, s, primary)
	}
}

func (x *exchange) launch(a *attempt) *parallelTry {
	ctx, cancel := context.WithCancelCause(x.ctx)
	r := &parallelTry{attempt: a, cancel: cancel, done: make(chan *sentTry, 1)}
	a.upstream.suppressInterim = true
	go func() { r.done <- x.send(ctx, a.upstream) }()
	return r
}

// hedge starts the second try, or returns nil if it is not allowed.
func (x *exchange) hedge() *parallelTry {
	free, _ := x.f.admitter.Headroom(x.pool.Place, x.service.Name)
	if free <= 0 || x.f.retries.Hedge(time.Now(), x.retryRequest(), x.triesSoFar()) != retry.Allowed {
		return nil
	}
	x.retried = true
	x.f.counters.hedges.Inc(1)
	ctx, cancel := context.WithCancelCause(x.ctx)
	r := &parallelTry{cancel: cancel, done: make(chan *sentTry, 1)}
	go func() { r.done <- x.sendHedge(ctx, r) }()
	return r
}

// sendHedge acquires a slot and sends the request. It returns nil if it got no slot.
func (x *exchange) sendHedge(ctx context.Context, r *parallelTry) *sentTry {
	verdict, refusal := x.f.suspects.Begin(ctx, x.mark)
	if refusal != nil {
		return nil
	}
	grant, permit, refusal := x.admitAny(ctx, []steering.Place{x.pool.Place}, verdict.Avoid)
	if refusal != nil {
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryInconclusive)
		return nil
	}
	r.attempt = x.begin(grant, permit, verdict)
	r.attempt.upstream.suppressInterim = true
	return x.send(ctx, r.attempt.upstream)
}

// pickWinner relays the response of one of two parallel tries. finished came back first, with the
// result s (nil if it got no slot), and other is still running. An unusable result of the first one
// is only used if the other try brings no usable one either.
func (x *exchange) pickWinner(finished *parallelTry, s *sentTry, other *parallelTry) tryResult {
	if s == nil {
		return x.finishTry(other.attempt, <-other.done)
	}
	if usableResponse(s) {
		other.cancel(errLostRace)
		result := x.finishTry(finished.attempt, s)
		if rest := <-other.done; rest != nil {
			x.discardTry(other.attempt, rest, true)
		}
		if finished.attempt.target.Name != x.tried[0] {
			x.f.counters.hedgesWon.Inc(1)
		}
		return result
	}
	rest := <-other.done
	if rest == nil {
		return x.finishTry(finished.attempt, s)
	}
	if !usableResponse(rest) {
		dropped := x.discardTry(other.attempt, rest, false)
		return withOtherTry(x.finishTry(finished.attempt, s), dropped)
	}
	x.discardTry(finished.attempt, s, false)
	return x.finishTry(other.attempt, rest)
}

// withOtherTry returns the result of a try. Its "not run" becomes "unknown" if the other try of the
// race may have run.
func withOtherTry(result, other tryResult) tryResult {
	if result.relayed() || result.refusal.Ran != steering.RanNo || other.refusal.Ran == steering.RanNo {
		return result
	}
	weakened := *result.refusal
	weakened.Ran = steering.RanUnknown
	result.refusal = &weakened
	return result
}

// usableResponse reports whether a response is worth relaying while another try is still running.
func usableResponse(s *sentTry) bool {
	if s.err != nil || s.notStarted != nil {
		return false
	}
	switch s.res.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	id := s.res.Header[targetRequestID]
	return len(id) == 0 || len(id) == 1 && id[0] == s.id
}

// discardTry accounts for a try whose response is not relayed.
func (x *exchange) discardTry(a *attempt, s *sentTry, cancelled bool) tryResult {
	result := newTryResult(seam.OutcomeCancelled, steering.RefuseUnknown(steering.ReasonCancelled, "another try answered first"))
	switch {
	case s.notStarted != nil:
		result = *s.notStarted
	case s.err != nil && !cancelled:
		result = x.failed(s.err, s.sent)
	case s.err != nil && !s.sent:
		result.refusal = steering.Refuse(steering.ReasonCancelled, 0, "another try answered first")
	case s.err == nil:
		err := x.discard(s.res, s.conn)
		switch {
		case usableResponse(s):
		case err == nil && firstValue(s.res.Header, targetNotRun) == "true":
			result = newTryResult(seam.OutcomeShed, steering.Refuse(steering.ReasonShed, 0, "the target refused without running it"))
			result.rest = retryAfter(s.res.Header)
		default:
			result.kind = seam.OutcomeFailed
		}
	}
	s.conn.release()
	x.account(a, result)
	return result
}
