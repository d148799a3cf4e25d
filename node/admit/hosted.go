package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// role is this entry VM's part in a pool.
type role uint8

const (
	roleOther  role = iota // another entry VM counts the pool
	roleTaking             // asking what is in use before counting
	roleOwner              // counting and granting
)

// answerKind says how a waiting ask ended.
type answerKind uint8

const (
	answerGranted answerKind = iota
	answerRefused
	answerMoved       // the entry VM asked does not count the pool
	answerUnreachable // the entry VM asked did not answer
)

type answer struct {
	kind    answerKind
	slot    slot
	refusal *steering.Refusal
	owner   steering.VM // whom the one asked takes for the owner, when moved
}

// issued is a grant as the owner knows it.
type issued struct {
	id         pool.GrantID
	ask        string
	holder     holder
	target     steering.Target
	checkAt    time.Time
	checkAfter time.Duration
}

// waiting is a queued ask.
type waiting struct {
	ask    ask
	answer chan answer // of capacity one
}

// hosted is one pool at this entry VM, whoever owns it. What was learned of
// its targets is kept while another entry VM owns it.
type hosted struct {
	key        poolKey
	newGrant   func() string
	checkAfter time.Duration
	self       steering.VM
	metrics    *metrics

	mu      sync.Mutex
	role    role
	term    int           // grows with each change of role
	changed chan struct{} // closed at each change of role
	class   routing.Criticality
	pool    *pool.Pool
	waiting map[pool.Ticket]waiting
	issued  map[string]*issued
	early   map[string]bool    // released while taking, before they were adopted
	asked   lives              // asked what they hold when counting began
	before  map[string]*issued // granted in the term before, while taking afresh
	judge   judge
	timerAt time.Time // when the timer for waiting asks fires; zero when none is set
}

func newHosted(key poolKey, now time.Time, cfg *Config, self steering.VM, m *metrics, newGrant func() string) *hosted {
	return &hosted{
		key:        key,
		newGrant:   newGrant,
		checkAfter: cfg.CheckAfter,
		self:       self,
		metrics:    m,
		judge:      newJudge(),
		changed:    make(chan struct{}),
		pool:       pool.New(now, cfg.Pool),
		waiting:    map[pool.Ticket]waiting{},
		issued:     map[string]*issued{},
		early:      map[string]bool{},
	}
}

// acquire asks this entry VM's own count of the pool. It returns answerMoved
// when another entry VM counts it.
func (h *hosted) acquire(ctx context.Context, a ask) answer {
	h.mu.Lock()
	for h.role == roleTaking {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return cancelled(ctx)
		}
		h.mu.Lock()
	}
	if h.role != roleOwner {
		h.mu.Unlock()
		return answer{kind: answerMoved}
	}
	a.class = h.classOf(a)
	d := h.pool.Acquire(time.Now(), pool.Request{Class: a.class, Foreign: a.foreign, Patient: a.patient, Deadline: a.deadline, Avoid: a.avoid})
	switch d.Verdict {
	case pool.Granted:
		s := h.issue(d.Grant, a, d.Target)
		h.mu.Unlock()
		return answer{kind: answerGranted, slot: s}
	case pool.Refused:
		refusal := h.refusal(d.Reason, d.RetryAfter)
		h.mu.Unlock()
		return answer{kind: answerRefused, refusal: refusal}
	}
	w := waiting{ask: a, answer: make(chan answer, 1)}
	h.waiting[d.Ticket] = w
	h.schedule()
	h.mu.Unlock()
	return h.wait(ctx, d.Ticket, w)
}

// classOf returns the class of an ask: a link serves work of every class, a
// pool of targets that of its service.
func (h *hosted) classOf(a ask) routing.Criticality {
	if h.key.isLink() {
		return a.class
	}
	return h.class
}

func (h *hosted) wait(ctx context.Context, ticket pool.Ticket, w waiting) answer {
	select {
	case got := <-w.answer:
		return got
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case got := <-w.answer: // answered meanwhile
		if got.kind == answerGranted {
			h.end(got.slot.grant, unsent())
		}
	default:
		h.pool.Cancel(ticket)
		delete(h.waiting, ticket)
	}
	return cancelled(ctx)
}

// unsent is the outcome of a grant that was never used.
func unsent() pool.Outcome {
	return pool.Outcome{End: pool.EndUnreachable, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}
}

func cancelled(ctx context.Context) answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answer{kind: answerRefused, refusal: tooLate()}
	}
	return answer{kind: answerRefused, refusal: steering.Refuse(steering.ReasonCancelled, 0, "the caller went away while waiting for a slot")}
}

func tooLate() *steering.Refusal {
	return steering.Refuse(steering.ReasonDeadline, 0, "the deadline passed while waiting for a slot")
}

// refusal words a refusal of this pool. The caller holds mu.
func (h *hosted) refusal(reason steering.Reason, retryAfter time.Duration) *steering.Refusal {
	if h.key.isLink() {
		return steering.Refuse(steering.ReasonLinkFull, retryAfter, fmt.Sprintf("link into place %s", h.key.place))
	}
	return steering.Refuse(h.rampReason(reason), retryAfter, fmt.Sprintf("service %s at place %s", h.key.service, h.key.place))
}

// issue records a grant. The caller holds mu.
func (h *hosted) issue(id pool.GrantID, a ask, target routing.Target) slot {
	grant := h.newGrant()
	h.issued[grant] = &issued{
		id: id, ask: a.id, holder: a.holder, target: target.Name,
		checkAt: time.Now().Add(h.checkAfter), checkAfter: h.checkAfter,
	}
	return slot{grant: grant, owner: h.self, target: target}
}

// release ends a grant and learns from how it ended; one that is not known is
// ignored.
func (h *hosted) release(grant string, o seam.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.issued[grant]; ok && !h.key.isLink() {
		h.observe(time.Now(), known.target, o.Kind)
	}
	h.end(grant, outcome(o))
}

// end gives a grant's slot back. The caller holds mu.
func (h *hosted) end(grant string, o pool.Outcome) {
	known, ok := h.issued[grant]
	if !ok {
		if h.role == roleTaking {
			h.early[grant] = true
		}
		return
	}
	delete(h.issued, grant)
	h.settle(h.pool.Release(time.Now(), known.id, o))
}

// settle answers the waiting asks that a call on the pool served or dropped.
// The caller holds mu.
func (h *hosted) settle(e pool.Effects) {
	for _, d := range e.Dropped {
		h.reply(d.Ticket, answer{kind: answerRefused, refusal: h.refusal(d.Reason, d.RetryAfter)})
	}
	for _, s := range e.Served {
		w := h.waiting[s.Ticket]
		h.reply(s.Ticket, answer{kind: answerGranted, slot: h.issue(s.Grant, w.ask, s.Target)})
	}
}

func (h *hosted) reply(ticket pool.Ticket, a answer) {
	h.waiting[ticket].answer <- a
	delete(h.waiting, ticket)
}

// configure takes the declared targets and the stopped ones.
func (h *hosted) configure(w wanted, stopped func(steering.Target) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.class = w.class
	now := time.Now()
	h.settle(h.pool.SetTargets(now, w.targets, stopped))
	if !h.key.isLink() {
		h.declare(now, w.targets)
	}
}

// schedule sets a timer for the next waiting ask that has to be given up. The
// rounds of upkeep alone would tell it tens of milliseconds late, which the
// caller could have spent in another zone. The caller holds mu.
func (h *hosted) schedule() {
	next, ok := h.pool.Next()
	if !ok || !h.timerAt.IsZero() && !next.Before(h.timerAt) {
		return
	}
	h.timerAt = next
	time.AfterFunc(time.Until(next), func() { h.expire(next) })
}

// expire gives up waiting asks whose time has come.
func (h *hosted) expire(due time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.timerAt.Equal(due) {
		return // a later timer was replaced by an earlier one
	}
	h.timerAt = time.Time{}
	h.settle(h.pool.Tick(time.Now()))
	if len(h.waiting) > 0 {
		h.schedule()
	}
}

// tick lets time act on the pool.
func (h *hosted) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.role == roleOwner {
		h.grow(now)
	}
	if next, ok := h.pool.Next(); ok && !next.After(now) {
		h.settle(h.pool.Tick(now))
	}
}

// stats returns the pool's state; ok is false while another entry VM counts it.
func (h *hosted) stats(draining []pool.Draining) (s pool.Stats, left []pool.Draining, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return pool.Stats{}, nil, false
	}
	return h.pool.Stats(), h.pool.Draining(draining), true
}

func (h *hosted) free() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Free()
}

// targets returns the declared targets.
func (h *hosted) targets() []routing.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Targets(nil)
}

// uncertain returns targets whose own word is wanted: those that may run work
// that nobody waits for, and those that get no work.
func (h *hosted) uncertain() []routing.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return nil
	}
	return h.pool.Unsure(nil)
}

// report takes loads that targets told.
func (h *hosted) report(loads map[steering.Target]Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for target, load := range loads {
		h.reported(time.Now(), target, load)
	}
}
