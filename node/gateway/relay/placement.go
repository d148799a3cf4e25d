package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/upstream"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// recordRequest counts an arriving request in the demand and the retry budget of its service. bound
// is the only region in which the request may run, or "" if there are several.
func (f *Relay) recordRequest(service steering.Service, bound steering.Region) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Balancer.CountRequest(now, service, bound)
	f.cfg.Retry.RecordRequest(now, service)
}

func (f *Relay) choose(r placement.Request) (placement.Pick, *placement.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	pick, refusal := f.cfg.Balancer.Choose(now, r)
	if refusal == nil {
		f.cfg.Balancer.RequestPlaced(now, pick.Target, r.Key, pick.Trial)
	}
	return pick, refusal
}

func (f *Relay) takeRetry(service steering.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Retry.TakeTry(time.Now(), service)
}

// returnRetry gives a retry back to the budget when no target had capacity for it. Otherwise
// requests that find no capacity would use up the budget, and a request that could find some would
// not be retried.
func (f *Relay) returnRetry(service steering.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Retry.ReturnTry(time.Now(), service)
}

// admitToTarget decides whether a request may be sent to the target that it was placed on, which
// names a limit.
func (f *Relay) admitToTarget(ctx context.Context, p placement.Pick) bool {
	newest, retryAfter, ok := f.cfg.TargetLimits.AdmitToTarget(ctx, p.Target, p.Limit)
	f.cfg.Metrics.TargetCredit(ok)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Balancer.ApplyLimit(now, p.Target, newest)
	if !ok {
		f.cfg.Balancer.LimitReached(now, p.Target, retryAfter)
	}
	return ok
}

// mayStillSend reports whether a request may still be sent to the target that it was placed on. The
// target may have said something since then that rules it out.
func (f *Relay) mayStillSend(p placement.Pick) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Balancer.MaySend(time.Now(), p)
}

// reportResult reports to the balancer and the poison filter what an attempt showed about its
// target, and records it in the result.
func (f *Relay) reportResult(ctx context.Context, x *exchange, e *attemptResult, sentAt time.Time) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	report := placement.Report{Outcome: outcomeOf(ctx, *e, sentAt, now)}
	f.poisonFilter.attemptEnded(now, x.fingerprints, x.verdict, e.pick.Target, sentAt, report.Outcome)
	if !sentAt.IsZero() {
		report.Latency = now.Sub(sentAt)
	}
	f.links.note(now, e.pick.Target.Name, report.Outcome)
	f.recordNotice(now, e)
	if e.info.Load.Unreadable {
		f.cfg.Metrics.LoadUnreadable()
	}
	if load := e.info.Load; load.Known {
		report.LoadKnown, report.Running, report.Waiting = true, load.Running, load.Waiting
		if !e.notRun {
			report.Running-- // the target's count includes the request that it responds to
		}
	}
	e.report = report
	if sentAt.IsZero() {
		f.cfg.Balancer.NotSent(now, e.pick.Target, report.Outcome, e.pick.Trial)
		return
	}
	f.cfg.Balancer.RequestEnded(now, e.pick.Target, report, e.pick.Trial, e.pick.Wait > 0)
}

func outcomeOf(ctx context.Context, e attemptResult, sentAt, now time.Time) placement.Outcome {
	switch {
	case e.err == nil && e.info.WrongTarget:
		return placement.Replaced
	case e.err == nil && e.notRun:
		return placement.Shed
	case e.err == nil && e.usable && e.response.Status < 500:
		return placement.Served
	case e.err == nil && e.usable:
		return placement.Failed
	case e.err == nil:
		return placement.Broken
	case errors.Is(e.err, upstream.ErrConnectionLimit), errors.Is(e.err, errNoCredit), errors.Is(e.err, upstream.ErrWithdrawn):
		return placement.Abandoned
	case e.unsent && ctx.Err() == nil:
		return placement.Unreachable
	case ctx.Err() == nil:
		return placement.Broken
	case !sentAt.IsZero() && now.Sub(sentAt) > time.Duration(unresponsiveFactor*float64(e.pick.Expected)):
		return placement.Silent
	}
	return placement.Abandoned
}

func stageOf(err error) upstream.Stage {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.Stage
	}
	return upstream.Sent
}
