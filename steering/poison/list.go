package poison

import (
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
)

// Defaults of Config.
const (
	DefaultLossLimit       = 2
	DefaultLossTTL         = 15 * time.Minute
	DefaultWeakLossTTL     = 30 * time.Second
	DefaultCompletedTTL    = 10 * time.Minute
	DefaultMassLossWindow  = time.Second
	DefaultMassLossTargets = 3
	DefaultMaxRecords      = 4096
)

// sameLossWindow is the time within which losses of the same target count as one
// loss.
const sameLossWindow = time.Second

// Config configures a List. Zero fields take the defaults.
type Config struct {
	// LossLimit is the number of lost targets from which a request is refused.
	LossLimit int
	// LossTTL is how long a loss counts, and WeakLossTTL how long a loss counts
	// that is part of a mass loss.
	LossTTL     time.Duration
	WeakLossTTL time.Duration
	// CompletedTTL is how long an ID counts as completed after a whole response.
	CompletedTTL time.Duration
	// MassLossTargets targets lost within MassLossWindow are a mass loss.
	MassLossWindow  time.Duration
	MassLossTargets int
	// MaxRecords is the maximum number of IDs with recorded losses. The IDs whose
	// last loss is the oldest are evicted first.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	setDefault(&c.LossLimit, DefaultLossLimit)
	setDefault(&c.LossTTL, DefaultLossTTL)
	setDefault(&c.WeakLossTTL, DefaultWeakLossTTL)
	setDefault(&c.CompletedTTL, DefaultCompletedTTL)
	setDefault(&c.MassLossWindow, DefaultMassLossWindow)
	setDefault(&c.MassLossTargets, DefaultMassLossTargets)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	c.MaxRecords = max(c.MaxRecords, 2*maxIDs)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// Kinds of verdict.
const (
	// Allow means that the request may be sent to any target.
	Allow VerdictKind = iota
	// Trial means that the request may be sent to any target that is not in
	// Avoid, and that requests with a recorded ID of it wait until it has ended.
	// The caller must call End whatever happens.
	Trial
	// Wait means that a request with the same ID is on trial, or that so many
	// copies are in flight that their losses would reach the limit. The caller
	// checks again when one of them has ended.
	Wait
	// Hold means that no loss is recorded, but that Config.LossLimit copies with an
	// ID that has not completed recently are in flight. The caller checks again
	// when one of them has ended, and sends the request after a while anyway.
	Hold
	// Refuse means that the caller gets the Refusal.
	Refuse
)

// Verdict is the result of Check.
type Verdict struct {
	Kind    VerdictKind
	Avoid   []steering.Target
	Refusal *steering.Refusal
	// countedIDs has one bit for each ID of the request, in the order of
	// Fingerprints.ids; it is set if the request is counted as in flight under that
	// ID.
	countedIDs uint16
}

// Outcome is how an attempt to run a request on a target ended.
type Outcome uint8

// Endings of an attempt.
const (
	// Inconclusive means that the attempt proves nothing about the request: it was
	// refused or canceled, or it failed while the target kept running.
	Inconclusive Outcome = iota
	// Finished means that the target sent a whole response.
	Finished
	// ErrorResponse means that the target sent a whole error response: it kept
	// running, but may have rejected the request before it reached the code that
	// crashes.
	ErrorResponse
	// TargetLost means that the target was lost while it was running the request.
	TargetLost
)

// loss is the loss of a target that was running a request.
type loss struct {
	target  steering.Target
	count   uint32 // number of losses of the target
	at      time.Time
	weak    bool
	onTrial bool // the request was on trial
	// sent is when the request was sent to the target, or zero if unknown, as for a
	// loss that a peer reported.
	sent time.Time
	// retractedUntil is the time up to which losses of the target are retracted, or
	// zero if none is.
	retractedUntil time.Time
}

// record holds the losses recorded against one ID.
type record struct {
	losses  []loss
	cleared time.Time // losses up to this time do not count
	// signature identifies the set of IDs that a request must have to be refused.
	// Zero means that this ID alone is enough.
	signature   ID
	inTrial     bool
	trialTarget steering.Target
}

// List records the requests that were in flight on targets when these were lost.
// It is not safe for concurrent use.
type List struct {
	cfg          Config
	records      map[ID]*record
	completed    *completedSet
	recentLosses []loss // of different targets, within MassLossWindow
	changed      []Fact
	// signatureSizes is the number of IDs that still belong to each signature.
	signatureSizes map[ID]int
	inFlight       map[ID]int // requests in flight by ID, if not completed recently
	targetStates   targetStates
}

// New returns an empty List.
func New(cfg Config) *List {
	return &List{
		cfg:            cfg.withDefaults(),
		records:        make(map[ID]*record),
		completed:      newCompletedSet(),
		inFlight:       make(map[ID]int),
		signatureSizes: make(map[ID]int),
		targetStates:   make(targetStates),
	}
}

// Check decides how a request may be sent, before any target receives it. After
// Allow and Trial the caller must call End or EndWithSendTime. held reports that
// the request was held back for its maximum time; Check then does not return Hold.
func (l *List) Check(now time.Time, m Fingerprints, held bool) Verdict {
	count, until := 0, time.Time{}
	if len(l.records) > 0 {
		count, until = l.held(now, m)
	}
	if count >= l.cfg.LossLimit {
		return Verdict{Kind: Refuse, Refusal: l.refusal(now, count, until)}
	}
	crowded := count+l.copiesInFlight(now, m) >= l.cfg.LossLimit
	if count == 0 {
		if crowded && !held {
			return Verdict{Kind: Hold}
		}
		return Verdict{countedIDs: l.countInFlight(now, m)}
	}
	if crowded || l.trialRunning(m) {
		return Verdict{Kind: Wait}
	}
	v := Verdict{Kind: Trial, Avoid: l.trialTargets(), countedIDs: l.countInFlight(now, m)}
	l.eachRecord(m, func(r *record) { r.inTrial = true })
	return v
}

// SetTrialTarget sets the target of a trial, so that Check returns it in Avoid for
// other trials.
func (l *List) SetTrialTarget(m Fingerprints, target steering.Target) {
	l.eachRecord(m, func(r *record) {
		if r.inTrial {
			r.trialTarget = target
		}
	})
}

// End records how an attempt on target ended; v is the verdict under which it was
// sent. The time at which the request was sent counts as unknown.
func (l *List) End(now time.Time, m Fingerprints, v Verdict, target steering.Target, e Outcome) {
	l.EndWithSendTime(now, m, v, target, time.Time{}, e)
}

// EndWithSendTime is like End for an attempt that was sent to the target at sent.
// It reports whether a loss was recorded against the request: it is not if the
// target was lost before the request was sent.
func (l *List) EndWithSendTime(now time.Time, m Fingerprints, v Verdict, target steering.Target, sent time.Time, e Outcome) (recorded bool) {
	trial := v.Kind == Trial
	l.uncountInFlight(m, v)
	if trial {
		l.eachRecord(m, func(r *record) { r.inTrial, r.trialTarget = false, "" })
	}
	switch e {
	case Finished:
		l.recordFinish(now, m)
	case ErrorResponse:
		l.recordErrorResponse(now, m)
	case TargetLost:
		if l.targetStates.lostBefore(target, sent) {
			return false
		}
		l.targetStates.markLost(target, now)
		l.recordLoss(now, m, target, sent, trial)
		return true
	}
	return false
}

// recordErrorResponse marks the IDs of a request as completed. It clears no
// losses, since the target may have rejected the request early.
func (l *List) recordErrorResponse(now time.Time, m Fingerprints) {
	if !m.BodyComplete {
		return
	}
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		l.completed.add(id, now)
	}
}

// recordFinish marks the IDs of a request as completed and clears their losses.
// A body that is only known in part proves nothing about other requests with the
// same beginning.
func (l *List) recordFinish(now time.Time, m Fingerprints) {
	if !m.BodyComplete {
		return
	}
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		l.completed.add(id, now)
		if len(l.records) > 0 {
			l.clear(now, id)
		}
	}
}

func (l *List) clear(now time.Time, id ID) {
	r, ok := l.records[id]
	if !ok || r.lossCount(now, l.cfg, false) == 0 {
		return
	}
	r.cleared = now
	r.losses = nil
	l.setSignature(r, 0)
	l.changed = append(l.changed, Fact{ID: id})
}

func (l *List) recordLoss(now time.Time, m Fingerprints, target steering.Target, sent time.Time, onTrial bool) {
	weak := l.recordTargetLoss(now, target, now)
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		r := l.record(now, id)
		r.addLoss(loss{target: target, count: 1, at: now, weak: weak, onTrial: onTrial, sent: sent})
	}
	l.assignSignature(now, m)
	for _, id := range m.ids(&buf) {
		l.changed = append(l.changed, l.factOf(id, target, now))
	}
}

func (l *List) recentlyCompleted(now time.Time, id ID) bool {
	return l.completed.has(id, now.Add(-l.cfg.CompletedTTL))
}

// addLoss records a loss. Losses of the same target within sameLossWindow count
// once, since the target may have been running several copies of the request. The
// loss of a trial always counts, since the trial was sent after the earlier loss
// was known.
func (r *record) addLoss(n loss) {
	for i := range r.losses {
		known := &r.losses[i]
		if known.target != n.target {
			continue
		}
		if n.onTrial || n.at.Sub(known.at) > sameLossWindow || known.count == 0 {
			known.count++
		}
		known.at, known.weak, known.sent = n.at, n.weak, n.sent
		known.onTrial = known.onTrial || n.onTrial
		return
	}
	r.appendLoss(n)
}

// maxLosses is the maximum number of targets in a record. Config.LossLimit losses
// are enough to refuse a request, so older ones can be dropped.
const maxLosses = 16

func (r *record) appendLoss(n loss) {
	if len(r.losses) == maxLosses {
		r.losses = slices.Delete(r.losses, 0, 1)
	}
	r.losses = append(r.losses, n)
}

// lossCount returns the number of losses that count against the record. If the ID
// completed recently, all losses outside of trials count as one.
func (r *record) lossCount(now time.Time, cfg Config, completed bool) int {
	shared, onTrial := 0, 0
	for _, n := range r.losses {
		if !now.Before(n.expiry(cfg)) {
			continue
		}
		if n.onTrial {
			onTrial += int(n.count)
		} else {
			shared += int(n.count)
		}
	}
	if completed {
		shared = min(shared, 1)
	}
	return shared + onTrial
}

// expiry returns when the loss stops counting.
func (n loss) expiry(cfg Config) time.Time {
	if n.weak {
		return n.at.Add(cfg.WeakLossTTL)
	}
	return n.at.Add(cfg.LossTTL)
}

// firstExpiry returns when the first of the losses that count now expires, or the
// zero time if there is none.
func (r *record) firstExpiry(now time.Time, cfg Config) time.Time {
	var first time.Time
	for _, n := range r.losses {
		expiry := n.expiry(cfg)
		if now.Before(expiry) && (first.IsZero() || expiry.Before(first)) {
			first = expiry
		}
	}
	return first
}

// refusal returns the refusal of a request. It has a RetryAfter only if a loss
// expires within WeakLossTTL, as the losses of a mass loss do: these may have had a
// common cause other than the request.
func (l *List) refusal(now time.Time, count int, until time.Time) *steering.Refusal {
	r := steering.Refuse(steering.ReasonPoison, 0, fmt.Sprintf("%d targets were lost with this request in hand", count))
	if wait := until.Sub(now); wait <= l.cfg.WeakLossTTL {
		r.RetryAfter = wait
	}
	return r
}

func (l *List) trialRunning(m Fingerprints) bool {
	running := false
	l.eachRecord(m, func(r *record) { running = running || r.inTrial })
	return running
}

func (l *List) trialTargets() []steering.Target {
	var targets []steering.Target
	for _, r := range l.records {
		if r.trialTarget != "" {
			targets = append(targets, r.trialTarget)
		}
	}
	return targets
}

func (l *List) eachRecord(m Fingerprints, f func(*record)) {
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		if r, ok := l.records[id]; ok {
			f(r)
		}
	}
}

// record returns the record of an ID, and creates it if there is none.
func (l *List) record(now time.Time, id ID) *record {
	if r, ok := l.records[id]; ok {
		return r
	}
	if len(l.records) >= l.cfg.MaxRecords {
		l.evict(now)
	}
	r := &record{}
	l.records[id] = r
	return r
}
