package poison

import (
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
)

// Defaults of Config.
const (
	DefaultLimit       = 2
	DefaultKeepFor     = 15 * time.Minute
	DefaultWeakFor     = 30 * time.Second
	DefaultProvenFor   = 10 * time.Minute
	DefaultMassWindow  = time.Second
	DefaultMassTargets = 3
	DefaultMaxRecords  = 4096
)

// sameLoss is the time within which losses of one target are one loss.
const sameLoss = time.Second

// Config bounds a List. Zero fields take the defaults.
type Config struct {
	// Limit is the number of targets lost after which a request is refused.
	Limit int
	// KeepFor is how long a loss is remembered, WeakFor one amid a mass loss.
	KeepFor time.Duration
	WeakFor time.Duration
	// ProvenFor is how long a normal finish speaks for a fingerprint.
	ProvenFor time.Duration
	// MassTargets targets lost within MassWindow are a mass loss.
	MassWindow  time.Duration
	MassTargets int
	// MaxRecords bounds the requests remembered; the oldest is forgotten first.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Limit, DefaultLimit)
	setDefault(&c.KeepFor, DefaultKeepFor)
	setDefault(&c.WeakFor, DefaultWeakFor)
	setDefault(&c.ProvenFor, DefaultProvenFor)
	setDefault(&c.MassWindow, DefaultMassWindow)
	setDefault(&c.MassTargets, DefaultMassTargets)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	c.MaxRecords = max(c.MaxRecords, 2*maxIDs)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// VerdictKind says how a request may be sent.
type VerdictKind uint8

// Kinds of verdict.
const (
	// Clear means: send it.
	Clear VerdictKind = iota
	// Trial means: send it alone, on none of the targets in Avoid, and call
	// End, whatever happens.
	Trial
	// Wait means: a like request is on trial, or as many as may still be lost
	// are in flight; ask again when one ended.
	Wait
	// Hold means: nothing like it finished of late and Limit copies of it are
	// in flight; ask again when one ended, and send it after a while anyway.
	Hold
	// Refuse means: send the refusal.
	Refuse
)

// Verdict is what Check decided.
type Verdict struct {
	Kind    VerdictKind
	Avoid   []steering.Target
	Refusal *steering.Refusal
	// counted has a bit per ID that is counted as in flight.
	counted uint16
}

// Ending says how a try ended.
type Ending uint8

// Endings of a try.
const (
	// Neither says nothing about the request: refused, cancelled, failed while
	// the target lived on.
	Neither Ending = iota
	// Finished means a whole answer.
	Finished
	// Answered means a whole answer that is a failure: the target lived on, but
	// may have refused the request before it came to the harm.
	Answered
	// Lost means that the target went away with the request in hand.
	Lost
)

// loss is one target that was lost with a request in hand.
type loss struct {
	target steering.Target
	deaths uint32
	at     time.Time
	weak   bool
	alone  bool // lost on trial
	// sent is when the target was given the request; zero if a peer told of the loss.
	sent time.Time
	// takenBack is up to when losses of the target do not count; zero if all do.
	takenBack time.Time
}

// record is what is held against one ID.
type record struct {
	losses  []loss
	cleared time.Time // losses up to here no longer count
	// signature names the IDs that a culprit is told by; zero means that this
	// ID alone is enough.
	signature ID
	onTrial   bool
	trialOn   steering.Target
}

// List remembers requests that were in hand when targets were lost. It is not
// safe for concurrent use.
type List struct {
	cfg     Config
	records map[ID]*record
	proven  *provenSet
	recent  []loss // targets lost within the mass window
	changed []Fact
	// signatures counts the IDs of each signature that are still accused.
	signatures map[ID]int
	flying     map[ID]int // copies in flight of IDs that did not finish of late
	lives      lives
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{
		cfg:        cfg.withDefaults(),
		records:    make(map[ID]*record),
		proven:     newProvenSet(),
		flying:     make(map[ID]int),
		signatures: make(map[ID]int),
		lives:      make(lives),
	}
}

// Check decides how a request may be sent, before any target gets it. After
// Clear and Trial the caller must call End. held says that the request was held
// back long enough already.
func (l *List) Check(now time.Time, m Mark, held bool) Verdict {
	count, until := 0, time.Time{}
	if len(l.records) > 0 {
		count, until = l.held(now, m)
	}
	if count >= l.cfg.Limit {
		return Verdict{Kind: Refuse, Refusal: l.refusal(now, count, until)}
	}
	crowded := count+l.copies(now, m) >= l.cfg.Limit
	if count == 0 {
		if crowded && !held {
			return Verdict{Kind: Hold}
		}
		return Verdict{counted: l.takeOff(now, m)}
	}
	if crowded || l.trialRunning(m) {
		return Verdict{Kind: Wait}
	}
	v := Verdict{Kind: Trial, Avoid: l.trialTargets(), counted: l.takeOff(now, m)}
	l.eachRecord(m, func(r *record) { r.onTrial = true })
	return v
}

// Trying names the target of a trial, so that other suspects avoid it.
func (l *List) Trying(m Mark, target steering.Target) {
	l.eachRecord(m, func(r *record) {
		if r.onTrial {
			r.trialOn = target
		}
	})
}

// End records how a try on target ended; v is the verdict it was sent under.
func (l *List) End(now time.Time, m Mark, v Verdict, target steering.Target, e Ending) {
	l.EndSent(now, m, v, target, time.Time{}, e)
}

// EndSent is End of a try of which it is known when the target was given the request.
// It reports whether the end is held against the request.
func (l *List) EndSent(now time.Time, m Mark, v Verdict, target steering.Target, sent time.Time, e Ending) (held bool) {
	trial := v.Kind == Trial
	l.land(m, v)
	if trial {
		l.eachRecord(m, func(r *record) { r.onTrial, r.trialOn = false, "" })
	}
	switch e {
	case Finished:
		l.finished(now, m)
	case Answered:
		l.answered(now, m)
	case Lost:
		if l.lives.goneBefore(target, sent) {
			return false
		}
		l.lives.foundGone(target, now)
		l.lost(now, m, target, sent, trial)
		return true
	}
	return false
}

// answered notes that targets live through the request. It clears nothing.
func (l *List) answered(now time.Time, m Mark) {
	if !m.Whole {
		return
	}
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		l.proven.add(id, now)
	}
}

// finished clears what is held against a request that a target finished.
func (l *List) finished(now time.Time, m Mark) {
	if !m.Whole {
		return
	}
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		l.proven.add(id, now)
		if len(l.records) > 0 {
			l.clear(now, id)
		}
	}
}

func (l *List) clear(now time.Time, id ID) {
	r, ok := l.records[id]
	if !ok || r.count(now, l.cfg, false) == 0 {
		return
	}
	r.cleared = now
	r.losses = nil
	l.sign(r, 0)
	l.changed = append(l.changed, Fact{ID: id})
}

func (l *List) lost(now time.Time, m Mark, target steering.Target, sent time.Time, alone bool) {
	weak := l.massLoss(now, target, now)
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		r := l.record(now, id)
		r.add(loss{target: target, deaths: 1, at: now, weak: weak, alone: alone, sent: sent})
	}
	l.accuse(now, m)
	for _, id := range m.ids(&buf) {
		l.changed = append(l.changed, l.factOf(id, target, now))
	}
}

func (l *List) isProven(now time.Time, id ID) bool {
	return l.proven.has(id, now.Add(-l.cfg.ProvenFor))
}

// add records a loss. Losses of one target close in time are one loss: several
// copies of a request may be in its hands. A trial was sent after the earlier
// loss was known, so its loss is always another one.
func (r *record) add(n loss) {
	for i := range r.losses {
		known := &r.losses[i]
		if known.target != n.target {
			continue
		}
		if n.alone || n.at.Sub(known.at) > sameLoss || known.deaths == 0 {
			known.deaths++
		}
		known.at, known.weak, known.sent = n.at, n.weak, n.sent
		known.alone = known.alone || n.alone
		return
	}
	r.keep(n)
}

// maxLosses bounds the losses kept in one record; Limit of them decide.
const maxLosses = 16

func (r *record) keep(n loss) {
	if len(r.losses) == maxLosses {
		r.losses = slices.Delete(r.losses, 0, 1)
	}
	r.losses = append(r.losses, n)
}

// count returns how many losses are held against the record. For a proven
// fingerprint the losses of copies that were not on trial count once.
func (r *record) count(now time.Time, cfg Config, proven bool) int {
	together, alone := 0, 0
	for _, n := range r.losses {
		if !now.Before(n.until(cfg)) {
			continue
		}
		if n.alone {
			alone += int(n.deaths)
		} else {
			together += int(n.deaths)
		}
	}
	if proven {
		together = min(together, 1)
	}
	return together + alone
}

// until returns when the loss is forgotten.
func (n loss) until(cfg Config) time.Time {
	if n.weak {
		return n.at.Add(cfg.WeakFor)
	}
	return n.at.Add(cfg.KeepFor)
}

func (r *record) firstForgotten(now time.Time, cfg Config) time.Time {
	var first time.Time
	for _, n := range r.losses {
		until := n.until(cfg)
		if now.Before(until) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// refusal says when to come back only when the losses may have had a common
// cause other than the request.
func (l *List) refusal(now time.Time, count int, until time.Time) *steering.Refusal {
	r := steering.Refuse(steering.ReasonPoison, 0, fmt.Sprintf("%d targets were lost with this request in hand", count))
	if wait := until.Sub(now); wait <= l.cfg.WeakFor {
		r.RetryAfter = wait
	}
	return r
}

func (l *List) trialRunning(m Mark) bool {
	running := false
	l.eachRecord(m, func(r *record) { running = running || r.onTrial })
	return running
}

func (l *List) trialTargets() []steering.Target {
	var targets []steering.Target
	for _, r := range l.records {
		if r.trialOn != "" {
			targets = append(targets, r.trialOn)
		}
	}
	return targets
}

func (l *List) eachRecord(m Mark, f func(*record)) {
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		if r, ok := l.records[id]; ok {
			f(r)
		}
	}
}

// record returns the record of an ID and makes it when there is none.
func (l *List) record(now time.Time, id ID) *record {
	if r, ok := l.records[id]; ok {
		return r
	}
	if len(l.records) >= l.cfg.MaxRecords {
		l.forget(now)
	}
	r := &record{}
	l.records[id] = r
	return r
}
