package benchbalance

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/pool"
)

// localPool is a steering/pool.Pool that one entry VM keeps, driven by simulated time.
type localPool struct {
	z        *zone
	pool     *pool.Pool
	waiting  map[pool.Ticket]queuedRequest
	timerSet bool
	// ownsAllSlots is set if the pool counts all slots of its targets. Only then does load that a
	// target reports beyond the pool's own count come from somewhere else, so that the pool has to
	// be given such reports.
	ownsAllSlots bool
	// retryAfter is the retry delay of the last refusal.
	retryAfter time.Duration
}

// queuedRequest is a request that waits for a slot, with the functions to call at its end.
type queuedRequest struct {
	r       *request
	granted func(id pool.GrantID, target int)
	refused func()
}

// newLocalPool returns a pool that may use slots(t) slots of each target t.
func newLocalPool(z *zone, slots func(target int) int) *localPool {
	c := &localPool{z: z, waiting: map[pool.Ticket]queuedRequest{}, ownsAllSlots: true}
	for t := range z.targets {
		c.ownsAllSlots = c.ownsAllSlots && (slots(t) == 0 || slots(t) == z.targets[t].slots)
	}
	c.pool = pool.New(z.clock(), pool.Config{
		Choice: z.Choice, QueuePerSlot: z.Queue, MaxWait: z.MaxWait, WaitPart: z.WaitPart, ServiceTime: meanServiceTime,
	})
	c.pool.SetTargets(z.clock(), z.poolTargets(slots), nil)
	return c
}

// acquire asks for a slot. It calls exactly one of granted and refused, at once or later.
func (c *localPool) acquire(r *request, granted func(pool.GrantID, int), refused func()) {
	c.acquirePatient(r, c.z.Patient, granted, refused)
}

// acquirePatient is acquire with an explicit patient, which replaces the zone's Params.Patient.
func (c *localPool) acquirePatient(r *request, patient bool, granted func(pool.GrantID, int), refused func()) {
	var avoid []steering.Target
	for _, t := range r.triedTargets {
		avoid = append(avoid, targetName(t))
	}
	d := c.pool.Acquire(c.z.clock(), pool.Request{Deadline: epoch.Add(r.deadline), Avoid: avoid, CrossZone: r.foreign, NoAlternative: patient})
	switch d.Verdict {
	case pool.Granted:
		granted(d.Grant, targetIndex(d.Target.Name))
	case pool.Refused:
		c.retryAfter = d.RetryAfter
		refused()
	case pool.Queued:
		c.z.queue(r)
		c.waiting[d.Ticket] = queuedRequest{r, granted, refused}
		c.scheduleTick()
	}
}

// release returns a slot. ran is false if the target shed the request; reported is how many requests
// the target ran when it answered.
func (c *localPool) release(id pool.GrantID, ran bool, reported int) {
	o := pool.Outcome{ReportedInFlight: reported, ReportedSlots: pool.NoReport}
	if !c.ownsAllSlots {
		o.ReportedInFlight = pool.NoReport
	}
	if !ran {
		o.End = pool.EndShed
	}
	c.applyEffects(c.pool.Release(c.z.clock(), id, o))
}

// returnUnused returns a grant that isn't needed any more, with no load report.
func (c *localPool) returnUnused(id pool.GrantID) {
	c.applyEffects(c.pool.Release(c.z.clock(), id, pool.Outcome{
		End: pool.EndUnreachable, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport,
	}))
}

// applyEffects calls granted or refused of the requests that left the queue. These functions may use
// the pool again, so all of the requests are removed from waiting before the first call.
func (c *localPool) applyEffects(e pool.Effects) {
	var calls []func()
	for _, d := range e.Dropped {
		p := c.removeQueued(d.Ticket)
		after := d.RetryAfter
		calls = append(calls, func() {
			c.retryAfter = after
			p.refused()
		})
	}
	for _, s := range e.Served {
		p := c.removeQueued(s.Ticket)
		id, target := s.Grant, targetIndex(s.Target.Name)
		calls = append(calls, func() { p.granted(id, target) })
	}
	for _, call := range calls {
		call()
	}
	c.scheduleTick()
}

// removeQueued removes and returns the waiting request of a ticket.
func (c *localPool) removeQueued(ticket pool.Ticket) queuedRequest {
	p := c.waiting[ticket]
	delete(c.waiting, ticket)
	c.z.unqueue(p.r)
	return p
}

// tickInterval is the granularity at which the timeouts of a pool take effect.
const tickInterval = 5 * time.Millisecond

// scheduleTick checks the pool's timeouts every tickInterval, as long as it has any.
func (c *localPool) scheduleTick() {
	if c.timerSet {
		return
	}
	if _, ok := c.pool.NextTick(); !ok {
		return
	}
	c.timerSet = true
	c.z.after(tickInterval, func() {
		c.timerSet = false
		if next, ok := c.pool.NextTick(); ok && !next.After(c.z.clock()) {
			c.applyEffects(c.pool.Tick(c.z.clock()))
			return
		}
		c.scheduleTick()
	})
}

// dequeueOldest removes the request with the lowest id from the queue and returns it. It returns false
// if no request waits.
func (c *localPool) dequeueOldest() (queuedRequest, bool) {
	var first pool.Ticket
	var best queuedRequest
	for ticket, p := range c.waiting {
		if first == 0 || p.r.id < best.r.id {
			first, best = ticket, p
		}
	}
	if first == 0 || !c.pool.Cancel(first) {
		return queuedRequest{}, false
	}
	delete(c.waiting, first)
	c.z.unqueue(best.r)
	return best, true
}

// queuedByAge returns all waiting requests by ascending id, which is the order of arrival except for
// the requests of bursts.
func (c *localPool) queuedByAge() []queuedRequest {
	all := slices.Collect(maps.Values(c.waiting))
	slices.SortFunc(all, func(a, b queuedRequest) int { return a.r.id - b.r.id })
	return all
}
