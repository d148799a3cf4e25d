package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// recordRequest counts an arriving request in the demand and the retry budget of its service. Of a request
// that another entry VM passes on, that one counts the demand and the VM that sends it to a target the
// budget.
func (x *exchange) recordRequest() {
	now, f := time.Now(), x.f
	bound := x.singleHome()
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.hop != nil {
		f.cfg.Balancer.CountRelayed(x.service)
	} else {
		f.cfg.Balancer.CountRequest(now, x.service, bound)
	}
	if x.owner == nil && (x.hop != nil || !f.links.CutOff()) {
		f.cfg.Retry.RecordRequest(now, x.service)
	}
}

// linkState says which connections to targets a request may use.
type linkState uint8

const (
	linksUp       linkState = iota // any
	linksOpenOnly                  // those that are open; no new one can be opened
	linksCut                       // none
)

// choose places a request unless the links to all targets are cut.
func (f *Relay) choose(r placement.Request) (placement.Pick, *placement.Refusal, linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	links := linksUp
	if f.links.CutOff() {
		if !f.links.ConnectionsLive(now) {
			return placement.Pick{}, nil, linksCut
		}
		links = linksOpenOnly
	}
	pick, refusal := f.cfg.Balancer.Choose(now, r)
	if refusal == nil {
		f.cfg.Balancer.RequestPlaced(now, pick.Target, r.Key, pick.Trial)
	}
	return pick, refusal, links
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
// names a limit. It returns the limit that holds now; if it is in force, the request has a credit.
func (f *Relay) admitToTarget(ctx context.Context, p placement.Pick) (newest placement.NamedLimit, ok bool) {
	newest, retryAfter, ok := f.cfg.TargetLimits.AdmitToTarget(ctx, p.Target, *p.Limit)
	f.cfg.Metrics.TargetCredit(ok)
	f.applyLimit(p.Target, newest)
	if !ok {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cfg.Balancer.LimitReached(time.Now(), p.Target, retryAfter)
	}
	return newest, ok
}

// applyLimit records what the target said of its limit to any entry VM.
func (f *Relay) applyLimit(t placement.Target, newest placement.NamedLimit) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Balancer.ApplyLimit(now, t, newest) {
		_ = f.cfg.Log.Log("msg", "limit of a target told by another entry VM", "target", t.Name, "in_force", newest.InForce, "per_second", newest.PerSecond, "heard_ms", now.Sub(newest.HeardAt).Milliseconds()) // the log writer counts dropped lines
	}
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
func (f *Relay) reportResult(ctx context.Context, x *exchange, e *attemptResult, began, sentAt time.Time) {
	heard := f.recordAttempt(ctx, x, e, began, sentAt)
	f.logNotice(e.pick.Target, heard)
}

// recordAttempt is reportResult without the log line of what the target said of itself.
func (f *Relay) recordAttempt(ctx context.Context, x *exchange, e *attemptResult, began, sentAt time.Time) (heard heardNotice) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := outcomeOf(ctx, *e, sentAt, now)
	f.linkLog.note(now, e.pick.Target.Name, outcome)
	report := placement.Report{Outcome: f.noteLinks(now, began, e.pick.Target.Name, outcome), Route: x.route.Name, Key: x.affinityKey()}
	f.poisonFilter.attemptEnded(now, x.fingerprints, x.verdict, e.pick.Target, sentAt, report.Outcome)
	if !sentAt.IsZero() {
		report.Latency = now.Sub(sentAt)
	}
	heard = f.recordNotice(now, e, sentAt)
	if planted.Defect == planted.LockOrder && heard.changed.Leaving {
		f.storeAge()
	}
	if e.info.Load.Unreadable {
		f.cfg.Metrics.LoadUnreadable()
	}
	if load := e.info.Load; load.Known {
		report.LoadKnown, report.Running, report.Waiting = true, load.Running, load.Waiting
		report.Slowdown = float64(load.RunTimePercent) / 100
		if !e.notRun {
			report.Running-- // the target's count includes the request that it responds to
		}
	}
	e.report = report
	if report.Outcome == placement.Shed {
		x.recordShed(now, report, e.pick.Target.Slots)
	}
	if sentAt.IsZero() {
		f.cfg.Balancer.NotSent(now, e.pick.Target, report.Outcome, e.pick.Trial)
		return heard
	}
	f.cfg.Balancer.RequestEnded(now, e.pick.Target, report, e.pick.Trial, e.pick.Wait > 0)
	return heard
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
	case errors.Is(e.err, upstream.ErrConnectionLimit), errors.Is(e.err, errNoCredit), errors.Is(e.err, errTurnedCold), errors.Is(e.err, upstream.ErrWithdrawn), errors.Is(e.err, upstream.ErrNoConnection):
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
