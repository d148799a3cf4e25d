package poison

import (
	"cmp"
	"slices"
	"time"
)

// forgetShare is the part of the records that is dropped when there are too
// many: 1/8. Dropping one at a time would look through all of them for each
// request in hand while a zone fails.
const forgetShare = 8

type lastLoss struct {
	id ID
	at time.Time
}

// forget drops the records that hold nothing any more, and those whose last
// loss is the longest ago until a share of the room is free.
func (l *List) forget(now time.Time) {
	var held []lastLoss
	for id, r := range l.records {
		switch {
		case r.onTrial:
		case r.count(now, l.cfg, false) == 0:
			l.drop(id)
		default:
			held = append(held, lastLoss{id, r.lastLoss()})
		}
	}
	target := l.cfg.MaxRecords - l.cfg.MaxRecords/forgetShare
	excess := min(len(l.records)-target, len(held))
	if excess <= 0 {
		return
	}
	slices.SortFunc(held, func(a, b lastLoss) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	for _, old := range held[:excess] {
		l.drop(old.id)
	}
}

func (l *List) drop(id ID) {
	l.sign(l.records[id], 0)
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
