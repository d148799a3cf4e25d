package health

import (
	_ "embed"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

// States of a target.
const (
	Serving chart.State = "serving"
	Warming chart.State = "warming"
	Ejected chart.State = "ejected"
	Trial   chart.State = "trial"
)

const (
	eventCold     chart.Event = "cold"
	eventWarm     chart.Event = "warm"
	eventFailing  chart.Event = "failing"
	eventReported chart.Event = "reported"
	eventWaited   chart.Event = "waited"
	eventPassed   chart.Event = "passed"
	eventUntried  chart.Event = "untried"
	eventDoubted  chart.Event = "doubted"
)

//go:embed target.json
var targetSource []byte

var targetChart = chart.MustLoad("health/target.json", targetSource, chart.Bindings[*chartModel]{
	States: []chart.State{Serving, Warming, Ejected, Trial},
	Events: []chart.Event{eventCold, eventWarm, eventFailing, eventReported, eventWaited, eventPassed, eventUntried, eventDoubted},
	Guards: map[string]func(*chartModel) bool{
		"mayEject": func(m *chartModel) bool { return m.tracker.mayEject(m.target) },
	},
	Actions: map[string]func(*chartModel){
		"eject": func(m *chartModel) { m.tracker.eject(m.target) },
		"startTrial": func(m *chartModel) {
			m.target.trialSuccessesLeft, m.target.triedAt = m.tracker.cfg.TrialSuccesses, m.tracker.now
		},
		"forget": func(m *chartModel) { m.target.resetEvidence() },
	},
})

// Chart returns the state chart of a target, for the documentation.
func Chart() *chart.Chart[*chartModel] { return targetChart }

// chartModel is the argument of the chart's guards and actions.
type chartModel struct {
	tracker *Tracker
	target  *target
}

// target is the health state of one target.
type target struct {
	name               steering.Target
	state              chart.State
	class              class
	evidence           evidence
	reportedUntil      time.Time // end of the validity of the last unhealthy report
	ejectedUntil       time.Time // end of the current or last ejection
	ejectionTime       time.Duration
	ejectedAt          time.Time
	trialSuccessesLeft int
	triedAt            time.Time // start of the trial, or its last outcome
	earlyTrialUsed     bool      // an early trial was granted, and no trial has passed since
}

// resetEvidence discards the outcomes that led to an ejection, so that they do not
// lead to another one.
func (tgt *target) resetEvidence() {
	tgt.evidence = evidence{lastSuccess: tgt.evidence.lastSuccess}
	tgt.earlyTrialUsed = false
}

// Change reports that a target has entered a state.
type Change struct {
	Target steering.Target
	State  chart.State
}

// Tracker decides which targets of one pool get new requests. Methods that return
// changes reuse the slice, so it is valid until the next call. A Tracker is not safe
// for concurrent use.
type Tracker struct {
	cfg        Config
	now        time.Time
	targets    map[steering.Target]*target
	order      []*target // sorted by name, so that decisions are deterministic
	ejected    int
	classCount [classCount]int // number of targets by class
	panicMode  bool
	changes    []Change
}

// New returns a tracker without targets.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), targets: map[steering.Target]*target{}}
}

// SetTargets replaces the targets. Targets that were there before keep their state;
// new ones begin with a slow start if cold is set.
func (t *Tracker) SetTargets(now time.Time, names []steering.Target, cold bool) []Change {
	t.begin(now)
	kept := map[steering.Target]*target{}
	for _, name := range names {
		tgt, known := t.targets[name]
		if !known {
			tgt = &target{name: name, state: targetChart.Initial()}
		}
		kept[name] = tgt
		if !known && cold {
			t.fire(tgt, eventCold)
		}
	}
	t.targets = kept
	t.order = t.order[:0]
	for _, tgt := range kept {
		t.order = append(t.order, tgt)
	}
	slices.SortFunc(t.order, func(a, b *target) int { return compare(a.name, b.name) })
	t.recount()
	t.evaluateAll()
	return t.changes
}

// Observe records the outcome of a request to a target.
func (t *Tracker) Observe(now time.Time, name steering.Target, o Outcome) []Change {
	t.begin(now)
	tgt, known := t.targets[name]
	if !known || o == Neutral {
		return t.changes
	}
	tgt.evidence.add(now, o, t.cfg.HalfLife)
	t.classify(tgt)
	if tgt.state == Trial {
		t.observeTrial(tgt, o)
		return t.changes
	}
	if t.updatePanicMode() {
		t.evaluateAll()
	} else {
		t.evaluate(tgt)
	}
	return t.changes
}

func (t *Tracker) observeTrial(tgt *target, o Outcome) {
	if o != Success {
		t.fire(tgt, eventFailing)
		return
	}
	tgt.triedAt = t.now
	tgt.trialSuccessesLeft--
	if tgt.trialSuccessesLeft <= 0 {
		t.fire(tgt, eventPassed)
	}
}

// Report records the health that a target reports of itself. A target that
// reports that it is unhealthy is put on trial unless a request to it has
// succeeded within Config.ReportTTL. A report that it is healthy changes no
// state, because only successful requests prove that.
func (t *Tracker) Report(now time.Time, name steering.Target, healthy bool) []Change {
	t.begin(now)
	tgt, known := t.targets[name]
	if !known {
		return t.changes
	}
	if healthy {
		tgt.reportedUntil = time.Time{}
		return t.changes
	}
	tgt.reportedUntil = now.Add(t.cfg.ReportTTL)
	if now.Sub(tgt.evidence.lastSuccess) > t.cfg.ReportTTL {
		t.fire(tgt, eventReported)
	}
	return t.changes
}

// ObserveReachable records that a target responded to a request for its load. A target
// that was ejected as unreachable is put on trial at once instead of at the end of
// its ejection. If that trial fails, further calls have no effect until a trial has
// passed: the load endpoint may respond although the target accepts no requests.
//
// A trial ends if there was no request for Config.UntriedAfter that could decide it,
// unless the target reports that it is unhealthy.
func (t *Tracker) ObserveReachable(now time.Time, name steering.Target) []Change {
	t.begin(now)
	tgt, known := t.targets[name]
	if known && tgt.state == Ejected && tgt.evidence.showsUnreachable(&t.cfg) && !tgt.earlyTrialUsed {
		t.fire(tgt, eventWaited)
		tgt.earlyTrialUsed = true // reset when a trial passes
	}
	if known && tgt.state == Trial && now.Sub(tgt.triedAt) >= t.cfg.UntriedAfter && !now.Before(tgt.reportedUntil) {
		t.fire(tgt, eventUntried)
	}
	return t.changes
}

// Warm ends a target's slow start.
func (t *Tracker) Warm(now time.Time, name steering.Target) []Change {
	t.begin(now)
	if tgt, known := t.targets[name]; known {
		t.fire(tgt, eventWarm)
	}
	return t.changes
}

// Tick puts targets whose ejection has ended on trial and evaluates all targets
// with the weights of their outcomes decayed to now.
func (t *Tracker) Tick(now time.Time) []Change {
	t.begin(now)
	for _, tgt := range t.order {
		if tgt.state == Ejected && !now.Before(tgt.ejectedUntil) {
			t.fire(tgt, eventWaited)
		}
	}
	t.evaluateAll()
	return t.changes
}

// State returns the state of a target, and Serving for an unknown target.
func (t *Tracker) State(name steering.Target) chart.State {
	if tgt, known := t.targets[name]; known {
		return tgt.state
	}
	return targetChart.Initial()
}

// PanicMode reports whether so many targets look unhealthy that ejection of
// reachable targets is suspended.
func (t *Tracker) PanicMode() bool { return t.panicMode }

func (t *Tracker) begin(now time.Time) {
	t.now = now
	t.changes = t.changes[:0]
}

// fire applies an event to a target. An event for which the target's state has no
// transition is ignored.
func (t *Tracker) fire(tgt *target, e chart.Event) {
	state, err := targetChart.Fire(&chartModel{t, tgt}, tgt.state, e)
	if err != nil {
		return // the state ignores the event, or the guard rejects it
	}
	if tgt.state == Ejected {
		t.ejected--
	}
	if state == Ejected {
		t.ejected++
	}
	tgt.state = state
	t.classify(tgt)
	t.changes = append(t.changes, Change{tgt.name, state})
}

func (t *Tracker) recount() {
	t.ejected = 0
	t.classCount = [classCount]int{}
	for _, tgt := range t.order {
		t.classCount[tgt.class]++
		if tgt.state == Ejected {
			t.ejected++
		}
	}
}

// evaluateAll classifies and evaluates every target.
func (t *Tracker) evaluateAll() {
	for _, tgt := range t.order {
		tgt.evidence.decay(t.now, t.cfg.HalfLife)
		t.classify(tgt)
	}
	t.updatePanicMode()
	for _, tgt := range t.order {
		t.evaluate(tgt)
	}
}

// updatePanicMode enters panic mode when more than half of the reachable targets are
// unhealthy, leaves it when fewer than half are, and reports whether the mode changed.
func (t *Tracker) updatePanicMode() bool {
	unhealthy := t.classCount[classUnhealthy]
	reachable := len(t.order) - t.classCount[classUnreachable]
	was := t.panicMode
	switch {
	case !t.panicMode && 2*unhealthy > reachable:
		t.panicMode = true
	case t.panicMode && 2*unhealthy < reachable:
		t.panicMode = false
	}
	return t.panicMode != was
}

// evaluate ejects an unhealthy target. In panic mode it returns ejected targets and
// targets on trial to service instead, except unreachable ones.
func (t *Tracker) evaluate(tgt *target) {
	switch {
	case t.panicMode && tgt.class != classUnreachable:
		if tgt.state == Ejected || tgt.state == Trial {
			t.fire(tgt, eventDoubted)
		}
	case tgt.state != Trial && tgt.state != Ejected && tgt.evidence.showsUnhealthy(&t.cfg):
		t.fire(tgt, eventFailing)
	}
}

// class is the class under which a target is counted for panic mode.
type class uint8

const (
	classHealthy class = iota
	classUnhealthy
	classUnreachable
	classCount // number of classes
)

// classify updates the class of a target and the counts. An ejected target stays
// unhealthy or unreachable: its evidence decays only because it gets no requests.
func (t *Tracker) classify(tgt *target) {
	t.classCount[tgt.class]--
	switch {
	case tgt.evidence.showsUnreachable(&t.cfg):
		tgt.class = classUnreachable
	case tgt.state == Ejected || tgt.evidence.showsUnhealthy(&t.cfg):
		tgt.class = classUnhealthy
	default:
		tgt.class = classHealthy
	}
	t.classCount[tgt.class]++
}

// mayEject is the guard of ejections. It keeps at least half of the targets in
// service, or one target if the target to eject is unreachable.
func (t *Tracker) mayEject(tgt *target) bool {
	if tgt.evidence.showsUnreachable(&t.cfg) {
		return t.ejected+1 < len(t.order)
	}
	return !t.panicMode && 2*(t.ejected+1) <= len(t.order)
}

func (t *Tracker) eject(tgt *target) {
	if t.now.Sub(tgt.ejectedAt) > t.cfg.EjectionResetAfter {
		tgt.ejectionTime = 0
	}
	tgt.ejectionTime = min(max(2*tgt.ejectionTime, t.cfg.BaseEjectionTime), t.cfg.MaxEjectionTime)
	tgt.ejectedAt = t.now
	tgt.ejectedUntil = t.now.Add(tgt.ejectionTime)
}

func compare(a, b steering.Target) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
