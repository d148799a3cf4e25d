package poison

import (
	"time"

	"heatherlock/steering"
)

// massLoss records that a target was lost at the time at and reports whether
// that was amid a mass loss. The losses just before are then weakened too: the
// first targets of a failing zone fall before it can be seen to fail.
func (l *List) massLoss(now time.Time, target steering.Target, at time.Time) bool {
	oldest := now.Add(-l.cfg.MassWindow)
	kept := l.recent[:0]
	known := false
	for _, n := range l.recent {
		if n.at.Before(oldest) {
			continue
		}
		known = known || n.target == target
		kept = append(kept, n)
	}
	l.recent = kept
	fresh := !known && !at.Before(oldest)
	if fresh {
		l.recent = append(l.recent, loss{target: target, at: at})
	}
	if len(l.recent) < l.cfg.MassTargets {
		return false
	}
	if fresh {
		l.weaken(oldest)
	}
	return true
}

func (l *List) weaken(since time.Time) {
	for _, r := range l.records {
		for i := range r.losses {
			if !r.losses[i].at.Before(since) {
				r.losses[i].weak = true
			}
		}
	}
}

// provenSlots is the number of fingerprints whose normal finish is remembered,
// a power of two; 16 bytes each.
const provenSlots = 1 << 15

type provenSlot struct {
	id ID
	at int64 // Unix nanoseconds
}

// provenSet remembers the fingerprints that finished normally of late. Each has
// one slot and a newer one takes it over: losing one costs an innocent request
// at most its special treatment.
type provenSet struct {
	slots [provenSlots]provenSlot
}

func newProvenSet() *provenSet { return &provenSet{} }

func (p *provenSet) add(id ID, now time.Time) {
	p.slots[id%provenSlots] = provenSlot{id: id, at: now.UnixNano()}
}

func (p *provenSet) has(id ID, since time.Time) bool {
	slot := p.slots[id%provenSlots]
	return slot.id == id && slot.at >= since.UnixNano()
}
