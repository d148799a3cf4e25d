package once

import (
	"fmt"
	"time"

	"heatherlock/steering"
)

// Defaults of Config.
const (
	DefaultMaxBytes       = 16 << 20
	DefaultMaxAnswerBytes = 64 << 10
	DefaultKeepFor        = 10 * time.Minute
	DefaultFreshFor       = 10 * time.Minute
	DefaultMinFresh       = time.Minute
	DefaultAhead          = 5 * time.Minute
	DefaultMaxJoin        = 16
)

// entryBytes is what an entry costs besides its key and its answer: the struct
// and its share of the map. The measurement is in docs/measurements/once.md.
const entryBytes = 176

const homeRetryAfter = 500 * time.Millisecond

// Config bounds a Table. Zero fields take the defaults.
type Config struct {
	Incarnation steering.Incarnation
	// Start is the time at which the incarnation began; later times are
	// measured from it, so that a step of the wall clock seals nothing.
	Start time.Time
	// MaxBytes bounds the memory of all entries.
	MaxBytes int64
	// MaxAnswerBytes bounds one kept answer.
	MaxAnswerBytes int64
	// KeepFor is how long an outcome is kept after its end, memory allowing.
	KeepFor time.Duration
	// FreshFor is how long after its issue a prefix may carry fresh keys.
	FreshFor time.Duration
	// MinFresh is the part of FreshFor that is kept even when memory is short.
	// It covers the time to live of look-up answers.
	MinFresh time.Duration
	// Ahead is how far an issuer's clock may run before this one.
	Ahead time.Duration
	// MaxJoin bounds the repeats that wait for one running key.
	MaxJoin int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBytes, DefaultMaxBytes)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.KeepFor, DefaultKeepFor)
	setDefault(&c.FreshFor, DefaultFreshFor)
	setDefault(&c.MinFresh, DefaultMinFresh)
	setDefault(&c.Ahead, DefaultAhead)
	setDefault(&c.MaxJoin, DefaultMaxJoin)
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Stats are the table's present size and its counters since the start.
type Stats struct {
	Entries int
	Bytes   int64
	Sealed  Epoch
	// AnswersDropped counts answers forgotten early because memory was short.
	AnswersDropped uint64
	// Evicted counts entries forgotten; EvictedEarly those among them that had
	// not been kept for KeepFor.
	Evicted      uint64
	EvictedEarly uint64
}

// Table holds the outcomes of the keys of one incarnation. It is not safe for
// concurrent use.
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

// Begin decides what to do with a request that carries key. After Execute the
// caller must call Finish exactly once.
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
		return t.repeat(e, fp)
	}
	return t.fresh(now, key, parts.Epoch, fp)
}

// repeat answers a key that is in the table.
func (t *Table) repeat(e *entry, fp Fingerprint) Decision {
	if e.fingerprint != fp {
		// The key's first request may have run. "Not run" would invite a caller
		// that rebuilt its request to send it again under a fresh key.
		return refuse(steering.Unknown(steering.ReasonKeyMismatch, "the first request under this key had other content"))
	}
	switch e.state {
	case stateRunning:
		return t.join(e)
	case stateUnknown:
		return refuse(e.refusal)
	}
	if e.answer == nil {
		return refuse(&steering.Refusal{Reason: steering.ReasonAnswerTooBig, Ran: steering.RanYes, Detail: "the request ran to its end"})
	}
	return Decision{Kind: Replay, Answer: e.answer}
}

func (t *Table) join(e *entry) Decision {
	if e.joined >= t.cfg.MaxJoin {
		r := steering.Unknown(steering.ReasonKeyBusy, fmt.Sprintf("%d repeats wait already", e.joined))
		r.RetryAfter = time.Second
		return refuse(r)
	}
	e.joined++
	return Decision{Kind: Join}
}

// fresh lets a key run that is not in the table, unless it may have been.
func (t *Table) fresh(now time.Time, key steering.Key, epoch Epoch, fp Fingerprint) Decision {
	if epoch <= t.sealed {
		return refuse(steering.Unknown(steering.ReasonKeyEvicted, "the key's prefix is too old for a key not seen before"))
	}
	if epoch > t.epochAt(now.Add(t.cfg.Ahead)) {
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

// Finish records how a run ended and reports whether the run was the present
// one of its key. A second end of the same run changes nothing.
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
	t.shrinkAnswers(t.cfg.MaxBytes)
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

// since measures time from the start of the incarnation.
func (t *Table) since(now time.Time) time.Duration {
	return now.Sub(t.cfg.Start)
}

// epochAt is EpochAt on a clock that a step of the wall clock cannot move.
func (t *Table) epochAt(now time.Time) Epoch {
	return EpochAt(t.cfg.Start.Add(t.since(now)))
}
