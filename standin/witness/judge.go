package witness

import (
	"fmt"
	"slices"
	"time"
)

// Limits by which a run is judged.
const (
	// StopGrace is the time within which a leaving target gets its last new
	// work.
	StopGrace = 3 * time.Second
	// ConfigGrace is the time within which an accepted configuration is in
	// force everywhere.
	ConfigGrace = 4 * time.Second
	// MaxLost is how many targets of a region one request may take down.
	MaxLost = 2
)

// Promise names a promise of the system.
type Promise string

// The promises.
const (
	PromiseCap        Promise = "a shift stays within its cap"
	PromiseOverload   Promise = "no place gets more than its slots"
	PromiseWhole      Promise = "whole answers to one's own request"
	PromiseNotRun     Promise = "not run means not run"
	PromiseOnce       Promise = "a purchase runs at most once"
	PromiseNoNewWork  Promise = "a leaving target gets no new work"
	PromiseNoCut      Promise = "a planned stop cuts nothing"
	PromiseUploads    Promise = "uploads arrive whole"
	PromiseConfigFast Promise = "configuration is in force within seconds"
	PromiseNoRevert   Promise = "configuration never reverts"
	PromiseFewLost    Promise = "one request takes down two targets at most"
)

// CapLimit is a cap as its operator declared it. Work of Service from a home
// in From that starts in a place of To counts; an empty Service is every one.
type CapLimit struct {
	Service  string
	From     []string
	To       []string
	Requests int
	Window   time.Duration
}

// binds reports whether the cap counts an execution.
func (c CapLimit) binds(e *Execution) bool {
	if c.Service != "" && c.Service != e.Service {
		return false
	}
	return slices.Contains(c.From, e.Home) && slices.Contains(c.To, e.Place)
}

// Finding is the judgement of one promise.
type Finding struct {
	Promise Promise `json:"promise"`
	// Exercised is false when nothing in the run could have broken it.
	Exercised bool `json:"exercised"`
	// Broken counts the breaches.
	Broken int `json:"broken"`
	// Observed counts what was looked at.
	Observed int    `json:"observed"`
	Detail   string `json:"detail,omitempty"`
}

// Held reports whether the promise was seen to hold.
func (f Finding) Held() bool { return f.Exercised && f.Broken == 0 }

// Verdict is the witness's judgement of a run.
type Verdict struct {
	Findings          []Finding
	Tries             int
	Answered          int
	Wrong             int
	Refused           int
	Broken            int
	Excused           int
	Refusals          map[string]int
	Purchases         int
	PurchasesRunTwice int
	NotRunButRan      int
	Cap               int
	CapPeak           int
	CapAdmitted       int
	OverloadPeak      int
	TargetOverPeak    int
	TargetRefusals    int
	Uploads           int
	UploadsCut        int
	// TargetsLost counts targets that died of a request.
	TargetsLost int
	// NewWorkAfterStop is how long after its acceptance a planned stop's
	// target was last given new work.
	NewWorkAfterStop time.Duration
	// DrainTime is how long after its acceptance the last request ended there.
	DrainTime time.Duration
	// ConfigSlowest is the longest time a change took to be seen everywhere.
	ConfigSlowest time.Duration
}

// Held reports whether every promise was exercised and held.
func (v Verdict) Held() bool {
	return !slices.ContainsFunc(v.Findings, func(f Finding) bool { return !f.Held() })
}

// Broken reports whether a promise was broken.
func (v Verdict) AnyBroken() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Broken > 0 })
}

// Planned says what a run had planned that the promises depend on.
type Planned struct {
	Caps []CapLimit
	// Crashes is set when requests that crash targets were to be sent.
	Crashes bool
}

// Judge weighs everything reported against the promises.
func (w *Witness) Judge(now time.Time, planned Planned) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.countCallers()
	findings := []func(*Verdict) Finding{
		func(v *Verdict) Finding { return w.judgeCaps(v, planned.Caps) },
		w.judgeOverload,
		w.judgeWhole,
		w.judgeNotRun,
		w.judgeOnce,
		w.judgeNewWork,
		w.judgeCut,
		w.judgeUploads,
		func(v *Verdict) Finding { return w.judgeConfig(v, now) },
		w.judgeReverts,
	}
	if planned.Crashes {
		findings = append(findings, w.judgeLost)
	}
	for _, judge := range findings {
		v.Findings = append(v.Findings, judge(&v))
	}
	return v
}

func (w *Witness) countCallers() Verdict {
	c := &w.callers
	v := Verdict{
		Tries:     c.tries,
		Answered:  c.answers[AnswerWhole],
		Wrong:     c.answers[AnswerWrong],
		Refused:   c.answers[AnswerRefused],
		Broken:    c.broken,
		Excused:   c.excused,
		Purchases: len(c.purchases),
		Uploads:   len(c.uploads),
		Refusals:  map[string]int{},
	}
	for reason, n := range c.refusals {
		v.Refusals[reason] = n
	}
	for _, n := range w.refusedBy {
		v.TargetRefusals += n
	}
	return v
}

func (w *Witness) judgeCaps(v *Verdict, caps []CapLimit) Finding {
	f := Finding{Promise: PromiseCap}
	for _, c := range caps {
		starts := w.boundStarts(c)
		peak := peakInWindow(starts, c.Window)
		f.Observed += len(starts)
		if peak > c.Requests {
			f.Broken++
			f.Detail = fmt.Sprintf("%d started within %s under a cap of %d", peak, c.Window, c.Requests)
		}
		if peak >= v.CapPeak {
			v.Cap, v.CapPeak = c.Requests, peak
		}
	}
	v.CapAdmitted = f.Observed
	f.Exercised = f.Observed > 0
	if f.Exercised && f.Detail == "" {
		f.Detail = fmt.Sprintf("peak %d of %d", v.CapPeak, v.Cap)
	}
	return f
}

// Bound returns how many executions a cap has counted so far.
func (w *Witness) Bound(c CapLimit) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.boundStarts(c))
}

func (w *Witness) boundStarts(c CapLimit) []time.Time {
	var starts []time.Time
	for _, e := range w.executions {
		if c.binds(e) {
			starts = append(starts, e.At)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// peakInWindow returns the most times that lie in one half-open window.
func peakInWindow(sorted []time.Time, window time.Duration) int {
	peak, first := 0, 0
	for last, at := range sorted {
		for at.Sub(sorted[first]) >= window {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

func (w *Witness) judgeOverload(v *Verdict) Finding {
	f := Finding{Promise: PromiseOverload, Observed: len(w.executions), Exercised: len(w.executions) > 0}
	for p, r := range w.pools {
		if r.over > 0 {
			f.Broken++
			f.Detail = fmt.Sprintf("%s at %s: %d over its %d slots at %s", p.service, p.place, r.over, r.slots, r.overAt.Format("15:04:05.000"))
		}
		v.OverloadPeak = max(v.OverloadPeak, r.over)
	}
	for _, t := range w.targets {
		v.TargetOverPeak = max(v.TargetOverPeak, t.over)
	}
	return f
}

func (w *Witness) judgeWhole(v *Verdict) Finding {
	return Finding{Promise: PromiseWhole, Observed: v.Answered + v.Wrong, Broken: v.Wrong, Exercised: v.Answered+v.Wrong > 0}
}

func (w *Witness) judgeNotRun(v *Verdict) Finding {
	f := Finding{Promise: PromiseNotRun, Observed: len(w.callers.notRun)}
	f.Exercised = f.Observed > 0
	ran := map[string]bool{}
	for _, e := range w.executions {
		reason, claimed := w.callers.notRun[e.Try]
		if !claimed || ran[e.Try] {
			continue
		}
		ran[e.Try] = true
		f.Broken++
		f.Detail = fmt.Sprintf("try %s was refused (%s) as not run and ran at %s", e.Try, reason, e.Target)
	}
	v.NotRunButRan = f.Broken
	return f
}

func (w *Witness) judgeOnce(v *Verdict) Finding {
	f := Finding{Promise: PromiseOnce, Observed: len(w.callers.purchases)}
	runs := map[string]int{}
	for _, e := range w.executions {
		if !w.callers.purchases[e.Request] {
			continue
		}
		runs[e.Request]++
		if runs[e.Request] == 2 {
			f.Broken++
			f.Detail = fmt.Sprintf("purchase %s ran again at %s", e.Request, e.Target)
		}
	}
	f.Exercised = len(runs) > 0
	v.PurchasesRunTwice = f.Broken
	return f
}

func (w *Witness) judgeNewWork(v *Verdict) Finding {
	f := Finding{Promise: PromiseNoNewWork}
	for _, s := range w.stops {
		before, others := false, false
		late := 0
		for _, e := range w.executions {
			others = others || w.mightHaveGone(e, s)
			if e.Target != s.Target {
				continue
			}
			after := e.At.Sub(s.Accepted)
			before = before || after < 0
			v.NewWorkAfterStop = max(v.NewWorkAfterStop, after)
			if after > StopGrace {
				late++
			}
		}
		if before && others {
			f.Observed++
		}
		if late > 0 {
			f.Broken += late
			f.Detail = fmt.Sprintf("%s got %d requests more than %s after its stop", s.Target, late, StopGrace)
		}
	}
	// A target that had no work before its stop, or whose place had none after
	// it, proves nothing by having none either.
	f.Exercised = f.Observed > 0 || f.Broken > 0
	return f
}

// mightHaveGone reports whether an execution began after the grace of a stop
// and could have gone to the stopping target: same place, same service.
func (w *Witness) mightHaveGone(e *Execution, s Stop) bool {
	t, ok := w.targets[s.Target]
	return ok && e.Place == t.place && e.Service == t.service && e.At.Sub(s.Accepted) > StopGrace
}

func (w *Witness) judgeCut(v *Verdict) Finding {
	f := Finding{Promise: PromiseNoCut}
	for _, s := range w.stops {
		for _, e := range w.executions {
			if e.Target != s.Target || !e.runsAt(s.Accepted) {
				continue
			}
			f.Observed++
			v.DrainTime = max(v.DrainTime, e.Ended.Sub(s.Accepted))
			if e.How == EndCancelled || e.How == EndCrashed || e.How == EndCulprit {
				f.Broken++
				f.Detail = fmt.Sprintf("%s was cut at %s", e.Try, s.Target)
			}
		}
	}
	f.Exercised = f.Observed > 0
	return f
}

// runsAt reports whether an execution was in flight at a moment or began
// after it.
func (e *Execution) runsAt(at time.Time) bool {
	return e.How == EndRunning || e.Ended.After(at)
}
