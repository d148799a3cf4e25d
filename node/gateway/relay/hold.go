package relay

import (
	"context"
	"slices"
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
	"heatherlock/steering/waiting"
)

// holdState is what an exchange knows of its waiting in this VM.
type holdState struct {
	since time.Time // when it began to wait; zero if it has not waited
	total time.Duration
	end   string // how the last wait ended, for the log
}

// longHold is the waiting time from which on a request that was served is logged: most latency objectives of
// urgent routes are shorter.
const longHold = 500 * time.Millisecond

// drainRetryAfter is the Retry-After of waiting requests that this VM refuses because it is shutting down.
// Other VMs may place them at once.
const drainRetryAfter = 100 * time.Millisecond

// startOrHold starts an attempt. If the request's target has no room, it waits in this VM until there is, as
// long as it is likely to start in time. It returns why no attempt was started.
func (x *exchange) startOrHold(caller, work context.Context) *placement.Refusal {
	refusal := x.startAfterCheck(caller, work)
	if refusal != nil && refusal.Reason == steering.ReasonNoSlot {
		if retryAfter, ok := x.admitToShare(); !ok {
			refusal = &placement.Refusal{Reason: steering.ReasonOverShare, RetryAfter: retryAfter, Wait: refusal.Wait, WarmRunTime: refusal.WarmRunTime}
			x.noCapacity = refusal
		}
	}
	if refusal == nil || !x.mayHold(refusal) {
		return refusal
	}
	return x.hold(caller, work, refusal)
}

// startAfterCheck is startAttempt for a request that may have waited here. If it then finds no target while this
// VM finds out whether it is cut off from all targets, it waits for the result: all that wait are woken when
// the links break, and once the VM knows that they are cut, another VM can take them.
func (x *exchange) startAfterCheck(caller, work context.Context) *placement.Refusal {
	refusal := x.startAttempt(work)
	for refusal != nil && refusal.Reason == steering.ReasonNoTarget && x.waited() && x.f.linksChecking() && time.Until(x.deadline) > linkRecheck {
		if !waitUntil(caller, time.Now().Add(linkRecheck), nil) && caller.Err() != nil {
			return &placement.Refusal{Reason: steering.ReasonCancelled}
		}
		refusal = x.startAttempt(work)
	}
	return refusal
}

// waited reports whether the request has waited in this VM for room.
func (x *exchange) waited() bool { return x.held.total > 0 || !x.held.since.IsZero() }

func (f *Relay) linksChecking() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links.Checking()
}

// mayHold reports whether a request that was refused may wait: nothing of it runs or may have run, and its
// service is shared by routes that differ in how long they may wait.
func (x *exchange) mayHold(refusal *placement.Refusal) bool {
	return refusal.Reason == steering.ReasonNoSlot && refusal.Room.Target != "" && x.running == 0 && !x.maybeRan &&
		!x.f.holds.draining.Load()
}

// hold is startOrHold for a request that was refused.
func (x *exchange) hold(caller, work context.Context, refusal *placement.Refusal) *placement.Refusal {
	woken := make(chan wake, 1)
	var e waiting.Entry
	for {
		retryAfter, held := x.offerHold(&e, refusal, woken)
		if !held {
			refusal.RetryAfter = retryAfter
			return x.endHold(e.ID, refusal, "no_room_in_time")
		}
		why, ended := x.awaitRoom(caller, woken)
		if ended != nil {
			return x.endHold(e.ID, ended, string(ended.Reason))
		}
		refusal = x.startAfterCheck(caller, work)
		switch {
		case refusal == nil:
			x.heldUntilStart(e.ID)
			return nil
		case (why == wakeDraining || why == wakeOriginLeaves) && refusal.Reason != steering.ReasonCancelled:
			refusal = &placement.Refusal{Reason: steering.ReasonShuttingDown, RetryAfter: drainRetryAfter}
			return x.endHold(e.ID, refusal, string(refusal.Reason))
		case !x.mayHold(refusal):
			return x.endHold(e.ID, refusal, string(refusal.Reason))
		}
	}
}

// forgetShed lets the request go to the same target again that refused it, if the service's requests wait here
// for room: their keys are warm there, and the queue of the target, which was full, gets shorter.
func (x *exchange) forgetShed(e attemptResult) {
	if !e.notRun || e.unsent || e.info.WrongTarget || e.info.Rest > 0 || x.f.holds.draining.Load() || !x.f.holdsRequests(x.service) {
		return
	}
	x.tried = slices.DeleteFunc(slices.Clone(x.tried), func(t steering.Target) bool { return t == e.pick.Target.Name })
}

func (f *Relay) holdsRequests(service steering.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Balancer.Holds(time.Now(), service)
}

// awaitRoom waits until the request may be placed again, or returns why it must not be.
func (x *exchange) awaitRoom(caller context.Context, woken chan wake) (wake, *placement.Refusal) {
	for {
		replaced := x.f.replaced.changed()
		if reason := x.matchAgain(); reason != "" {
			return 0, &placement.Refusal{Reason: reason, RetryAfter: notReadyRetryAfter}
		}
		select {
		case why := <-woken:
			return why, nil
		case <-replaced:
		case <-caller.Done():
			return 0, &placement.Refusal{Reason: steering.ReasonCancelled}
		}
	}
}

// offerHold puts the request into the queue, to start while it can be in time, or once it cannot, while it can
// be served at all. If it is not likely to start by then, it returns when room is expected.
func (x *exchange) offerHold(e *waiting.Entry, refusal *placement.Refusal, woken chan wake) (time.Duration, bool) {
	now := time.Now()
	used := x.timeUsed()
	e.Service, e.Rank, e.Arrived, e.Returned = x.service, x.workspace.RankOr(x.route.Rank), x.r.Received, used > 0
	e.Bytes = len(x.r.Body) + heldOverhead
	if x.workspace != nil {
		e.Workspace = x.workspace.Name
	}
	e.Target, e.RoomAt, e.Interval = refusal.Room.Target, now.Add(refusal.Room.In), refusal.Room.Interval
	e.LatestStart = x.r.Received.Add(x.route.Aim - used - replyMargin - refusal.Room.Run)
	if e.Late = x.route.Aim <= 0 || !e.LatestStart.After(now); e.Late {
		e.LatestStart = x.deadline.Add(-refusal.Room.Run)
	}
	if stop := x.stopsAt(); !stop.IsZero() && stop.Add(-refusal.Room.Run).Before(e.LatestStart) {
		e.LatestStart = stop.Add(-refusal.Room.Run)
	}
	from := steering.VM("")
	if x.hop != nil {
		from = x.hop.from
	}
	held, full, retryAfter := x.f.holds.offer(e, woken, from)
	if full {
		x.f.cfg.Metrics.HoldsFull()
	}
	if held && x.held.since.IsZero() {
		x.held.since = now
		x.f.cfg.Metrics.Held()
	}
	return retryAfter, held
}

// timeUsed returns the time that the caller had used before the request arrived, if it sent it before.
func (x *exchange) timeUsed() time.Duration {
	if x.hop != nil {
		return 0 // the VM that passed the request on lowers its deadline
	}
	counts := x.f.outcomeCounts
	counts.mu.Lock()
	defer counts.mu.Unlock()
	return counts.tally.TimeUsed(kindOf(x.route, x.service), x.call.Deadline)
}

// heldUntilStart records that the request started after it waited.
func (x *exchange) heldUntilStart(id uint64) {
	x.f.holds.end(id, true)
	x.recordHold("started")
	if x.held.total >= longHold && x.f.holds.mayLog(time.Now()) {
		x.f.logRequest("waited for room", x.requestInfo(x.call), "", x.detail())
	}
}

// endHold records that the request leaves the queue without having started. A refusal is logged with the
// time that it waited.
func (x *exchange) endHold(id uint64, refusal *placement.Refusal, end string) *placement.Refusal {
	x.f.holds.end(id, false)
	x.recordHold(end)
	return refusal
}

// recordHold records the end of a wait, unless the request has not waited.
func (x *exchange) recordHold(end string) {
	if x.held.since.IsZero() {
		return
	}
	waited := time.Since(x.held.since)
	x.held = holdState{total: x.held.total + waited, end: end}
	x.f.cfg.Metrics.HoldEnded(end, waited)
}

// matchAgain finds the route and the workspace again if the configuration was replaced while the request
// waited, and returns a reason to refuse it if it must not run by the newer one. The request has not run, so
// that the newer configuration can apply to all of it.
func (x *exchange) matchAgain() steering.Reason {
	if x.f.table.Load() == x.table {
		return ""
	}
	e, reason := x.f.match(x.r, x.call)
	if x.hop != nil {
		e, reason = x.f.matchPassedOn(x.r, x.hop)
	}
	if reason != "" {
		return reason
	}
	x.routeMatch = e
	if e.workspace != nil {
		platform.SetWorkspace(x.header, e.workspace.Name)
	}
	if limit := x.r.Received.Add(x.timeLimit()); limit.Before(x.deadline) {
		x.deadline = limit
	}
	x.maxAttempts = min(x.maxAttempts, e.route.MaxAttempts)
	if !slices.ContainsFunc(e.route.Parts, func(p routes.WeightedService) bool { return p.Service == x.service && p.Weight > 0 }) {
		x.service = e.route.Service()
	}
	return ""
}
