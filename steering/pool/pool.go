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
	target     int // notReady when the entry is vacant
	at         instant
}

// Pool counts the slots of one pool and queues for them.
type Pool struct {
	cfg   Config
	epoch time.Time
	now   instant

	targets []target
	vacant  []int // entries of targets that left
	byName  map[steering.Target]int
	ready   []int // heap of targets with room

	grants     []grant
	freeGrants []uint32

	waiters     []waiter
	freeWaiters []uint32
	queues      [ranks][]uint32

	free     int
	slots    int
	usable   int // targets that are declared and not stopped
	inFlight int
	ceiling  int // most in flight over all targets
	queued   int
	uses     uint64
	wake     instant // when time alone may change a target's room

	times   serviceTimes
	emptyAt instant // when the queue was empty last
	leanAt  instant // when speeds of targets fade next
	returns instant // when the last refused caller was told to come back

	effects Effects
}

// New returns an empty pool.
func New(now time.Time, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:     cfg,
		epoch:   now,
		byName:  map[steering.Target]int{},
		wake:    never,
		ceiling: NoCeiling,
		times:   newServiceTimes(cfg.ServiceTime),
	}
}

// SetTargets replaces the declared targets and the set of stopped ones. What
// was learned of a target that stays is kept; a target that left keeps its
// grants until they are released. stopped may be nil.
func (p *Pool) SetTargets(now time.Time, targets []routing.Target, stopped func(steering.Target) bool) Effects {
	at := p.begin(now)
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
		p.forgetIfIdle(i)
	}
	p.dispatch(at)
	p.dropUnservable()
	return p.effects
}

// SetShare sets the part of a target's slots that its warm-up allows, 0..1.
// At least one slot stays usable.
func (p *Pool) SetShare(now time.Time, name steering.Target, share float64) Effects {
	return p.change(now, name, func(t *target, _ instant) { t.share = share })
}

// SetCeiling bounds what is in flight over all targets together, at one or
// more. What is in flight above it runs on.
func (p *Pool) SetCeiling(now time.Time, ceiling int) Effects {
	at := p.begin(now)
	p.ceiling = max(1, ceiling)
	p.dispatch(at)
	return p.effects
}

// NoCeiling lets every target use its slots.
const NoCeiling = math.MaxInt

// SetClosed keeps a target from getting new work, or opens it again.
func (p *Pool) SetClosed(now time.Time, name steering.Target, closed bool) Effects {
	return p.change(now, name, func(t *target, _ instant) { t.closed = closed })
}

// Report takes a target's own figures from its load endpoint. They must have
// been read after everything the pool was told so far, or they count requests
// that have ended since.
func (p *Pool) Report(now time.Time, name steering.Target, inFlight, slots int) Effects {
	return p.change(now, name, func(t *target, at instant) { t.report(at, inFlight, slots, &p.cfg) })
}

func (p *Pool) change(now time.Time, name steering.Target, f func(*target, instant)) Effects {
	at := p.begin(now)
	i, ok := p.byName[name]
	if !ok {
		return p.effects
	}
	f(&p.targets[i], at)
	p.refresh(i, at)
	p.dispatch(at)
	return p.effects
}

// Acquire asks for a slot. The request is granted one, queued or refused.
func (p *Pool) Acquire(now time.Time, r Request) Decision {
	at := p.advance(now)
	deadline := r.Deadline.Sub(p.epoch)
	if deadline <= at {
		return Decision{Verdict: Refused, Reason: steering.ReasonDeadline}
	}
	if i := p.next(r.Avoid); i != notReady {
		id := p.take(i, at)
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
	giveUp := deadline - p.times.typical()
	if bound := p.maxWait(at, r); bound > 0 {
		if wait > bound {
			return p.refuse(at, steering.ReasonNoSlot, wait)
		}
		giveUp = min(giveUp, at+bound)
	}
	if p.queued >= p.queueLimit() && !p.makeRoom(at, rank, wait) {
		return p.refuse(at, steering.ReasonQueueFull, wait)
	}
	return Decision{Verdict: Queued, Ticket: p.enqueue(rank, giveUp, r.Avoid)}
}

// makeRoom drops the worst waiter of a lower rank. The drop is reported by
// the next call that returns effects.
func (p *Pool) makeRoom(at instant, rank int, wait time.Duration) bool {
	worst, position := p.worstBelow(rank)
	if position == noWaiter {
		return false
	}
	ticket := p.dequeue(worst, position)
	p.effects.pending = append(p.effects.pending, Dropped{
		Ticket:     ticket,
		Reason:     steering.ReasonQueueFull,
		RetryAfter: p.comeBack(at, wait),
	})
	return true
}

// Cancel removes a waiting request. It returns false when the ticket no
// longer waits: it was served or dropped, and the caller has to look at that.
func (p *Pool) Cancel(ticket Ticket) bool {
	rank, position, ok := p.findWaiter(ticket)
	if !ok {
		return false
	}
	p.dequeue(rank, position)
	return true
}

// Hold registers a slot that is already in use, granted by an earlier owner of
// the pool. It may take a target over its slots: the work is there anyway.
func (p *Pool) Hold(now time.Time, name steering.Target) (GrantID, bool) {
	at := p.advance(now)
	i, ok := p.byName[name]
	if !ok {
		return 0, false
	}
	return p.take(i, at), true
}

// take uses one slot of a target.
func (p *Pool) take(i int, at instant) GrantID {
	t := &p.targets[i]
	t.inFlight++
	p.inFlight++
	p.uses++
	t.used = p.uses
	t.notePeak(at)
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

// Release gives a slot back and serves waiting requests. A grant that was
// released before is ignored, so that a repeated release does no harm.
func (p *Pool) Release(now time.Time, id GrantID, o Outcome) Effects {
	at := p.begin(now)
	generation, g := unpackID(uint64(id))
	if int(g) >= len(p.grants) || p.grants[g].generation != generation {
		return p.effects
	}
	i := p.grants[g].target
	held := at - p.grants[g].at
	p.grants[g].generation++
	p.freeGrants = append(p.freeGrants, g)
	p.learn(&p.targets[i], at, held, o)
	p.refresh(i, at)
	p.forgetIfIdle(i)
	p.dispatch(at)
	return p.effects
}

// learn draws from an outcome what it says about the target, and uncounts the
// request.
func (p *Pool) learn(t *target, at instant, held time.Duration, o Outcome) {
	t.notePeak(at)
	switch o.End {
	case EndShed:
		t.shed(at, &p.cfg)
	case EndFailed:
		p.times.add(held)
		t.addServiceTime(time.Duration(failurePenalty * p.times.mean))
	case EndDone:
		p.times.add(held)
		t.addServiceTime(held)
		t.succeeded()
	}
	t.inFlight--
	p.inFlight--
	if o.ReportedInFlight != NoReport || o.ReportedSlots != NoReport {
		t.report(at, o.ReportedInFlight, o.ReportedSlots, &p.cfg)
	}
	switch o.End {
	case EndUncertain:
		t.uncertain(at, p.cfg.Linger)
	case EndOrphaned:
		t.uncertain(at, p.cfg.OrphanLinger)
	}
}

// Tick lets time act: old reports fade, lowered limits grow back and requests
// that waited too long are dropped.
func (p *Pool) Tick(now time.Time) Effects {
	at := p.begin(now)
	p.lean(at)
	if at >= p.wake {
		p.wake = never
		for i := range p.targets {
			p.targets[i].fade(at)
			p.targets[i].regrow(at)
			p.refresh(i, at)
		}
	}
	p.dispatch(at)
	p.dropUnservable()
	return p.effects
}

// Next returns when Tick has something to do, and false when nothing waits for
// time.
func (p *Pool) Next() (time.Time, bool) {
	next := p.wake
	for _, q := range p.queues {
		if len(q) > 0 {
			next = min(next, p.waiters[q[0]].giveUp)
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

// dispatch drops what waited too long and gives free slots to waiters.
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
	id := p.take(i, at)
	p.effects.Served = append(p.effects.Served, Served{Ticket: ticket, Grant: id, Target: p.targets[i].Target})
}

func (p *Pool) expire(rank int, at instant) {
	for len(p.queues[rank]) > 0 && p.waiters[p.queues[rank][0]].giveUp <= at {
		p.drop(rank, 0, steering.ReasonNoSlot, p.comeBack(at, p.waitFor(rank)))
	}
}

func (p *Pool) drop(rank, position int, reason steering.Reason, retryAfter time.Duration) {
	ticket := p.dequeue(rank, position)
	p.effects.Dropped = append(p.effects.Dropped, Dropped{Ticket: ticket, Reason: reason, RetryAfter: retryAfter})
}

// dropUnservable refuses all waiters once no target is left to serve them.
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
