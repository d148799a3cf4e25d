package once

import (
	"time"

	"heatherlock/steering"
)

type state uint8

const (
	stateRunning state = iota
	stateDone
	stateUnknown
)

// entry is the table's record of one key.
type entry struct {
	key         steering.Key
	epoch       Epoch
	fingerprint Fingerprint
	serial      uint64
	state       state
	waiters     int
	answer      *Answer
	refusal     *steering.Refusal
	endedAt     time.Duration // since the start of the incarnation
	nextEnded   *entry        // the entry that ended next
}

func (e *entry) size() int64 {
	return entryBytes + int64(len(e.key)) + e.answer.Size()
}

func (e *entry) finish(endedAt time.Duration, o Outcome, maxAnswer int64) {
	e.endedAt = endedAt
	if o.Kind == Unknown {
		e.state = stateUnknown
		e.refusal = unknownRefusal(o.Refusal)
		return
	}
	e.state = stateDone
	if o.Answer.Size() <= maxAnswer {
		e.answer = o.Answer
	}
}

// unknownRefusal returns the refusal for repeats of a key with an unknown outcome. It never says
// "not run", whatever the caller of Finish passed.
func unknownRefusal(r *steering.Refusal) *steering.Refusal {
	if r == nil {
		return steering.RefuseUnknown(steering.ReasonTargetFailed, "the outcome of this key is unknown")
	}
	copied := *r
	if copied.Ran == steering.RanNo {
		copied.Ran = steering.RanUnknown
	}
	return &copied
}

// finishedList holds the ended entries in the order in which they ended. firstWithAnswer is the
// oldest entry that may still hold an answer.
type finishedList struct {
	first, last     *entry
	firstWithAnswer *entry
}

func (l *finishedList) push(e *entry) {
	if l.last == nil {
		l.first = e
	} else {
		l.last.nextEnded = e
	}
	l.last = e
	if l.firstWithAnswer == nil {
		l.firstWithAnswer = e
	}
}

func (l *finishedList) pop() *entry {
	e := l.first
	l.first = e.nextEnded
	if l.first == nil {
		l.last = nil
	}
	if l.firstWithAnswer == e {
		l.firstWithAnswer = e.nextEnded
	}
	e.nextEnded = nil
	return e
}

// expire seals the epochs whose prefixes have exceeded their lifetime, then evicts the outcomes
// that were kept for KeepFor.
func (t *Table) expire(now time.Time) {
	t.seal(t.epochAt(now.Add(-t.cfg.PrefixLifetime)) - 1)
	for e := t.finished.first; e != nil; e = t.finished.first {
		if e.epoch > t.sealed || e.endedAt+t.cfg.KeepFor > t.since(now) {
			return
		}
		t.evictOldest()
	}
}

func (t *Table) seal(epoch Epoch) {
	t.sealed = max(t.sealed, epoch)
}

// makeRoom frees enough memory for need more bytes and returns zero, or returns how long to wait
// until it can. It drops answers first, since the response to a repeat can still say that the
// request ran. Then it evicts whole outcomes, oldest first, after sealing the epoch of each.
func (t *Table) makeRoom(now time.Time, need int64) time.Duration {
	limit := t.cfg.MaxBytes - need
	t.dropAnswers(limit)
	for t.bytes > limit {
		e := t.finished.first
		if e == nil {
			return time.Second
		}
		if wait := t.timeUntilSealable(now, e.epoch); wait > 0 {
			return wait
		}
		t.seal(e.epoch)
		t.evictOldest()
		t.stats.EvictedEarly++
	}
	return 0
}

// timeUntilSealable returns how long the epoch must stay open for new keys. Sealing it earlier
// would refuse callers that have just received its prefix.
func (t *Table) timeUntilSealable(now time.Time, epoch Epoch) time.Duration {
	if epoch <= t.sealed {
		return 0
	}
	end := time.Unix(int64(epoch+1)*int64(EpochLength/time.Second), 0)
	here := t.cfg.Start.Round(0).Add(t.since(now))
	return max(0, end.Add(t.cfg.MinPrefixLifetime).Sub(here))
}

// dropAnswers drops stored answers, oldest first, until the table takes at most limit bytes.
func (t *Table) dropAnswers(limit int64) {
	for t.bytes > limit && t.finished.firstWithAnswer != nil {
		e := t.finished.firstWithAnswer
		t.finished.firstWithAnswer = e.nextEnded
		if e.answer == nil {
			continue
		}
		t.bytes -= e.answer.Size()
		e.answer = nil
		t.stats.AnswersDropped++
	}
}

// evictOldest removes the outcome that ended first. Its epoch must be sealed.
func (t *Table) evictOldest() {
	t.remove(t.finished.pop())
	t.stats.Evicted++
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.bytes -= e.size()
}
