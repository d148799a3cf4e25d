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

// entry is what the table knows of one key.
type entry struct {
	key         steering.Key
	epoch       Epoch
	fingerprint Fingerprint
	serial      uint64
	state       state
	joined      int
	answer      *Answer
	refusal     *steering.Refusal
	ended       time.Duration // since the start of the incarnation
	next        *entry        // ended later
}

func (e *entry) size() int64 {
	return entryBytes + int64(len(e.key)) + e.answer.Size()
}

func (e *entry) finish(ended time.Duration, o Outcome, maxAnswer int64) {
	e.ended = ended
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

// unknownRefusal makes sure that a repeat of an unknown outcome is never told
// "not run", whatever the caller of Finish passed.
func unknownRefusal(r *steering.Refusal) *steering.Refusal {
	if r == nil {
		return steering.Unknown(steering.ReasonTargetFailed, "the outcome of this key is unknown")
	}
	copied := *r
	if copied.Ran == steering.RanNo {
		copied.Ran = steering.RanUnknown
	}
	return &copied
}

// finishedList holds ended entries, oldest end first. withAnswer is the first
// entry that may still hold an answer.
type finishedList struct {
	first, last *entry
	withAnswer  *entry
}

func (l *finishedList) push(e *entry) {
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	if l.withAnswer == nil {
		l.withAnswer = e
	}
}

func (l *finishedList) pop() *entry {
	e := l.first
	l.first = e.next
	if l.first == nil {
		l.last = nil
	}
	if l.withAnswer == e {
		l.withAnswer = e.next
	}
	e.next = nil
	return e
}

// expire seals the epochs whose prefixes are too old for fresh keys, then
// forgets the outcomes that were kept long enough.
func (t *Table) expire(now time.Time) {
	t.seal(t.epochAt(now.Add(-t.cfg.FreshFor)) - 1)
	for e := t.finished.first; e != nil; e = t.finished.first {
		if e.epoch > t.sealed || e.ended+t.cfg.KeepFor > t.since(now) {
			return
		}
		t.evictFirst()
	}
}

func (t *Table) seal(epoch Epoch) {
	t.sealed = max(t.sealed, epoch)
}

// makeRoom frees need bytes and returns zero, or returns how long to wait until
// it can. Answers go first, since a repeat can still be told that the request
// ran; then whole outcomes, oldest first, each after its epoch is sealed.
func (t *Table) makeRoom(now time.Time, need int64) time.Duration {
	limit := t.cfg.MaxBytes - need
	t.shrinkAnswers(limit)
	for t.bytes > limit {
		e := t.finished.first
		if e == nil {
			return time.Second
		}
		if wait := t.untilSealable(now, e.epoch); wait > 0 {
			return wait
		}
		t.seal(e.epoch)
		t.evictFirst()
		t.stats.EvictedEarly++
	}
	return 0
}

// untilSealable returns how long the epoch must stay open for fresh keys. An
// epoch sealed at once would turn away callers that just got its prefix.
func (t *Table) untilSealable(now time.Time, epoch Epoch) time.Duration {
	if epoch <= t.sealed {
		return 0
	}
	end := time.Unix(int64(epoch+1)*int64(EpochLength/time.Second), 0)
	here := t.cfg.Start.Round(0).Add(t.since(now))
	return max(0, end.Add(t.cfg.MinFresh).Sub(here))
}

// shrinkAnswers drops kept answers, oldest first, until limit holds.
func (t *Table) shrinkAnswers(limit int64) {
	for t.bytes > limit && t.finished.withAnswer != nil {
		e := t.finished.withAnswer
		t.finished.withAnswer = e.next
		if e.answer == nil {
			continue
		}
		t.bytes -= e.answer.Size()
		e.answer = nil
		t.stats.AnswersDropped++
	}
}

// evictFirst forgets the oldest outcome; its epoch must be sealed.
func (t *Table) evictFirst() {
	t.remove(t.finished.pop())
	t.stats.Evicted++
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	t.bytes -= e.size()
}
