package spill

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

var start = time.Unix(1_700_000_000, 0)

const service = steering.Service("tickets")

func pool(p steering.Place) Pool { return Pool{Place: p, Service: service} }

// machine checks every order against a simple model kept beside the table.
type machine struct {
	table    *Table
	now      time.Time
	closed   map[steering.Place]time.Time // the place must not be offered before this time
	openFrom map[steering.Place]time.Time // the place must be offered from this time on
	free     map[steering.Place]int
	at       map[steering.Place]time.Time
	places   []Candidate
}

func (m *machine) drawPlace(t *rapid.T) steering.Place {
	return rapid.SampledFrom(m.places).Draw(t, "place").Place
}

func (m *machine) RecordFree(t *rapid.T) {
	p := m.drawPlace(t)
	free := rapid.IntRange(0, 9).Draw(t, "free")
	at := m.now.Add(-time.Duration(rapid.IntRange(0, 8000).Draw(t, "ageMs")) * time.Millisecond)
	m.table.RecordFree(pool(p), free, at)
	if !at.Before(m.at[p]) {
		m.free[p], m.at[p] = free, at
	}
}

func (m *machine) RecordRefusal(t *rapid.T) {
	p := m.drawPlace(t)
	after := time.Duration(rapid.IntRange(0, 20000).Draw(t, "retryAfterMs")) * time.Millisecond
	reason := rapid.SampledFrom([]steering.Reason{steering.ReasonNoSlot, steering.ReasonPeerUnreachable}).Draw(t, "reason")
	m.table.RecordRefusal(pool(p), reason, after, m.now)
	longest := DefaultMaxBackoff
	if reason == steering.ReasonNoSlot {
		longest = DefaultMaxFullBackoff
	}
	m.closed[p] = m.now.Add(min(max(after, DefaultMinBackoff), longest))
	m.openFrom[p] = m.now.Add(longest)
	m.free[p], m.at[p] = 0, m.now
}

func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) RemoveExpired(*rapid.T) { m.table.RemoveExpired(m.now) }

func (m *machine) Check(t *rapid.T) {
	order := m.table.Order(service, m.places, m.now)
	distance := map[steering.Place]int{}
	for _, c := range m.places {
		distance[c.Place] = c.Distance
		closed := m.now.Before(m.closed[c.Place])
		if closed {
			assert.Assert(t, !slices.Contains(order, c.Place), "%s is in backoff and was offered", c.Place)
		}
		if !m.now.Before(m.openFrom[c.Place]) {
			assert.Assert(t, slices.Contains(order, c.Place), "%s is missing", c.Place)
		}
	}
	last := -1
	for _, p := range order {
		freshAndFull := m.free[p] == 0 && m.now.Sub(m.at[p]) < DefaultHintTTL
		if freshAndFull {
			continue // a full place may follow more distant ones
		}
		assert.Assert(t, distance[p] >= last, "order %v", order)
		last = distance[p]
	}
}

func TestOrderInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{table: NewTable(Params{}), now: start, closed: map[steering.Place]time.Time{}, openFrom: map[steering.Place]time.Time{},
			free: map[steering.Place]int{}, at: map[steering.Place]time.Time{}}
		for i := range 6 {
			m.places = append(m.places, Candidate{Place: steering.Place(fmt.Sprint("p", i)), Distance: i / 2})
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// countFirst counts how often each place comes first in n orders.
func countFirst(table *Table, candidates []Candidate, n int, now time.Time) map[steering.Place]int {
	count := map[steering.Place]int{}
	for range n {
		count[table.Order(service, candidates, now)[0]]++
	}
	return count
}

// Guards against places that are overloaded one after another and idle in between. This happens if
// all senders have the same figures and each chooses the place with the most free slots until the
// figures change, instead of spreading requests in proportion to free slots.
func TestOrderFollowsHeadroom(t *testing.T) {
	table := NewTable(Params{})
	candidates := []Candidate{{Place: "a"}, {Place: "b"}, {Place: "c"}}
	table.RecordFree(pool("a"), 12, start)
	table.RecordFree(pool("b"), 4, start)
	table.RecordFree(pool("c"), 0, start)
	count := countFirst(table, candidates, 4000, start)
	assert.Assert(t, count["a"] > 2850 && count["a"] < 3150, "%v", count)
	assert.Assert(t, count["b"] > 850 && count["b"] < 1150, "%v", count)
	assert.Equal(t, count["c"], 0)

	old := countFirst(table, candidates, 3000, start.Add(DefaultHintTTL))
	for _, c := range candidates {
		assert.Assert(t, old[c.Place] > 900 && old[c.Place] < 1100, "expired hints still have an effect: %v", old)
	}
}

func TestSentRequestsReduceHint(t *testing.T) {
	table := NewTable(Params{})
	candidates := []Candidate{{Place: "near"}, {Place: "far", Distance: 1}}
	table.RecordFree(pool("near"), 2, start)
	for range 2 {
		assert.Equal(t, table.Order(service, candidates, start)[0], steering.Place("near"))
		table.RecordSent(pool("near"))
	}
	assert.Equal(t, table.Order(service, candidates, start)[0], steering.Place("far"))
}

// Guards against callers that are refused although other zones have free capacity. When a zone
// fails, the load of a neighboring zone doubles and other zones at 80 % load refuse occasionally;
// if each such refusal stops all requests of a sender for the retry delay meant for one caller, up
// to 5 s, their free capacity is not used.
func TestFullPoolBackoffIsShort(t *testing.T) {
	table := NewTable(Params{})
	candidates := []Candidate{{Place: "a"}}
	now := start
	for range 20 {
		table.RecordRefusal(pool("a"), steering.ReasonNoSlot, time.Second, now)
		assert.Equal(t, len(table.Order(service, candidates, now)), 0)
		now = now.Add(DefaultMaxFullBackoff)
		assert.Equal(t, len(table.Order(service, candidates, now)), 1)
	}
	table.RecordRefusal(pool("a"), steering.ReasonPeerUnreachable, time.Second, now)
	assert.Equal(t, len(table.Order(service, candidates, now.Add(time.Second-1))), 0)
}
