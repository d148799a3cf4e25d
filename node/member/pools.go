package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/spill"
)

// poolTable relays the newest known figures of pools; Members.mu guards it.
type poolTable struct {
	facts map[spill.Pool]poolEntry
}

type poolEntry struct {
	fact *peerpb.PoolFact
	at   time.Time
}

func newPoolTable() *poolTable { return &poolTable{facts: map[spill.Pool]poolEntry{}} }

func poolOf(f *peerpb.PoolFact) spill.Pool {
	return spill.Pool{Place: steering.Place(f.Place), Service: steering.Service(f.Service)}
}

// learn keeps the facts that are newer than those known and returns them.
func (t *poolTable) learn(facts []*peerpb.PoolFact, extraAge time.Duration, now time.Time) []*peerpb.PoolFact {
	var news []*peerpb.PoolFact
	for _, f := range facts {
		at := now.Add(-time.Duration(f.AgeMs)*time.Millisecond - extraAge)
		old, known := t.facts[poolOf(f)]
		if now.Sub(at) > poolKeptFor || (known && !at.After(old.at)) {
			continue
		}
		t.facts[poolOf(f)] = poolEntry{fact: f, at: at}
		news = append(news, f)
	}
	return news
}

// pick returns up to limit facts: those with draining targets first, because
// operators wait for them, then a sample that starts at a random point.
func (t *poolTable) pick(limit int, random func(int) int, now time.Time) []*peerpb.PoolFact {
	entries := make([]poolEntry, 0, len(t.facts))
	for pool, e := range t.facts {
		if now.Sub(e.at) > poolKeptFor {
			delete(t.facts, pool)
			continue
		}
		entries = append(entries, e)
	}
	if len(entries) == 0 {
		return nil
	}
	slices.SortFunc(entries, func(a, b poolEntry) int {
		return cmp.Or(cmp.Compare(a.fact.Place, b.fact.Place), cmp.Compare(a.fact.Service, b.fact.Service))
	})
	start := random(len(entries))
	entries = append(slices.Clone(entries[start:]), entries[:start]...)
	slices.SortStableFunc(entries, func(a, b poolEntry) int {
		return cmp.Compare(min(1, len(b.fact.Draining)), min(1, len(a.fact.Draining)))
	})
	picked := make([]*peerpb.PoolFact, 0, limit)
	for _, e := range entries[:min(limit, len(entries))] {
		f := proto.CloneOf(e.fact)
		f.AgeMs = ageMs(now.Sub(e.at))
		picked = append(picked, f)
	}
	return picked
}
