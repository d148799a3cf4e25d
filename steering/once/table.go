package once

import (
	"fmt"
	"time"

	"heatherlock/steering"
)

// Defaults of Config.
const (
	DefaultMaxBytes          = 16 << 20
	DefaultMaxAnswerBytes    = 64 << 10
	DefaultKeepFor           = 10 * time.Minute
	DefaultPrefixLifetime    = 10 * time.Minute
	DefaultMinPrefixLifetime = time.Minute
	DefaultMaxClockSkew      = 5 * time.Minute
	DefaultMaxWaiters        = 16
)

// entryBytes is the memory of an entry without its key and its answer: the struct and its part of
// the map. See docs/measurements/once.md for the measurement.
const entryBytes = 176

const unreachableRetryAfter = 500 * time.Millisecond

// Config configures a Table. Zero fields other than Incarnation and Start take the defaults.
type Config struct {
	Incarnation steering.Incarnation
	// Start is when the incarnation started. Later times are measured from it, so that a step of
	// the wall clock seals no epoch.
	Start time.Time
	// MaxBytes bounds the memory of all entries.
	MaxBytes int64
	// MaxAnswerBytes bounds the size of one stored answer.
	MaxAnswerBytes int64
	// KeepFor is how long an outcome is kept after its end, unless memory is short.
	KeepFor time.Duration
	// PrefixLifetime is how long after its issue a prefix may be used for new keys.
	PrefixLifetime time.Duration
	// MinPrefixLifetime is the part of PrefixLifetime that is granted even when memory is short.
	// It has to cover the time to live of look-up answers.
	MinPrefixLifetime time.Duration
	// MaxClockSkew is how far the clock of an issuer may be ahead of this one.
	MaxClockSkew time.Duration
	// MaxWaiters bounds the repeats that wait for one running key.
	MaxWaiters int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.KeepFor, DefaultKeepFor)
	setDefault(&c.PrefixLifetime, DefaultPrefixLifetime)
	setDefault(&c.MinPrefixLifetime, DefaultMinPrefixLifetime)
	setDefault(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&c.MaxWaiters, DefaultMaxWaiters)
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Stats holds the current size of the table and its counters since the start.
type Stats struct {
	Entries int
	Bytes   int64
	Sealed  Epoch
	// AnswersDropped counts the answers that were dropped early because memory was short.
	AnswersDropped uint64
	// Evicted counts the evicted entries, and EvictedEarly those among them that were evicted
	// before KeepFor had passed.
	Evicted      uint64
	EvictedEarly uint64
}

// Table holds the outcomes of the keys of one incarnation. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	entries  map[steering.Key]*entry
	finished finishedList
	sealed   Epoch
	serial   uint64
	bytes    int64
	stats    Stats
}

// New returns an empty table for one incarnation.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		entries: make(map[steering.Key]*entry),
		sealed:  -1,
	}
}

// Begin decides what to do with a request that carries key. After an Execute decision the caller
// must call Finish exactly once.
func (t *Table) Begin(now time.Time, key steering.Key, fp Fingerprint) Decision {
	parts, err := ParseKey(key)
	if err != nil {
		return refuse(steering.Refuse(steering.ReasonBadRequest, 0, err.Error()))
	}
	if parts.Incarnation != t.cfg.Incarnation {
		return Decision{Kind: Foreign, Home: parts.Incarnation}
	}
	t.expire(now)
	if e, ok := t.entries[key]; ok {
		return t.beginRepeat(e, fp)
	}
	return t.beginNew(now, key, parts.Epoch, fp)
}

// beginRepeat decides on a key that has an entry.
func (t *Table) beginRepeat(e *entry, fp Fingerprint) Decision {
	if e.fingerprint != fp {
		// The key's first request may have run. If the refusal said "not run", a caller that
		// built its request anew might send it again under a new key.
		return refuse(steering.RefuseUnknown(steering.ReasonKeyMismatch, "the first request under this key had other content"))
	}
	switch e.state {
	case stateRunning:
		return t.joinRunning(e)
	case stateUnknown:
		return refuse(e.refusal)
	}
	if e.answer == nil {
		return refuse(&steering.Refusal{Reason: steering.ReasonResponseNotKept, Ran: steering.RanYes, Detail: "the request ran to its end"})
	}
	return Decision{Kind: Replay, Answer: e.answer}
}

func (t *Table) joinRunning(e *entry) Decision {
	if e.waiters >= t.cfg.MaxWaiters {
		r := steering.RefuseUnknown(steering.ReasonKeyBusy, fmt.Sprintf("%d repeats wait already", e.waiters))
		r.RetryAfter = time.Second
		return refuse(r)
	}
	e.waiters++
	return Decision{Kind: Join}
}

// beginNew lets a key without an entry run, unless it may have run before.
func (t *Table) beginNew(now time.Time, key steering.Key, epoch Epoch, fp Fingerprint) Decision {
	if epoch <= t.sealed {
		return refuse(steering.RefuseUnknown(steering.ReasonKeyEvicted, "the key's prefix is too old for a key not seen before"))
	}
	if epoch > t.epochAt(now.Add(t.cfg.MaxClockSkew)) {
		return refuse(steering.Refuse(steering.ReasonBadRequest, 0, "the key's prefix lies in the future; take the one in Heatherlock-Key-Prefix"))
	}
	if wait := t.makeRoom(now, entryBytes+int64(len(key))); wait > 0 {
		return refuse(steering.Refuse(steering.ReasonKeysFull, wait, "no older outcome may be forgotten yet"))
	}
	t.serial++
	e := &entry{key: key, epoch: epoch, fingerprint: fp, serial: t.serial}
	t.entries[key] = e
	t.bytes += e.size()
	return Decision{Kind: Execute, Run: Run{Key: key, Serial: t.serial}}
}

// Finish records how a run ended and reports whether it was the current run of its key. A second
// call for the same run has no effect.
func (t *Table) Finish(now time.Time, run Run, o Outcome) bool {
	e, ok := t.entries[run.Key]
	if !ok || e.serial != run.Serial || e.state != stateRunning {
		return false
	}
	if o.Kind == NotRun {
		t.remove(e)
		return true
	}
	e.finish(t.since(now), o, t.cfg.MaxAnswerBytes)
	t.bytes += e.answer.Size()
	t.finished.push(e)
	t.dropAnswers(t.cfg.MaxBytes)
	return true
}

// Running reports whether the key is being executed here.
func (t *Table) Running(key steering.Key) bool {
	e, ok := t.entries[key]
	return ok && e.state == stateRunning
}

// Stats returns the table's size and counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Entries = len(t.entries)
	s.Bytes = t.bytes
	s.Sealed = t.sealed
	return s
}

func refuse(r *steering.Refusal) Decision {
	return Decision{Kind: Refuse, Refusal: r}
}

// since returns the time since the start of the incarnation.
func (t *Table) since(now time.Time) time.Duration {
	return now.Sub(t.cfg.Start)
}

// epochAt is like EpochAt, but is not affected by steps of the wall clock.
func (t *Table) epochAt(now time.Time) Epoch {
	return EpochAt(t.cfg.Start.Add(t.since(now)))
}
