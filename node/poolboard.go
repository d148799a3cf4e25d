package node

import (
	"sync"
	"time"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// poolBoard keeps the newest word on each pool, for status only.
type poolBoard struct {
	mu    sync.Mutex
	known map[boardKey]boardEntry
}

type boardKey struct {
	place   steering.Place
	service steering.Service
}

// boardEntry is one pool's fact and when it was true.
type boardEntry struct {
	fact *peerpb.PoolFact
	at   time.Time
}

// boardKeep is the age from which a pool's word is no longer shown.
const boardKeep = time.Minute

func newPoolBoard() *poolBoard { return &poolBoard{known: map[boardKey]boardEntry{}} }

// note takes in facts with ages as of now.
func (b *poolBoard) note(told []*peerpb.PoolFact, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fact := range told {
		key := boardKey{steering.Place(fact.Place), steering.Service(fact.Service)}
		at := now.Add(-time.Duration(fact.AgeMs) * time.Millisecond)
		if b.known[key].at.Before(at) {
			b.known[key] = boardEntry{fact: fact, at: at}
		}
	}
}

// all returns the facts that are not too old.
func (b *poolBoard) all(now time.Time) []boardEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := make([]boardEntry, 0, len(b.known))
	for key, entry := range b.known {
		if now.Sub(entry.at) > boardKeep {
			delete(b.known, key)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}
