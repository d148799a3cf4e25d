package benchbalance

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/pool"
)

// counted is a pool of steering/pool that one entry VM keeps, driven by
// simulated time.
type counted struct {
	z       *zone
	pool    *pool.Pool
	waiting map[pool.Ticket]pending
	timer   bool
	// whole says that the pool counts all slots of its targets, so that load
	// which a target reports beyond it is somebody else's.
	whole bool
	// retryAfter is the time to come back that the last refusal gave.
	retryAfter time.Duration
}

// pending is a request that asked for a slot.
type pending struct {
	r       *request
	granted func(id pool.GrantID, target int)
	refused func()
}

func newCounted(z *zone, slots func(target int) int) *counted {
	c := &counted{z: z, waiting: map[pool.Ticket]pending{}, whole: true}
	for t := range z.targets {
		c.whole = c.whole && (slots(t) == 0 || slots(t) == z.targets[t].slots)
	}
	c.pool = pool.New(z.clock(), pool.Config{
		Choice: z.Choice, QueuePerSlot: z.Queue, MaxWait: z.MaxWait, WaitPart: z.WaitPart, ServiceTime: meanService,
	})
	c.pool.SetTargets(z.clock(), z.declared(slots), nil)
	return c
}

// acquire asks for a slot; exactly one of granted and refused is called, now
// or later.
func (c *counted) acquire(r *request, granted func(pool.GrantID, int), refused func()) {
	c.ask(r, c.z.Patient, granted, refused)
}

func (c *counted) ask(r *request, patient bool, granted func(pool.GrantID, int), refused func()) {
	var avoid []steering.Target
	for _, t := range r.tried {
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
		c.waiting[d.Ticket] = pending{r, granted, refused}
		c.wake()
	}
}

func (c *counted) release(id pool.GrantID, ran bool, reported int) {
	o := pool.Outcome{ReportedInFlight: reported, ReportedSlots: pool.NoReport}
	if !c.whole {
		o.ReportedInFlight = pool.NoReport
	}
	if !ran {
		o.End = pool.EndShed
	}
	c.settle(c.pool.Release(c.z.clock(), id, o))
}

// giveBack returns a grant that was not used.
func (c *counted) giveBack(id pool.GrantID) {
	c.settle(c.pool.Release(c.z.clock(), id, pool.Outcome{
		End: pool.EndUnreachable, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport,
	}))
}

// settle tells waiting requests how they fared. Their reactions may use the
// pool again, so the effects are taken out of it first.
func (c *counted) settle(e pool.Effects) {
	var calls []func()
	for _, d := range e.Dropped {
		p := c.take(d.Ticket)
		after := d.RetryAfter
		calls = append(calls, func() {
			c.retryAfter = after
			p.refused()
		})
	}
	for _, s := range e.Served {
		p := c.take(s.Ticket)
		id, target := s.Grant, targetIndex(s.Target.Name)
		calls = append(calls, func() { p.granted(id, target) })
	}
	for _, call := range calls {
		call()
	}
	c.wake()
}

func (c *counted) take(ticket pool.Ticket) pending {
	p := c.waiting[ticket]
	delete(c.waiting, ticket)
	c.z.unqueue(p.r)
	return p
}

// tickEvery is the grain at which time acts on a pool.
const tickEvery = 5 * time.Millisecond

func (c *counted) wake() {
	if c.timer {
		return
	}
	if _, ok := c.pool.NextTick(); !ok {
		return
	}
	c.timer = true
	c.z.after(tickEvery, func() {
		c.timer = false
		if next, ok := c.pool.NextTick(); ok && !next.After(c.z.clock()) {
			c.settle(c.pool.Tick(c.z.clock()))
			return
		}
		c.wake()
	})
}

// next takes the request that waited longest out of the queue.
func (c *counted) next() (pending, bool) {
	var first pool.Ticket
	var best pending
	for ticket, p := range c.waiting {
		if first == 0 || p.r.id < best.r.id {
			first, best = ticket, p
		}
	}
	if first == 0 || !c.pool.Cancel(first) {
		return pending{}, false
	}
	delete(c.waiting, first)
	c.z.unqueue(best.r)
	return best, true
}

// inOrder returns all waiting requests, oldest first.
func (c *counted) inOrder() []pending {
	all := slices.Collect(maps.Values(c.waiting))
	slices.SortFunc(all, func(a, b pending) int { return a.r.id - b.r.id })
	return all
}
