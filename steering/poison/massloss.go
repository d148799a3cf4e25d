package poison

import (
	"time"

	"heatherlock/steering"
)

// recordTargetLoss records that a target was lost at the time at, and reports whether
// the loss is part of a mass loss. If it is, the losses within MassLossWindow before it
// become weak too, because the first targets of a failing zone are lost before the
// failure of the zone can be detected.
func (l *List) recordTargetLoss(now time.Time, target steering.Target, at time.Time) bool {
	oldest := now.Add(-l.cfg.MassLossWindow)
	kept := l.recentLosses[:0]
	known := false
	for _, n := range l.recentLosses {
		if n.at.Before(oldest) {
			continue
		}
		known = known || n.target == target
		kept = append(kept, n)
	}
	l.recentLosses = kept
	fresh := !known && !at.Before(oldest)
	if fresh {
		l.recentLosses = append(l.recentLosses, loss{target: target, at: at})
	}
	if len(l.recentLosses) < l.cfg.MassLossTargets {
		return false
	}
	if fresh {
		l.markWeakSince(oldest)
	}
	return true
}

func (l *List) markWeakSince(since time.Time) {
	for _, r := range l.records {
		for i := range r.losses {
			if !r.losses[i].at.Before(since) {
				r.losses[i].weak = true
			}
		}
	}
}

// completedSlots is the size of the hash table of completed IDs, a power of two. Each
// slot takes 16 bytes.
const completedSlots = 1 << 15

type completedSlot struct {
	id ID
	at int64 // Unix nanoseconds
}

// completedSet holds the IDs that recently completed with a whole response. Each ID
// maps to one slot, and a newer ID overwrites the older one. An ID that was overwritten
// only loses the exemptions that completed IDs have.
type completedSet struct {
	slots [completedSlots]completedSlot
}

func newCompletedSet() *completedSet { return &completedSet{} }

func (p *completedSet) add(id ID, now time.Time) {
	p.slots[id%completedSlots] = completedSlot{id: id, at: now.UnixNano()}
}

func (p *completedSet) has(id ID, since time.Time) bool {
	slot := p.slots[id%completedSlots]
	return slot.id == id && slot.at >= since.UnixNano()
}
