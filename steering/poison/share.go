package poison

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
)

// Fact is what entry VMs tell each other: targets lost with a request in hand,
// or, with no target, that a like request finished normally.
type Fact struct {
	ID     ID
	Target steering.Target // empty: cleared
	// Deaths counts the losses of the target; 0 takes back those up to Age ago.
	Deaths uint32
	Alone  bool // lost on trial
	// Signature names the IDs that are accused together.
	Signature ID
	Age       time.Duration
}

// maxFactDeaths bounds what one fact can hold against a request.
const maxFactDeaths = 16

// factOf returns the fact of one loss.
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
	return Fact{ID: id, Target: n.target, Deaths: n.deaths, Alone: n.alone, Signature: r.signature, Age: now.Sub(n.at)}
}

// HasChanged reports whether TakeChanged has anything to return.
func (l *List) HasChanged() bool { return len(l.changed) > 0 }

// TakeChanged returns the facts that came up here since the last call, to be
// sent to the peers of the region at once.
func (l *List) TakeChanged() []Fact {
	changed := l.changed
	l.changed = nil
	return changed
}

// Facts returns at most limit facts for peers that missed them: what refuses
// requests first, and then the newest.
func (l *List) Facts(now time.Time, limit int) []Fact {
	top := topFacts{limit: limit}
	for id, r := range l.records {
		refuses := r.count(now, l.cfg, false) >= l.cfg.Limit
		if !r.cleared.IsZero() && now.Sub(r.cleared) < l.cfg.KeepFor {
			top.add(Fact{ID: id, Age: now.Sub(r.cleared)}, refuses)
		}
		for _, n := range r.losses {
			if n.deaths > 0 && now.Before(n.until(l.cfg)) {
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

// topFacts keeps the first facts in order, so that a full list is not sorted
// for each beat.
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

// Learn takes in facts of a peer. Learning one twice changes nothing.
func (l *List) Learn(now time.Time, facts []Fact) {
	for _, f := range facts {
		if f.ID == 0 || f.Age < 0 || f.Age >= l.cfg.KeepFor {
			continue
		}
		if f.Target == "" {
			l.learnCleared(now.Add(-f.Age), f.ID)
			continue
		}
		if f.Deaths == 0 {
			l.learnTakenBack(now, f)
			continue
		}
		l.learnLoss(now, f)
	}
}

// learnTakenBack takes back a loss that a peer no longer holds against a request. The
// time is that of the loss, as late as the message was; losses so close are one loss.
func (l *List) learnTakenBack(now time.Time, f Fact) {
	if r, ok := l.records[f.ID]; ok {
		l.takeBack(now, r, f.Target, now.Add(sameLoss-f.Age))
	}
}

// learnCleared drops the losses up to the time of the normal finish.
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
		l.sign(r, 0)
	}
}

func (l *List) learnLoss(now time.Time, f Fact) {
	at := now.Add(-f.Age)
	l.foundGone(now, f.Target, at)
	weak := l.massLoss(now, f.Target, at)
	r := l.record(now, f.ID)
	if at.Before(r.cleared) {
		return
	}
	n := loss{target: f.Target, deaths: min(f.Deaths, maxFactDeaths), at: at, weak: weak, alone: f.Alone}
	r.merge(n)
	if f.Signature != 0 {
		l.sign(r, f.Signature)
	}
}

// merge takes the larger count of losses of a target, since both sides may have
// counted the same ones.
func (r *record) merge(n loss) {
	for i := range r.losses {
		known := &r.losses[i]
		if known.target != n.target {
			continue
		}
		if !n.at.After(known.takenBack) {
			return
		}
		known.deaths = max(known.deaths, n.deaths)
		known.alone = known.alone || n.alone
		if n.at.After(known.at.Add(sameLoss)) {
			known.at, known.weak = n.at, n.weak
		}
		return
	}
	r.keep(n)
}
