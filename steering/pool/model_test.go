package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

var start = time.Unix(1_000_000, 0)

// modelTarget and modelWaiter are the state of a simple model of a pool, which keeps plain lists
// and searches them linearly.
type modelTarget struct {
	name     steering.Target
	slots    int
	stopped  bool
	ejected  bool
	inFlight int
}

type modelWaiter struct {
	ticket    Ticket
	rank      int
	expiresAt time.Time
	deadline  time.Time
	avoid     []steering.Target
}

// machine applies the same actions to a pool and to the model.
type machine struct {
	pool    *Pool
	now     time.Time
	targets []*modelTarget
	waiters []modelWaiter
	held    map[GrantID]*modelTarget
	order   []GrantID
	// exact is set if the run has only actions that the model covers: no learned limits, reports or
	// lingering requests.
	exact     bool
	ceiling   int
	choice    Choice
	avoidOdds int // of 4: how likely a request avoids each target
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: start, ceiling: NoCeiling, held: map[GrantID]*modelTarget{}, exact: rapid.Bool().Draw(t, "exact")}
	m.choice = Choice(rapid.IntRange(0, int(ChooseLeastRecentlyUsed)).Draw(t, "choice"))
	m.avoidOdds = rapid.IntRange(0, 3).Draw(t, "picky")
	m.pool = New(start, Config{
		Choice:       m.choice,
		QueuePerSlot: rapid.SampledFrom([]float64{-1, 0.5, 4}).Draw(t, "queue"),
		ServiceTime:  10 * time.Millisecond,
	})
	for i := range rapid.IntRange(1, 5).Draw(t, "targets") {
		m.targets = append(m.targets, &modelTarget{
			name:  steering.Target(fmt.Sprintf("t%d", i)),
			slots: rapid.IntRange(1, 4).Draw(t, "slots"),
		})
	}
	m.declare(t)
	return m
}

func (m *machine) target(name steering.Target) *modelTarget {
	i := slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.name == name })
	return m.targets[i]
}

func (m *machine) declare(t *rapid.T) {
	var declared []routing.Target
	for _, target := range m.targets {
		declared = append(declared, routing.Target{Name: target.name, Slots: target.slots})
	}
	stopped := func(name steering.Target) bool { return m.target(name).stopped }
	m.apply(t, m.pool.SetTargets(m.now, declared, stopped))
}

// servable reports whether the model would grant a request a slot.
func (m *machine) servable(avoid []steering.Target) bool {
	if len(m.held) >= m.ceiling {
		return false
	}
	return slices.ContainsFunc(m.targets, func(t *modelTarget) bool {
		return !t.stopped && !t.ejected && t.inFlight < t.slots && !slices.Contains(avoid, t.name)
	})
}

// nextToServe returns the index of the waiter that has to be served next, or -1.
func (m *machine) nextToServe() int {
	best := -1
	for i, w := range m.waiters {
		if !m.servable(w.avoid) {
			continue
		}
		if best < 0 || w.rank < m.waiters[best].rank ||
			w.rank == m.waiters[best].rank && w.expiresAt.Before(m.waiters[best].expiresAt) {
			best = i
		}
	}
	return best
}

func (m *machine) grant(t *rapid.T, id GrantID, name steering.Target, avoid []steering.Target) {
	target := m.target(name)
	assert.Assert(t, m.held[id] == nil, "grant ID %d used twice", id)
	assert.Assert(t, !target.stopped && !target.ejected, "%s must not get new requests", name)
	assert.Assert(t, !slices.Contains(avoid, name), "%s was chosen although the request avoids it", name)
	if m.exact && m.choice == ChooseLeastLoaded {
		m.checkLeastLoaded(t, target, avoid)
	}
	target.inFlight++
	assert.Assert(t, len(m.held) < m.ceiling, "more in flight than the ceiling")
	assert.Assert(t, target.inFlight <= target.slots, "%s is over its slots", name)
	m.held[id] = target
	m.order = append(m.order, id)
}

func (m *machine) checkLeastLoaded(t *rapid.T, chosen *modelTarget, avoid []steering.Target) {
	for _, other := range m.targets {
		if other.stopped || other.ejected || slices.Contains(avoid, other.name) {
			continue
		}
		assert.Assert(t, chosen.inFlight*other.slots <= other.inFlight*chosen.slots,
			"%s was chosen although %s has a smaller fraction of its slots in use", chosen.name, other.name)
	}
}

func (m *machine) remove(t *rapid.T, ticket Ticket) modelWaiter {
	i := slices.IndexFunc(m.waiters, func(w modelWaiter) bool { return w.ticket == ticket })
	assert.Assert(t, i >= 0, "ticket %d was served or dropped, but does not wait", ticket)
	w := m.waiters[i]
	m.waiters = slices.Delete(m.waiters, i, i+1)
	return w
}

// apply updates the model by what a call did to waiting requests, and checks it.
func (m *machine) apply(t *rapid.T, e Effects) {
	for _, d := range e.Dropped {
		m.remove(t, d.Ticket)
		assert.Assert(t, d.RetryAfter > 0, "a refusal must have a RetryAfter")
	}
	for _, s := range e.Served {
		if m.exact {
			nextToServe := m.waiters[m.nextToServe()]
			chosen := m.waiters[slices.IndexFunc(m.waiters, func(w modelWaiter) bool { return w.ticket == s.Ticket })]
			assert.Equal(t, chosen.rank, nextToServe.rank, "served out of order")
			assert.Assert(t, chosen.expiresAt.Equal(nextToServe.expiresAt), "served out of order")
		}
		w := m.remove(t, s.Ticket)
		assert.Assert(t, m.now.Before(w.deadline), "served after its deadline")
		m.grant(t, s.Grant, s.Target.Name, w.avoid)
	}
}

func (m *machine) Acquire(t *rapid.T) {
	r := Request{
		Class:     rapid.SampledFrom([]routing.Criticality{0, 1, 1, 1, 2}).Draw(t, "class"),
		CrossZone: rapid.IntRange(0, 4).Draw(t, "foreign") == 0,
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "deadline")) * time.Millisecond),
	}
	for _, target := range m.targets {
		if rapid.IntRange(0, 3).Draw(t, "avoid") < m.avoidOdds {
			r.Avoid = append(r.Avoid, target.name)
		}
	}
	usable := slices.ContainsFunc(m.targets, func(t *modelTarget) bool { return !t.stopped })
	typical := m.pool.times.typical()
	d := m.pool.Acquire(m.now, r)
	if m.exact {
		mustGrant := m.servable(r.Avoid) && r.Deadline.After(m.now)
		assert.Equal(t, d.Verdict == Granted, mustGrant, "a request must be granted a slot if and only if one is free")
	}
	switch d.Verdict {
	case Granted:
		m.grant(t, d.Grant, d.Target.Name, r.Avoid)
	case Queued:
		assert.Assert(t, usable, "queued although no target can serve it")
		expiresAt := r.Deadline.Add(-typical)
		assert.Assert(t, expiresAt.After(m.now), "queued although it cannot be served in time")
		m.waiters = append(m.waiters, modelWaiter{d.Ticket, rankOf(&r), expiresAt, r.Deadline, r.Avoid})
	case Refused:
		assert.Assert(t, d.RetryAfter > 0 || d.Reason == steering.ReasonDeadline)
	}
}

// Burst makes queues long enough to check their order.
func (m *machine) Burst(t *rapid.T) {
	for range rapid.IntRange(4, 16).Draw(t, "burst") {
		m.Acquire(t)
	}
}

func (m *machine) Release(t *rapid.T) {
	if len(m.order) == 0 {
		t.Skip("no slot is granted")
	}
	i := rapid.IntRange(0, len(m.order)-1).Draw(t, "grant")
	id := m.order[i]
	o := Outcome{ReportedInFlight: NoReport, ReportedSlots: NoReport}
	if !m.exact {
		o.End = End(rapid.IntRange(0, int(EndOrphaned)).Draw(t, "end"))
		o.ReportedInFlight = rapid.IntRange(NoReport, 5).Draw(t, "reported")
		o.ReportedSlots = rapid.IntRange(NoReport, 5).Draw(t, "reportedSlots")
	}
	m.order = slices.Delete(m.order, i, i+1)
	m.held[id].inFlight--
	delete(m.held, id)
	m.apply(t, m.pool.Release(m.now, id, o))
	m.apply(t, m.pool.Release(m.now, id, o)) // released twice: no effect
}

func (m *machine) Cancel(t *rapid.T) {
	if len(m.waiters) == 0 {
		t.Skip("no request waits")
	}
	w := m.waiters[rapid.IntRange(0, len(m.waiters)-1).Draw(t, "waiter")]
	if m.pool.Cancel(w.ticket) {
		m.remove(t, w.ticket)
	}
	assert.Assert(t, !m.pool.Cancel(w.ticket))
}

func (m *machine) Stop(t *rapid.T) {
	target := rapid.SampledFrom(m.targets).Draw(t, "target")
	target.stopped = !target.stopped
	m.declare(t)
}

func (m *machine) Close(t *rapid.T) {
	target := rapid.SampledFrom(m.targets).Draw(t, "target")
	target.ejected = !target.ejected
	m.apply(t, m.pool.SetEjected(m.now, target.name, target.ejected))
}

func (m *machine) Ceiling(t *rapid.T) {
	m.ceiling = rapid.SampledFrom([]int{1, 2, 5, NoCeiling}).Draw(t, "ceiling")
	m.apply(t, m.pool.SetCeiling(m.now, m.ceiling))
}

func (m *machine) Learn(t *rapid.T) {
	if m.exact {
		t.Skip("the model does not cover reports")
	}
	target := rapid.SampledFrom(m.targets).Draw(t, "target")
	if rapid.Bool().Draw(t, "share") {
		m.apply(t, m.pool.SetShare(m.now, target.name, rapid.Float64Range(0, 1).Draw(t, "share")))
		return
	}
	m.apply(t, m.pool.Report(m.now, target.name, rapid.IntRange(0, 5).Draw(t, "inFlight"), rapid.IntRange(0, 5).Draw(t, "slots")))
}

func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.pool.Tick(m.now))
}

// Check compares the pool with the model and runs after every action.
func (m *machine) Check(t *rapid.T) {
	p := m.pool
	inFlight, free, slots := 0, 0, 0
	for i := range p.targets {
		target := &p.targets[i]
		inFlight += target.inFlight
		free += target.freeSlots(p.now)
		if target.accepting(p.now) {
			slots += target.capacity()
		}
		assert.Assert(t, target.limit >= 1 && target.limit <= target.Slots, "limit %d of %d", target.limit, target.Slots)
	}
	pending := len(p.effects.pending)
	assert.Equal(t, p.inFlight, inFlight)
	assert.Equal(t, p.inFlight, len(m.held))
	assert.Equal(t, p.free, free)
	assert.Equal(t, p.slots, slots)
	assert.Equal(t, p.queued, len(m.waiters)-pending)
	m.apply(t, p.Tick(m.now))
	for _, w := range m.waiters {
		assert.Assert(t, w.deadline.After(m.now), "the queue holds a request past its deadline")
		assert.Assert(t, !m.exact || !m.servable(w.avoid), "a slot is free while a request waits for it")
	}
}

// Checks against the model that no target gets more requests than its slots, that waiting requests
// are served in the order of class, origin and deadline and not after their deadline, and that no
// slot is free while a request that may use it waits.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"Acquire": m.Acquire, "Burst": m.Burst, "Release": m.Release, "Cancel": m.Cancel,
			"Stop": m.Stop, "Close": m.Close, "Ceiling": m.Ceiling, "Learn": m.Learn, "Pass": m.Pass, "": m.Check,
		})
	})
}

// Checks that the search past avoided targets, and past waiters that avoid the free targets, finds
// the same as a linear search.
func TestSearchSkipsAvoidedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, ceiling: NoCeiling, held: map[GrantID]*modelTarget{}, exact: true, avoidOdds: 3}
		m.choice = ChooseLeastLoaded
		m.pool = New(start, Config{Choice: m.choice, QueuePerSlot: 10, ServiceTime: time.Millisecond})
		for i := range 12 {
			m.targets = append(m.targets, &modelTarget{name: steering.Target(fmt.Sprint("t", i)), slots: 4})
		}
		m.declare(t)
		for range rapid.IntRange(5, 80).Draw(t, "requests") {
			m.Acquire(t)
		}
		for len(m.order) > 0 {
			m.Release(t)
		}
	})
}
