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

// errHedged is the cause given to the try that lost a race.
var errHedged = errors.New("forward: another try answered first")

// attempt is a try on a granted target from its start to its accounting.
type attempt struct {
	grant   seam.Grant
	target  routing.Target
	verdict poison.Verdict
	leg     *leg
	started time.Time
	cut     context.CancelCauseFunc // ends the exchange
	over    bool                    // the pool and the suspects were told
}

// begin prepares a try on a granted target.
func (x *exchange) begin(grant seam.Grant, permit seam.CapPermit, verdict poison.Verdict) *attempt {
	target := grant.Target()
	x.f.suspects.Trying(x.mark, verdict, target.Name)
	a := &attempt{
		grant: grant, target: target, verdict: verdict, started: time.Now(), cut: x.cancel,
		leg: &leg{
			transport: x.f.targets,
			scheme:    "http",
			address:   target.Address,
			via:       x.f.selfName,
			mark:      x.markTarget,
			begun:     permit.Done,
		},
	}
	a.leg.whole = func(result ending) { x.account(a, result) }
	x.f.flights.add(a)
	return a
}

// account tells the pool and the suspects how a try ended. The first word
// counts: a whole answer frees its slot before it goes to the caller.
func (x *exchange) account(a *attempt, result ending) {
	if a.over {
		return
	}
	a.over = true
	x.f.flights.remove(a)
	a.grant.Done(seam.Outcome{
		Kind: slotOutcome(result), Latency: time.Since(a.started),
		ReportedInFlight: result.inFlight, ReportedSlots: result.slots,
	})
	x.f.suspects.End(x.mark, a.verdict, a.target, result.tryEnd())
}

// settle relays what a try brought and accounts for it.
func (x *exchange) settle(a *attempt, s *sending) ending {
	result := x.receive(s)
	x.account(a, result)
	return result
}

// hedgeDelay returns how long to wait for the first try before a second one is
// sent beside it; zero means that the request is not hedged.
func (x *exchange) hedgeDelay(v poison.Verdict) time.Duration {
	if x.service.HedgeAfter <= 0 || v.Kind == poison.Trial || x.body != nil && !x.body.ahead {
		return 0
	}
	return retry.HedgeDelay(time.Now(), x.retryRequest(), x.service.HedgeAfter)
}

// runner is a try that runs beside another one.
type runner struct {
	attempt *attempt // set before done delivers; nil when it got no slot
	cancel  context.CancelCauseFunc
	done    chan *sending
}

// race runs a try and, when it is slow, a second one on another target. The
// first usable answer is relayed, and the other try is cancelled before that.
//
// A hedge that no budget bounds doubles the load of a pool as soon as it gets
// slow, and makes it slower still. Therefore a hedge needs the budget's leave
// and a free slot; it does not wait in the pool's queue.
func (x *exchange) race(first *attempt, delay time.Duration) ending {
	one := x.launch(first)
	defer one.cancel(errHedged)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-one.done:
		return x.settle(first, s)
	case <-timer.C:
	}
	two := x.hedge()
	if two == nil {
		return x.settle(first, <-one.done)
	}
	defer two.cancel(errHedged)
	select {
	case s := <-one.done:
		return x.decide(one, s, two)
	case s := <-two.done:
		return x.decide(two, s, one)
	}
}

func (x *exchange) launch(a *attempt) *runner {
	ctx, cancel := context.WithCancelCause(x.ctx)
	r := &runner{attempt: a, cancel: cancel, done: make(chan *sending, 1)}
	a.leg.quiet = true
	go func() { r.done <- x.send(ctx, a.leg) }()
	return r
}

// hedge starts the second try, or returns nil when it is not allowed.
func (x *exchange) hedge() *runner {
	free, _ := x.f.admitter.Headroom(x.pool.Place, x.service.Name)
	if free <= 0 || x.f.retries.Hedge(time.Now(), x.retryRequest(), x.triesSoFar()) != retry.Allowed {
		return nil
	}
	x.retried = true
	x.f.counters.hedges.Inc(1)
	ctx, cancel := context.WithCancelCause(x.ctx)
	r := &runner{cancel: cancel, done: make(chan *sending, 1)}
	go func() { r.done <- x.sendHedge(ctx, r) }()
	return r
}

// sendHedge takes a slot and sends; nil means that it got none.
func (x *exchange) sendHedge(ctx context.Context, r *runner) *sending {
	verdict, refusal := x.f.suspects.Enter(ctx, x.mark)
	if refusal != nil {
		return nil
	}
	grant, permit, refusal := x.admitAny(ctx, []steering.Place{x.pool.Place}, verdict.Avoid)
	if refusal != nil {
		x.f.suspects.End(x.mark, verdict, routing.Target{}, TryNothing)
		return nil
	}
	r.attempt = x.begin(grant, permit, verdict)
	r.attempt.leg.quiet = true
	return x.send(ctx, r.attempt.leg)
}

// decide has the first of two tries that came back, and the other one.
func (x *exchange) decide(came *runner, s *sending, other *runner) ending {
	if s == nil {
		return x.settle(other.attempt, <-other.done)
	}
	if usable(s) {
		other.cancel(errHedged)
		result := x.settle(came.attempt, s)
		if rest := <-other.done; rest != nil {
			x.drop(other.attempt, rest, true)
		}
		if came.attempt.target.Name != x.tried[0] {
			x.f.counters.hedgesWon.Inc(1)
		}
		return result
	}
	rest := <-other.done
	if rest == nil {
		return x.settle(came.attempt, s)
	}
	if !usable(rest) {
		dropped := x.drop(other.attempt, rest, false)
		return worse(x.settle(came.attempt, s), dropped)
	}
	x.drop(came.attempt, s, false)
	return x.settle(other.attempt, rest)
}

// worse returns the end of a try, weakened when the other try of the race may
// have run.
func worse(result, other ending) ending {
	if result.relayed() || result.refusal.Ran != steering.RanNo || other.refusal.Ran == steering.RanNo {
		return result
	}
	weakened := *result.refusal
	weakened.Ran = steering.RanUnknown
	result.refusal = &weakened
	return result
}

// usable reports an answer worth relaying while another try still runs.
func usable(s *sending) bool {
	if s.err != nil || s.unsent != nil {
		return false
	}
	switch s.res.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	id := s.res.Header[targetRequestID]
	return len(id) == 0 || len(id) == 1 && id[0] == s.id
}

// drop accounts for a try whose answer is not relayed.
func (x *exchange) drop(a *attempt, s *sending, cancelled bool) ending {
	result := ended(seam.OutcomeCancelled, steering.Unknown(steering.ReasonCancelled, "another try answered first"))
	switch {
	case s.unsent != nil:
		result = *s.unsent
	case s.err != nil && !cancelled:
		result = x.failed(s.err, s.sent)
		result.died = result.kind == seam.OutcomeBroken
	case s.err != nil && !s.sent:
		result.refusal = steering.Refuse(steering.ReasonCancelled, 0, "another try answered first")
	case s.err == nil:
		x.discard(s.res, s.conn)
		switch {
		case usable(s):
		case first(s.res.Header, targetNotRun) == "true":
			result = ended(seam.OutcomeShed, steering.Refuse(steering.ReasonShed, 0, "the target refused without running it"))
		default:
			result.kind = seam.OutcomeFailed
		}
	}
	s.conn.release()
	x.account(a, result)
	return result
}
