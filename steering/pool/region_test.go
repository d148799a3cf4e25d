package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
	"heatherlock/steering/spill"
)

const (
	regionService  = steering.Service("tickets")
	maxForeignWait = 100 * time.Millisecond
)

// receiver is a place that requests are forwarded to: its link, its slots, and the test's own
// counts of both.
type receiver struct {
	name           steering.Place
	link           *pool.Pool
	slots          *pool.Pool
	waiting        map[pool.Ticket]*forwarded // requests that wait for a slot
	running        map[steering.Target]int
	onLink         int
	limit          int
	slotsPerTarget int
}

// forwarded is a request that was forwarded to a receiver.
type forwarded struct {
	at     *receiver
	link   pool.GrantID
	slot   pool.GrantID
	target steering.Target
	since  time.Time
}

// region consists of several receivers and of the senders that forward requests to them, each with
// its own hints, which may be outdated.
type region struct {
	now       time.Time
	receivers []*receiver
	senders   []*spill.Table
	running   []*forwarded
	refused   int
}

func newRegion(t *rapid.T) *region {
	g := &region{now: time.Unix(1_000_000, 0)}
	for i := range rapid.IntRange(1, 3).Draw(t, "receivers") {
		r := &receiver{
			name: steering.Place(fmt.Sprint("place-", i)), waiting: map[pool.Ticket]*forwarded{}, running: map[steering.Target]int{},
			limit: rapid.IntRange(1, 12).Draw(t, "link"), slotsPerTarget: rapid.IntRange(1, 4).Draw(t, "slots"),
		}
		cfg := pool.Config{MaxWait: 500 * time.Millisecond, CrossZoneMaxWait: maxForeignWait}
		r.slots = pool.New(g.now, cfg)
		r.link = pool.New(g.now, pool.Config{QueuePerSlot: -1})
		var targets []routing.Target
		for k := range rapid.IntRange(1, 4).Draw(t, "targets") {
			targets = append(targets, routing.Target{Name: steering.Target(fmt.Sprintf("t-%d-%d", i, k)), Slots: r.slotsPerTarget})
		}
		r.slots.SetTargets(g.now, targets, nil)
		r.link.SetTargets(g.now, []routing.Target{{Name: "link", Slots: r.limit}}, nil)
		g.receivers = append(g.receivers, r)
	}
	for range rapid.IntRange(1, 3).Draw(t, "senders") {
		g.senders = append(g.senders, spill.NewTable(spill.Params{}))
	}
	return g
}

// MoveRegion forwards the requests of a whole region at once.
func (g *region) MoveRegion(t *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(t, "requests") {
		g.send(t, rapid.SampledFrom(g.senders).Draw(t, "sender"))
	}
}

func (g *region) send(t *rapid.T, table *spill.Table) {
	var candidates []spill.Candidate
	for _, r := range g.receivers {
		candidates = append(candidates, spill.Candidate{Place: r.name})
	}
	for _, name := range table.Order(regionService, candidates, g.now) {
		i := slices.IndexFunc(g.receivers, func(r *receiver) bool { return r.name == name })
		if g.admit(t, g.receivers[i]) {
			return
		}
		table.RecordRefusal(spill.Pool{Place: name, Service: regionService}, steering.ReasonNoSlot, time.Millisecond, g.now)
	}
	g.refused++
}

func (g *region) request() pool.Request {
	return pool.Request{CrossZone: true, Deadline: g.now.Add(2 * time.Second)}
}

// admit reports whether the receiver accepted the request, to run or to wait.
func (g *region) admit(t *rapid.T, r *receiver) bool {
	link := r.link.Acquire(g.now, g.request())
	if link.Verdict != pool.Granted {
		return false
	}
	r.onLink++
	m := &forwarded{at: r, link: link.Grant, since: g.now}
	d := r.slots.Acquire(g.now, g.request())
	switch d.Verdict {
	case pool.Granted:
		g.start(t, m, d.Grant, d.Target.Name)
	case pool.Queued:
		r.waiting[d.Ticket] = m
	default:
		g.releaseLink(m)
		return false
	}
	return true
}

func (g *region) start(t *rapid.T, m *forwarded, id pool.GrantID, target steering.Target) {
	m.slot, m.target = id, target
	m.at.running[target]++
	assert.Assert(t, m.at.running[target] <= m.at.slotsPerTarget, "%s runs more requests than its slots", target)
	g.running = append(g.running, m)
}

func (g *region) releaseLink(m *forwarded) {
	m.at.onLink--
	m.at.link.Release(g.now, m.link, ended(pool.EndSucceeded))
}

func ended(how pool.End) pool.Outcome {
	return pool.Outcome{End: how, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}
}

func (g *region) applyEffects(t *rapid.T, r *receiver, e pool.Effects) {
	for _, d := range e.Dropped {
		g.releaseLink(r.waiting[d.Ticket])
		delete(r.waiting, d.Ticket)
		g.refused++
	}
	for _, s := range slices.Clone(e.Served) {
		m := r.waiting[s.Ticket]
		delete(r.waiting, s.Ticket)
		g.start(t, m, s.Grant, s.Target.Name)
	}
}

// Finish ends a running request, successfully or not.
func (g *region) Finish(t *rapid.T) {
	if len(g.running) == 0 {
		t.Skip("no request runs")
	}
	i := rapid.IntRange(0, len(g.running)-1).Draw(t, "request")
	m := g.running[i]
	g.running = slices.Delete(g.running, i, i+1)
	m.at.running[m.target]--
	g.releaseLink(m)
	how := rapid.SampledFrom([]pool.End{pool.EndSucceeded, pool.EndSucceeded, pool.EndFailed, pool.EndUncertain}).Draw(t, "end")
	g.applyEffects(t, m.at, m.at.slots.Release(g.now, m.slot, ended(how)))
}

// Hint gives a sender a hint about free slots, which may be outdated or wrong.
func (g *region) Hint(t *rapid.T) {
	table := rapid.SampledFrom(g.senders).Draw(t, "sender")
	place := rapid.SampledFrom(g.receivers).Draw(t, "receiver").name
	age := time.Duration(rapid.IntRange(0, 6000).Draw(t, "ageMs")) * time.Millisecond
	table.RecordFree(spill.Pool{Place: place, Service: regionService}, rapid.IntRange(0, 50).Draw(t, "free"), g.now.Add(-age))
}

func (g *region) Pass(t *rapid.T) {
	g.now = g.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
	for _, r := range g.receivers {
		g.applyEffects(t, r, r.slots.Tick(g.now))
		r.link.Tick(g.now)
	}
}

func (g *region) Check(t *rapid.T) {
	for _, r := range g.receivers {
		assert.Assert(t, r.onLink <= r.limit, "%d requests on a link with a limit of %d", r.onLink, r.limit)
		for _, m := range r.waiting {
			assert.Assert(t, g.now.Sub(m.since) < maxForeignWait, "a forwarded request waits for %v", g.now.Sub(m.since))
		}
	}
}

// Checks that, whatever is forwarded and however outdated or wrong the hints are, no target gets
// more requests than its slots, no link more than its limit, and a request that is not served soon
// is refused.
func TestRegionIsNotOverloadedByForwardedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegion(t)
		t.Repeat(map[string]func(*rapid.T){
			"MoveRegion": g.MoveRegion, "Finish": g.Finish, "Hint": g.Hint, "Pass": g.Pass, "": g.Check,
		})
	})
}
