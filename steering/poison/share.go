package poison

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
)

// Fact is what entry VMs exchange about an ID: the loss of a target that was running a
// request with that ID or, without a target, that such a request finished normally.
type Fact struct {
	ID     ID
	Target steering.Target // empty if a request finished normally
	// Deaths is the number of losses of the target. Zero retracts the losses up to
	// Age ago.
	Deaths uint32
	Alone  bool // the request was on trial
	// Signature identifies the IDs that are refused only in combination.
	Signature ID
	// Age is the time since the loss or the normal finish.
	Age time.Duration
}

// maxFactLosses is the maximum number of losses that one Fact adds to an ID.
const maxFactLosses = 16

// factOf returns the Fact about the loss of a target with an ID, or the zero Fact if
// there is none.
func (l *List) factOf(id ID, target steering.Target, now time.Time) Fact {
	r, ok := l.records[id]
	if !ok {
		return Fact{}
	}
	for _, n := range r.losses {
		if n.target == target {
			return r.fact(id, n, now)
		}
	}
	return Fact{}
}

func (r *record) fact(id ID, n loss, now time.Time) Fact {
	return Fact{ID: id, Target: n.target, Deaths: n.count, Alone: n.onTrial, Signature: r.signature, Age: now.Sub(n.at)}
}

// HasChanged reports whether TakeChanged would return any facts.
func (l *List) HasChanged() bool { return len(l.changed) > 0 }

// TakeChanged returns the facts that this List recorded itself since the last call. The
// caller sends them to the peers of the region at once.
func (l *List) TakeChanged() []Fact {
	changed := l.changed
	l.changed = nil
	return changed
}

// Facts returns at most limit facts, for peers that missed earlier messages: facts that
// cause refusals come first, then the newest.
func (l *List) Facts(now time.Time, limit int) []Fact {
	top := topFacts{limit: limit}
	for id, r := range l.records {
		refuses := r.lossCount(now, l.cfg, false) >= l.cfg.LossLimit
		if !r.cleared.IsZero() && now.Sub(r.cleared) < l.cfg.LossTTL {
			top.add(Fact{ID: id, Age: now.Sub(r.cleared)}, refuses)
		}
		for _, n := range r.losses {
			if n.count > 0 && now.Before(n.expiry(l.cfg)) {
				top.add(r.fact(id, n, now), refuses)
			}
		}
	}
	facts := make([]Fact, len(top.ranked))
	for i, f := range top.ranked {
		facts[i] = f.Fact
	}
	return facts
}

type rankedFact struct {
	Fact
	refuses bool
}

// topFacts holds the first limit facts in order, which avoids sorting a full list for
// each heartbeat.
type topFacts struct {
	limit  int
	ranked []rankedFact
}

func (t *topFacts) add(f Fact, refuses bool) {
	fact := rankedFact{f, refuses}
	full := len(t.ranked) == t.limit
	if full && (t.limit == 0 || compareFacts(fact, t.ranked[t.limit-1]) >= 0) {
		return
	}
	if full {
		t.ranked = t.ranked[:t.limit-1]
	}
	at, _ := slices.BinarySearchFunc(t.ranked, fact, compareFacts)
	t.ranked = slices.Insert(t.ranked, at, fact)
}

func compareFacts(a, b rankedFact) int {
	if a.refuses != b.refuses {
		if a.refuses {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Target, b.Target))
}

// MergeFacts merges the facts of a peer. It is idempotent.
func (l *List) MergeFacts(now time.Time, facts []Fact) {
	for _, f := range facts {
		if f.ID == 0 || f.Age < 0 || f.Age >= l.cfg.LossTTL {
			continue
		}
		if f.Target == "" {
			l.learnCleared(now.Add(-f.Age), f.ID)
			continue
		}
		if f.Deaths == 0 {
			l.learnRetraction(now, f)
			continue
		}
		l.learnLoss(now, f)
	}
}

// learnRetraction retracts a loss that a peer retracted. The time of the loss as computed
// from Age is late by the delay of the message, so the retraction covers losses up to
// sameLossWindow after it, which count as the same loss anyway.
func (l *List) learnRetraction(now time.Time, f Fact) {
	if r, ok := l.records[f.ID]; ok {
		l.retract(now, r, f.Target, now.Add(sameLossWindow-f.Age))
	}
}

// learnCleared removes the losses up to the time of a normal finish.
func (l *List) learnCleared(at time.Time, id ID) {
	r, ok := l.records[id]
	if !ok || at.Before(r.cleared) {
		return
	}
	r.cleared = at
	kept := r.losses[:0]
	for _, n := range r.losses {
		if n.at.After(at) {
			kept = append(kept, n)
		}
	}
	r.losses = kept
	if len(kept) == 0 {
		l.setSignature(r, 0)
	}
}

func (l *List) learnLoss(now time.Time, f Fact) {
	at := now.Add(-f.Age)
	l.markLost(now, f.Target, at)
	weak := l.recordTargetLoss(now, f.Target, at)
	r := l.record(now, f.ID)
	if !at.After(r.cleared) {
		return
	}
	n := loss{target: f.Target, count: min(f.Deaths, maxFactLosses), at: at, weak: weak, onTrial: f.Alone}
	r.mergeLoss(n)
	if f.Signature != 0 {
		l.setSignature(r, f.Signature)
	}
}

// mergeLoss merges a loss reported by a peer. It takes the larger of the two counts of a
// target instead of their sum, since both entry VMs may have counted the same losses.
func (r *record) mergeLoss(n loss) {
	for i := range r.losses {
		known := &r.losses[i]
		if known.target != n.target {
			continue
		}
		if !n.at.After(known.retractedUntil) {
			return
		}
		known.count = max(known.count, n.count)
		known.onTrial = known.onTrial || n.onTrial
		if n.at.After(known.at.Add(sameLossWindow)) {
			known.at, known.weak = n.at, n.weak
		}
		return
	}
	r.appendLoss(n)
}
