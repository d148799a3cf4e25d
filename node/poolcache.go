package node

import (
	"sync"
	"time"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// poolCache holds the newest reported state of each pool. It serves status, the shift driver and
// the tracking of planned stops, but not the placement of requests. It is safe for concurrent use.
type poolCache struct {
	mu     sync.Mutex
	latest map[poolKey]poolEntry
}

type poolKey struct {
	place   steering.Place
	service steering.Service
}

// poolEntry is the reported state of a pool and the time at which it was current.
type poolEntry struct {
	fact *peerpb.PoolFact
	asOf time.Time
}

// poolFactTTL is the age at which the state of a pool is dropped.
const poolFactTTL = time.Minute

func newPoolCache() *poolCache { return &poolCache{latest: map[poolKey]poolEntry{}} }

// update stores the facts that are newer than those held. The age in each fact is relative to now.
func (b *poolCache) update(told []*peerpb.PoolFact, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fact := range told {
		key := poolKey{steering.Place(fact.Place), steering.Service(fact.Service)}
		asOf := now.Add(-time.Duration(fact.AgeMs) * time.Millisecond)
		if b.latest[key].asOf.Before(asOf) {
			b.latest[key] = poolEntry{fact: fact, asOf: asOf}
		}
	}
}

// recent returns the pools whose state is not older than poolFactTTL, and drops the others.
func (b *poolCache) recent(now time.Time) []poolEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := make([]poolEntry, 0, len(b.latest))
	for key, entry := range b.latest {
		if now.Sub(entry.asOf) > poolFactTTL {
			delete(b.latest, key)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}
