package admit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/health"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// role is this entry VM's role in a pool.
type role uint8

const (
	roleNotOwner   role = iota // another entry VM owns the pool
	roleTakingOver             // finding out which slots are in use before granting any
	roleOwner                  // accounting for the slots and granting them
)

// resultKind says how a slot request ended.
type resultKind uint8

const (
	resultGranted resultKind = iota
	resultRefused
	resultNotOwner    // the asked entry VM does not own the pool
	resultUnreachable // the asked entry VM did not respond
)

// result is the result of a slot request.
type result struct {
	kind    resultKind
	slot    slot
	refusal *steering.Refusal
	owner   steering.VM // owner in the view of the asked VM, with resultNotOwner
}

// issued is a grant as recorded by the pool's owner.
type issued struct {
	id          pool.GrantID
	slotRequest string
	holder      holder
	target      steering.Target
	checkAt     time.Time
	checkAfter  time.Duration
}

// waiting is a queued slot request.
type waiting struct {
	slotRequest slotRequest
	result      chan result // buffered, capacity 1
}

// poolState is this entry VM's state of one pool, whether or not it owns the
// pool. Learned limits and health of the targets are kept while another entry VM
// owns it.
type poolState struct {
	key          poolKey
	newGrantName func() string
	checkAfter   time.Duration
	self         steering.VM
	metrics      *metrics

	mu             sync.Mutex
	role           role
	term           int           // incremented at each role change
	changed        chan struct{} // closed and replaced at each role change
	class          routing.Criticality
	pool           *pool.Pool
	waiting        map[pool.Ticket]waiting
	issued         map[string]*issued
	releasedEarly  map[string]bool    // grants released during a takeover, before they were adopted
	surveyed       incarnations       // members already asked which grants they hold
	previousGrants map[string]*issued // own grants before the running takeover
	targetHealth   targetHealth
	timerAt        time.Time // when the expiry timer fires; zero if none is set
}

func newPoolState(key poolKey, now time.Time, cfg *Config, self steering.VM, m *metrics, newGrantName func() string) *poolState {
	return &poolState{
		key:           key,
		newGrantName:  newGrantName,
		checkAfter:    cfg.CheckAfter,
		self:          self,
		metrics:       m,
		targetHealth:  newTargetHealth(),
		changed:       make(chan struct{}),
		pool:          pool.New(now, cfg.Pool),
		waiting:       map[pool.Ticket]waiting{},
		issued:        map[string]*issued{},
		releasedEarly: map[string]bool{},
	}
}

// acquire gets a slot of the pool, waiting in its queue if needed. During a
// takeover it first waits for the end of the takeover. The result is
// resultNotOwner if another entry VM owns the pool.
func (p *poolState) acquire(ctx context.Context, a slotRequest) result {
	p.mu.Lock()
	for p.role == roleTakingOver {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return cancelledResult(ctx)
		}
		p.mu.Lock()
	}
	if p.role != roleOwner {
		p.mu.Unlock()
		return result{kind: resultNotOwner}
	}
	a.class = p.classOf(a)
	d := p.pool.Acquire(time.Now(), pool.Request{Class: a.class, CrossZone: a.foreign, NoAlternative: a.patient, Deadline: a.deadline, Avoid: a.avoid})
	switch d.Verdict {
	case pool.Granted:
		s := p.issue(d.Grant, a, d.Target)
		p.mu.Unlock()
		return result{kind: resultGranted, slot: s}
	case pool.Refused:
		refusal := p.refusal(d.Reason, d.RetryAfter)
		p.mu.Unlock()
		return result{kind: resultRefused, refusal: refusal}
	}
	w := waiting{slotRequest: a, result: make(chan result, 1)}
	p.waiting[d.Ticket] = w
	p.scheduleExpiry()
	p.mu.Unlock()
	return p.wait(ctx, d.Ticket, w)
}

// classOf returns the criticality of a slot request. A link carries requests of
// every criticality; a pool of targets has the criticality of its service.
func (p *poolState) classOf(a slotRequest) routing.Criticality {
	if p.key.isLink() {
		return a.class
	}
	return p.class
}

func (p *poolState) wait(ctx context.Context, ticket pool.Ticket, w waiting) result {
	select {
	case got := <-w.result:
		return got
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case got := <-w.result: // resolved before the lock was taken
		if got.kind == resultGranted {
			p.end(got.slot.grant, unusedPoolOutcome())
		}
	default:
		p.pool.Cancel(ticket)
		delete(p.waiting, ticket)
	}
	return cancelledResult(ctx)
}

// unusedPoolOutcome returns the pool outcome of a grant that was never used.
func unusedPoolOutcome() pool.Outcome {
	return pool.Outcome{End: pool.EndUnreachable, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}
}

func cancelledResult(ctx context.Context) result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result{kind: resultRefused, refusal: deadlineRefusal()}
	}
	return result{kind: resultRefused, refusal: steering.Refuse(steering.ReasonCancelled, 0, "the caller went away while waiting for a slot")}
}

func deadlineRefusal() *steering.Refusal {
	return steering.Refuse(steering.ReasonDeadline, 0, "the deadline passed while waiting for a slot")
}

// refusal returns the refusal of a slot request to this pool. The caller holds mu.
func (p *poolState) refusal(reason steering.Reason, retryAfter time.Duration) *steering.Refusal {
	if p.key.isLink() {
		return steering.Refuse(steering.ReasonLinkFull, retryAfter, fmt.Sprintf("link into place %s", p.key.place))
	}
	return steering.Refuse(p.rampReason(reason), retryAfter, fmt.Sprintf("service %s at place %s", p.key.service, p.key.place))
}

// issue records a grant. The caller holds mu.
func (p *poolState) issue(id pool.GrantID, a slotRequest, target routing.Target) slot {
	grant := p.newGrantName()
	p.issued[grant] = &issued{
		id: id, slotRequest: a.id, holder: a.holder, target: target.Name,
		checkAt: time.Now().Add(p.checkAfter), checkAfter: p.checkAfter,
	}
	return slot{grant: grant, owner: p.self, target: target}
}

// release ends a grant and records the outcome for the target's health. It
// ignores an unknown grant.
func (p *poolState) release(grant string, o seam.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.issued[grant]; ok && !p.key.isLink() {
		p.recordOutcome(time.Now(), known.target, o.Kind)
	}
	p.end(grant, poolOutcome(o))
}

// end frees a grant's slot. During a takeover it records the end of an unknown
// grant, so that the grant isn't adopted later. The caller holds mu.
func (p *poolState) end(grant string, o pool.Outcome) {
	known, ok := p.issued[grant]
	if !ok {
		if p.role == roleTakingOver {
			p.releasedEarly[grant] = true
		}
		return
	}
	delete(p.issued, grant)
	p.applyEffects(p.pool.Release(time.Now(), known.id, o))
}

// applyEffects resolves the waiting slot requests that a call on the pool served
// or dropped. The caller holds mu.
func (p *poolState) applyEffects(e pool.Effects) {
	for _, d := range e.Dropped {
		p.reply(d.Ticket, result{kind: resultRefused, refusal: p.refusal(d.Reason, d.RetryAfter)})
	}
	for _, s := range e.Served {
		w := p.waiting[s.Ticket]
		p.reply(s.Ticket, result{kind: resultGranted, slot: p.issue(s.Grant, w.slotRequest, s.Target)})
	}
}

func (p *poolState) reply(ticket pool.Ticket, a result) {
	p.waiting[ticket].result <- a
	delete(p.waiting, ticket)
}

// configure applies the pool's configured targets; stopped reports whether a
// planned stop covers a target.
func (p *poolState) configure(w poolConfig, stopped func(steering.Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.class = w.class
	now := time.Now()
	p.applyEffects(p.pool.SetTargets(now, w.targets, stopped))
	if !p.key.isLink() {
		p.declareTargets(now, w.targets)
	}
}

// scheduleExpiry sets a timer for the next waiting slot request that expires.
// Upkeep rounds alone would refuse it tens of milliseconds late, time in which
// another zone could have served the request. The caller holds mu.
func (p *poolState) scheduleExpiry() {
	next, ok := p.pool.NextTick()
	if !ok || !p.timerAt.IsZero() && !next.Before(p.timerAt) {
		return
	}
	p.timerAt = next
	time.AfterFunc(time.Until(next), func() { p.expireWaiting(next) })
}

// expireWaiting refuses the waiting slot requests that have expired.
func (p *poolState) expireWaiting(due time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.timerAt.Equal(due) {
		return // replaced by an earlier timer
	}
	p.timerAt = time.Time{}
	p.applyEffects(p.pool.Tick(time.Now()))
	if len(p.waiting) > 0 {
		p.scheduleExpiry()
	}
}

// tick applies time-based changes: health and ramps if this entry VM owns the
// pool, and expiry of waiting requests, old reports and lowered limits.
func (p *poolState) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.role == roleOwner {
		p.updateRamps(now)
	}
	if next, ok := p.pool.NextTick(); ok && !next.After(now) {
		p.applyEffects(p.pool.Tick(now))
	}
}

// stats returns the pool's statistics and its draining targets, appended to
// draining. ok is false unless this entry VM owns the pool.
func (p *poolState) stats(draining []pool.Draining) (s pool.Stats, left []pool.Draining, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return pool.Stats{}, nil, false
	}
	return p.pool.Stats(), p.pool.Draining(draining), true
}

func (p *poolState) free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Free()
}

// targets returns the configured targets.
func (p *poolState) targets() []routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Targets(nil)
}

// targetsToQuery returns the targets whose load endpoint has to be read: those that
// may still run abandoned requests, and those ejected or on trial, which get few or
// no requests that would show their state.
func (p *poolState) targetsToQuery() []routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return nil
	}
	query := p.pool.Unverified(nil)
	for _, t := range p.pool.Targets(nil) {
		listed := func(q routing.Target) bool { return q.Name == t.Name }
		if p.targetHealth.tracker.State(t.Name) == health.Trial && !slices.ContainsFunc(query, listed) {
			query = append(query, t)
		}
	}
	return query
}

// applyLoads applies the loads that targets reported.
func (p *poolState) applyLoads(loads map[steering.Target]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, load := range loads {
		p.applyLoad(time.Now(), target, load)
	}
}
