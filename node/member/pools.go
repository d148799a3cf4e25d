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

// poolTable keeps the newest known fact of each pool, to relay it to other members. Members.mu
// guards it.
type poolTable struct {
	facts map[spill.Pool]poolEntry
}

type poolEntry struct {
	fact       *peerpb.PoolFact
	measuredAt time.Time
}

func newPoolTable() *poolTable { return &poolTable{facts: map[spill.Pool]poolEntry{}} }

func poolOf(f *peerpb.PoolFact) spill.Pool {
	return spill.Pool{Place: steering.Place(f.Place), Service: steering.Service(f.Service)}
}

// mergeNewer stores the facts that are newer than the known ones and returns them.
func (t *poolTable) mergeNewer(facts []*peerpb.PoolFact, extraAge time.Duration, now time.Time) []*peerpb.PoolFact {
	var newer []*peerpb.PoolFact
	for _, f := range facts {
		measuredAt := now.Add(-time.Duration(f.AgeMs)*time.Millisecond - extraAge)
		old, known := t.facts[poolOf(f)]
		if now.Sub(measuredAt) > poolFactTTL || (known && !measuredAt.After(old.measuredAt)) {
			continue
		}
		t.facts[poolOf(f)] = poolEntry{fact: f, measuredAt: measuredAt}
		newer = append(newer, f)
	}
	return newer
}

// sample returns up to limit facts: those with draining targets first, because operators wait for
// them, then others from a random starting point.
func (t *poolTable) sample(limit int, random func(int) int, now time.Time) []*peerpb.PoolFact {
	entries := make([]poolEntry, 0, len(t.facts))
	for pool, e := range t.facts {
		if now.Sub(e.measuredAt) > poolFactTTL {
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
		f.AgeMs = ageMs(now.Sub(e.measuredAt))
		picked = append(picked, f)
	}
	return picked
}
