package pool

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// grant is one slot in use.
type grant struct {
	generation uint32
	target     int     // index in Pool.targets
	at         instant // when the slot was granted
}

// Pool counts the slots in use of one pool and queues requests for them.
type Pool struct {
	cfg   Config
	epoch time.Time
	now   instant

	targets       []target
	vacantTargets []int // unused indexes of targets
	byName        map[steering.Target]int
	ready         []int // heap of the targets with free slots

	grants     []grant
	freeGrants []uint32

	waiters     []waiter
	freeWaiters []uint32
	queues      [ranks][]uint32

	free         int
	slots        int
	usable       int // number of targets that are declared and not stopped
	inFlight     int
	ceiling      int // bound on the requests in flight over all targets
	queued       int
	grantCount   uint64
	nextChangeAt instant // when the free slots of a target may next change without a call

	times       serviceTimes
	lastEmptyAt instant // when the queue was last empty
	nextDecayAt instant // when decayServiceTimes acts next
	lastRetryAt instant // the retry time that the last refused caller got

	effects Effects
}

// New returns a pool without targets.
func New(now time.Time, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:          cfg,
		epoch:        now,
		byName:       map[steering.Target]int{},
		nextChangeAt: never,
		ceiling:      NoCeiling,
		times:        newServiceTimes(cfg.ServiceTime),
	}
}

// SetTargets replaces the declared targets and the set of stopped ones. A target that stays keeps
// what the pool learned about it; a target that is removed keeps its grants until they are
// released. stopped may be nil.
func (p *Pool) SetTargets(now time.Time, targets []routing.Target, stopped func(steering.Target) bool) Effects {
	at := p.beginCall(now)
	for i := range p.targets {
		p.targets[i].declared = false
	}
	for _, declared := range targets {
		t := &p.targets[p.ensureTarget(declared)]
		t.declared = true
		t.stopped = stopped != nil && stopped(declared.Name)
	}
	for i := range p.targets {
		p.refresh(i, at)
		p.removeIfIdle(i)
	}
	p.dispatch(at)
	p.dropUnservable()
	return p.effects
}

// SetShare sets the fraction of a target's slots, from 0 to 1, that it may use while it warms up.
// At least one slot stays usable.
func (p *Pool) SetShare(now time.Time, name steering.Target, share float64) Effects {
	return p.updateTarget(now, name, func(t *target, _ instant) { t.share = share })
}

// SetCeiling bounds the number of requests in flight over all targets together; the minimum is one.
// Requests in flight above the bound keep running.
func (p *Pool) SetCeiling(now time.Time, ceiling int) Effects {
	at := p.beginCall(now)
	p.ceiling = max(1, ceiling)
	p.dispatch(at)
	return p.effects
}

// NoCeiling is the ceiling of a pool that is bounded only by its targets' slots.
const NoCeiling = math.MaxInt

// SetEjected sets whether a target is ejected: an ejected target gets no new requests.
func (p *Pool) SetEjected(now time.Time, name steering.Target, ejected bool) Effects {
	return p.updateTarget(now, name, func(t *target, _ instant) { t.ejected = ejected })
}

// Report applies the figures that a target reports at its load endpoint. They must have been read
// after the last call that changed the pool. Otherwise they count requests that have ended since.
func (p *Pool) Report(now time.Time, name steering.Target, inFlight, slots int) Effects {
	return p.updateTarget(now, name, func(t *target, at instant) { t.applyReport(at, inFlight, slots, &p.cfg) })
}

func (p *Pool) updateTarget(now time.Time, name steering.Target, f func(*target, instant)) Effects {
	at := p.beginCall(now)
	i, ok := p.byName[name]
	if !ok {
		return p.effects
	}
	f(&p.targets[i], at)
	p.refresh(i, at)
	p.dispatch(at)
	return p.effects
}

// Acquire requests a slot. The request is granted one, queued or refused.
func (p *Pool) Acquire(now time.Time, r Request) Decision {
	at := p.advance(now)
	deadline := r.Deadline.Sub(p.epoch)
	if deadline <= at {
		return Decision{Verdict: Refused, Reason: steering.ReasonDeadline}
	}
	if i := p.pickTarget(r.Avoid); i != noIndex {
		id := p.grantSlot(i, at)
		return Decision{Verdict: Granted, Grant: id, Target: p.targets[i].Target}
	}
	if p.usable == 0 {
		return p.refuseUnservable()
	}
	return p.queueOrRefuse(at, deadline, &r)
}

func (p *Pool) queueOrRefuse(at, deadline instant, r *Request) Decision {
	rank := rankOf(r)
	wait := p.waitFor(rank)
	if at+wait+p.times.typical() > deadline {
		return p.refuse(at, steering.ReasonNoSlot, wait)
	}
	expiresAt := deadline - p.times.typical()
	if bound := p.maxWait(at, r); bound > 0 {
		if wait > bound {
			return p.refuse(at, steering.ReasonNoSlot, wait)
		}
		expiresAt = min(expiresAt, at+bound)
	}
	if p.queued >= p.queueLimit() && !p.evictLower(at, rank, wait) {
		return p.refuse(at, steering.ReasonQueueFull, wait)
	}
	return Decision{Verdict: Queued, Ticket: p.enqueue(rank, expiresAt, r.Avoid)}
}

// evictLower drops the last waiting request of the lowest rank below rank. The next call that
// returns Effects reports the drop.
func (p *Pool) evictLower(at instant, rank int, wait time.Duration) bool {
	worst, position := p.worstBelow(rank)
	if position == noWaiter {
		return false
	}
	ticket := p.dequeue(worst, position)
	p.effects.pending = append(p.effects.pending, Dropped{
		Ticket:     ticket,
		Reason:     steering.ReasonQueueFull,
		RetryAfter: p.retryAfter(at, wait),
	})
	return true
}

// Cancel removes a waiting request. It returns false if the request does not wait any more because
// it was served or dropped; the caller has to handle that result.
func (p *Pool) Cancel(ticket Ticket) bool {
	rank, position, ok := p.findWaiter(ticket)
	if !ok {
		return false
	}
	p.dequeue(rank, position)
	return true
}

// RestoreGrant registers a slot that is already in use because an earlier owner of the pool granted
// it. It may exceed the target's slots, because the target runs the request in any case. It returns
// false if the target is unknown.
func (p *Pool) RestoreGrant(now time.Time, name steering.Target) (GrantID, bool) {
	at := p.advance(now)
	i, ok := p.byName[name]
	if !ok {
		return 0, false
	}
	return p.grantSlot(i, at), true
}

// grantSlot grants one slot of a target.
func (p *Pool) grantSlot(i int, at instant) GrantID {
	t := &p.targets[i]
	t.inFlight++
	p.inFlight++
	p.grantCount++
	t.lastUsed = p.grantCount
	t.recordPeak(at)
	p.refresh(i, at)
	g := p.newGrant()
	p.grants[g].target = i
	p.grants[g].at = at
	return GrantID(packID(p.grants[g].generation, g))
}

func (p *Pool) newGrant() uint32 {
	if n := len(p.freeGrants); n > 0 {
		g := p.freeGrants[n-1]
		p.freeGrants = p.freeGrants[:n-1]
		return g
	}
	p.grants = append(p.grants, grant{generation: 1})
	return uint32(len(p.grants) - 1)
}

// Release returns a slot and serves waiting requests. It ignores a grant that was released before,
// so that it may be called repeatedly.
func (p *Pool) Release(now time.Time, id GrantID, o Outcome) Effects {
	at := p.beginCall(now)
	generation, g := unpackID(uint64(id))
	if int(g) >= len(p.grants) || p.grants[g].generation != generation {
		return p.effects
	}
	i := p.grants[g].target
	held := at - p.grants[g].at
	p.grants[g].generation++
	p.freeGrants = append(p.freeGrants, g)
	p.recordOutcome(&p.targets[i], at, held, o)
	p.refresh(i, at)
	p.removeIfIdle(i)
	p.dispatch(at)
	return p.effects
}

// recordOutcome updates what the pool knows about the target by an outcome, and removes the request
// from the requests in flight.
func (p *Pool) recordOutcome(t *target, at instant, held time.Duration, o Outcome) {
	t.recordPeak(at)
	switch o.End {
	case EndShed:
		t.recordShed(at, &p.cfg)
		t.pausedUntil = max(t.pausedUntil, at+o.Rest)
	case EndFailed:
		p.times.add(held)
		t.addServiceTime(time.Duration(failurePenalty * p.times.mean))
	case EndSucceeded:
		p.times.add(held)
		t.addServiceTime(held)
		t.recordSuccess()
	}
	t.inFlight--
	p.inFlight--
	if o.ReportedInFlight != NoReport || o.ReportedSlots != NoReport {
		t.applyReport(at, o.ReportedInFlight, o.ReportedSlots, &p.cfg)
	}
	switch o.End {
	case EndUncertain:
		t.addLingering(at, p.cfg.Linger)
	case EndOrphaned:
		t.addLingering(at, p.cfg.OrphanLinger)
	}
}

// Tick applies the changes that depend on time alone: it expires old reports, raises lowered limits
// and drops requests that waited too long.
func (p *Pool) Tick(now time.Time) Effects {
	at := p.beginCall(now)
	p.decayServiceTimes(at)
	if at >= p.nextChangeAt {
		p.nextChangeAt = never
		for i := range p.targets {
			p.targets[i].expireReports(at)
			p.targets[i].raiseLimit(at)
			p.refresh(i, at)
		}
	}
	p.dispatch(at)
	p.dropUnservable()
	return p.effects
}

// NextTick returns when Tick has to be called next, and false if nothing depends on time.
func (p *Pool) NextTick() (time.Time, bool) {
	next := p.nextChangeAt
	for _, q := range p.queues {
		if len(q) > 0 {
			next = min(next, p.waiters[q[0]].expiresAt)
		}
	}
	if len(p.effects.pending) > 0 {
		next = p.now
	}
	if next == never {
		return time.Time{}, false
	}
	return p.epoch.Add(next), true
}

// dispatch drops the requests that waited too long and grants free slots to waiting requests.
func (p *Pool) dispatch(at instant) {
	for rank := range p.queues {
		p.expire(rank, at)
	}
	for rank := range p.queues {
		for len(p.ready) > 0 && p.inFlight < p.ceiling {
			position := p.firstServable(p.queues[rank], 0)
			if position == noWaiter {
				break
			}
			p.serve(rank, position, at)
		}
	}
}

func (p *Pool) serve(rank, position int, at instant) {
	i := p.bestReady(0, p.waiters[p.queues[rank][position]].avoid)
	ticket := p.dequeue(rank, position)
	id := p.grantSlot(i, at)
	p.effects.Served = append(p.effects.Served, Served{Ticket: ticket, Grant: id, Target: p.targets[i].Target})
}

func (p *Pool) expire(rank int, at instant) {
	for len(p.queues[rank]) > 0 && p.waiters[p.queues[rank][0]].expiresAt <= at {
		p.drop(rank, 0, steering.ReasonNoSlot, p.retryAfter(at, p.waitFor(rank)))
	}
}

func (p *Pool) drop(rank, position int, reason steering.Reason, retryAfter time.Duration) {
	ticket := p.dequeue(rank, position)
	p.effects.Dropped = append(p.effects.Dropped, Dropped{Ticket: ticket, Reason: reason, RetryAfter: retryAfter})
}

// dropUnservable refuses all waiting requests if no target is left that could serve them.
func (p *Pool) dropUnservable() {
	if p.queued == 0 || p.usable > 0 {
		return
	}
	for rank := range p.queues {
		for len(p.queues[rank]) > 0 {
			d := p.refuseUnservable()
			p.drop(rank, 0, d.Reason, d.RetryAfter)
		}
	}
}
