package poison

import (
	"cmp"
	"slices"
	"time"
)

// evictDivisor sets the share of the records that is evicted when the list is full:
// 1/8. Evicting one record at a time would scan all records for each request that
// is in flight when a zone fails.
const evictDivisor = 8

type lastLoss struct {
	id ID
	at time.Time
}

// evict removes the records without losses that still count, and then those whose
// last loss is the oldest, until 1/evictDivisor of MaxRecords is free. It keeps
// records with a running trial.
func (l *List) evict(now time.Time) {
	var candidates []lastLoss
	for id, r := range l.records {
		switch {
		case r.inTrial:
		case r.lossCount(now, l.cfg, false) == 0:
			l.removeRecord(id)
		default:
			candidates = append(candidates, lastLoss{id, r.lastLoss()})
		}
	}
	target := l.cfg.MaxRecords - l.cfg.MaxRecords/evictDivisor
	excess := min(len(l.records)-target, len(candidates))
	if excess <= 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b lastLoss) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	for _, old := range candidates[:excess] {
		l.removeRecord(old.id)
	}
}

func (l *List) removeRecord(id ID) {
	l.setSignature(l.records[id], 0)
	delete(l.records, id)
}

func (r *record) lastLoss() time.Time {
	var last time.Time
	for _, n := range r.losses {
		if n.at.After(last) {
			last = n.at
		}
	}
	return last
}
