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
	eventDoubted  chart.Event = "doubted"
)

//go:embed target.json
var targetSource []byte

var targetChart = chart.MustLoad("health/target.json", targetSource, chart.Bindings[*firing]{
	States: []chart.State{Serving, Warming, Ejected, Trial},
	Events: []chart.Event{eventCold, eventWarm, eventFailing, eventReported, eventWaited, eventPassed, eventDoubted},
	Guards: map[string]func(*firing) bool{
		"mayEject": func(f *firing) bool { return f.tracker.mayEject(f.subject) },
	},
	Actions: map[string]func(*firing){
		"eject":      func(f *firing) { f.tracker.eject(f.subject) },
		"startTrial": func(f *firing) { f.subject.trialLeft = f.tracker.cfg.TrialSuccesses },
		"forget":     func(f *firing) { f.subject.forget() },
	},
})

// Chart returns the life of a target, for documentation.
func Chart() *chart.Chart[*firing] { return targetChart }

// firing is what the chart's guards and actions look at.
type firing struct {
	tracker *Tracker
	subject *subject
}

// subject is one judged target.
type subject struct {
	name        steering.Target
	state       chart.State
	look        look
	evidence    evidence
	reportedTil time.Time // a reported sickness counts until then
	until       time.Time // end of an ejected target's wait
	wait        time.Duration
	ejectedAt   time.Time
	trialLeft   int
	misled      bool // an early trial was granted and has not passed
}

// forget starts the judgement afresh, so that what led to an ejection does
// not lead to the next.
func (s *subject) forget() {
	s.evidence = evidence{lastSuccess: s.evidence.lastSuccess}
	s.misled = false
}

// Change is a state that a target has entered.
type Change struct {
	Target steering.Target
	State  chart.State
}

// Tracker judges the targets of one pool. It is not safe for concurrent use.
type Tracker struct {
	cfg      Config
	now      time.Time
	subjects map[steering.Target]*subject
	order    []*subject // by name, so that equal input gives equal decisions
	ejected  int
	looks    [looks]int // targets by look
	doubting bool
	changes  []Change
}

// New returns a tracker without targets.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), subjects: map[steering.Target]*subject{}}
}

// SetTargets replaces the targets. Those that stay keep their state; new ones
// start cold if cold is set.
func (t *Tracker) SetTargets(now time.Time, names []steering.Target, cold bool) []Change {
	t.begin(now)
	kept := map[steering.Target]*subject{}
	for _, name := range names {
		s, known := t.subjects[name]
		if !known {
			s = &subject{name: name, state: targetChart.Initial()}
		}
		kept[name] = s
		if !known && cold {
			t.fire(s, eventCold)
		}
	}
	t.subjects = kept
	t.order = t.order[:0]
	for _, s := range kept {
		t.order = append(t.order, s)
	}
	slices.SortFunc(t.order, func(a, b *subject) int { return compare(a.name, b.name) })
	t.recount()
	t.judge()
	return t.changes
}

// Observe takes how a request ended.
func (t *Tracker) Observe(now time.Time, name steering.Target, o Outcome) []Change {
	t.begin(now)
	s, known := t.subjects[name]
	if !known || o == Neutral {
		return t.changes
	}
	s.evidence.add(now, o, t.cfg.HalfLife)
	t.classify(s)
	if s.state == Trial {
		t.observeTrial(s, o)
		return t.changes
	}
	if t.doubt() {
		t.judge()
	} else {
		t.judgeOne(s)
	}
	return t.changes
}

func (t *Tracker) observeTrial(s *subject, o Outcome) {
	if o != Success {
		t.fire(s, eventFailing)
		return
	}
	s.trialLeft--
	if s.trialLeft <= 0 {
		t.fire(s, eventPassed)
	}
}

// Report takes a target's own word on its health. Its word that it is well
// changes nothing: only requests show that.
func (t *Tracker) Report(now time.Time, name steering.Target, well bool) []Change {
	t.begin(now)
	s, known := t.subjects[name]
	if !known {
		return t.changes
	}
	if well {
		s.reportedTil = time.Time{}
		return t.changes
	}
	s.reportedTil = now.Add(t.cfg.ReportFor)
	if now.Sub(s.evidence.lastSuccess) > t.cfg.ReportFor {
		t.fire(s, eventReported)
	}
	return t.changes
}

// Answered takes that a target can be reached. One that was ejected because it
// could not be reached is tried at once, without the rest of its wait. When the
// trial fails, such answers count no more until a trial has passed: a load
// endpoint may answer for a target that takes no requests.
func (t *Tracker) Answered(now time.Time, name steering.Target) []Change {
	t.begin(now)
	s, known := t.subjects[name]
	if known && s.state == Ejected && s.evidence.dead(&t.cfg) && !s.misled {
		t.fire(s, eventWaited)
		s.misled = true // until the trial passes
	}
	return t.changes
}

// Warm ends a target's slow start.
func (t *Tracker) Warm(now time.Time, name steering.Target) []Change {
	t.begin(now)
	if s, known := t.subjects[name]; known {
		t.fire(s, eventWarm)
	}
	return t.changes
}

// Tick lets time act: waits end and evidence fades.
func (t *Tracker) Tick(now time.Time) []Change {
	t.begin(now)
	for _, s := range t.order {
		if s.state == Ejected && !now.Before(s.until) {
			t.fire(s, eventWaited)
		}
	}
	t.judge()
	return t.changes
}

// State returns a target's state.
func (t *Tracker) State(name steering.Target) chart.State {
	if s, known := t.subjects[name]; known {
		return s.state
	}
	return targetChart.Initial()
}

// Doubting says whether most targets look sick, so that the signal is doubted.
func (t *Tracker) Doubting() bool { return t.doubting }

func (t *Tracker) begin(now time.Time) {
	t.now = now
	t.changes = t.changes[:0]
}

// fire takes a transition if the chart has one that applies.
func (t *Tracker) fire(s *subject, e chart.Event) {
	state, err := targetChart.Fire(&firing{t, s}, s.state, e)
	if err != nil {
		return // the event means nothing in this state
	}
	if s.state == Ejected {
		t.ejected--
	}
	if state == Ejected {
		t.ejected++
	}
	s.state = state
	t.classify(s)
	t.changes = append(t.changes, Change{s.name, state})
}

func (t *Tracker) recount() {
	t.ejected = 0
	t.looks = [looks]int{}
	for _, s := range t.order {
		t.looks[s.look]++
		if s.state == Ejected {
			t.ejected++
		}
	}
}

// judge looks at every target anew.
func (t *Tracker) judge() {
	for _, s := range t.order {
		s.evidence.fade(t.now, t.cfg.HalfLife)
		t.classify(s)
	}
	t.doubt()
	for _, s := range t.order {
		t.judgeOne(s)
	}
}

// doubt decides whether most targets look sick, and says whether that changed.
func (t *Tracker) doubt() bool {
	sick := t.looks[looksSick]
	reachable := len(t.order) - t.looks[looksDead]
	was := t.doubting
	switch {
	case !t.doubting && 2*sick > reachable:
		t.doubting = true
	case t.doubting && 2*sick < reachable:
		t.doubting = false
	}
	return t.doubting != was
}

// judgeOne ejects a target that looks sick, or gives it work while that is
// doubted.
func (t *Tracker) judgeOne(s *subject) {
	switch {
	case t.doubting && s.look != looksDead:
		if s.state == Ejected || s.state == Trial {
			t.fire(s, eventDoubted)
		}
	case s.state != Trial && s.state != Ejected && s.evidence.sick(&t.cfg):
		t.fire(s, eventFailing)
	}
}

// look is how a target appears in the count that doubt rests on.
type look uint8

const (
	looksWell look = iota
	looksSick
	looksDead
	looks // their number
)

// classify counts a target as it looks now. An ejected target counts as it did
// when it was ejected: its evidence fades only because it gets no work.
func (t *Tracker) classify(s *subject) {
	t.looks[s.look]--
	switch {
	case s.evidence.dead(&t.cfg):
		s.look = looksDead
	case s.state == Ejected || s.evidence.sick(&t.cfg):
		s.look = looksSick
	default:
		s.look = looksWell
	}
	t.looks[s.look]++
}

// mayEject keeps a floor of targets: half of them, or one when the others
// cannot be reached at all.
func (t *Tracker) mayEject(s *subject) bool {
	if s.evidence.dead(&t.cfg) {
		return t.ejected+1 < len(t.order)
	}
	return !t.doubting && 2*(t.ejected+1) <= len(t.order)
}

func (t *Tracker) eject(s *subject) {
	if t.now.Sub(s.ejectedAt) > t.cfg.ForgiveAfter {
		s.wait = 0
	}
	s.wait = min(max(2*s.wait, t.cfg.FirstWait), t.cfg.MaxWait)
	s.ejectedAt = t.now
	s.until = t.now.Add(s.wait)
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
