package witness

import (
	"fmt"
	"slices"
	"time"
)

// Limits of the promises.
const (
	// StopGrace is the time after the acceptance of a planned stop during which
	// the target may still get new requests.
	StopGrace = 3 * time.Second
	// ConfigGrace is the time within which an accepted configuration must be in
	// force on every entry VM.
	ConfigGrace = 4 * time.Second
	// MaxCrashes is the largest number of targets per region that one request may crash.
	MaxCrashes = 2
)

// Promise names a promise of the system.
type Promise string

// Promises that Judge checks.
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
	PromiseCrashLimit Promise = "one request takes down two targets at most"
)

// CapLimit is a cap as the operator declared it: at most Requests executions within
// Window. It counts executions of Service that start in a place of To and whose home is
// in From. An empty Service means every service.
type CapLimit struct {
	Service  string
	From     []string
	To       []string
	Requests int
	Window   time.Duration
}

// counts reports whether the cap counts an execution.
func (c CapLimit) counts(e *Execution) bool {
	if c.Service != "" && c.Service != e.Service {
		return false
	}
	return slices.Contains(c.From, e.Home) && slices.Contains(c.To, e.Place)
}

// Finding is the result of the check of one promise.
type Finding struct {
	Promise Promise `json:"promise"`
	// Exercised is false if nothing in the run could have broken the promise.
	Exercised bool `json:"exercised"`
	// Broken is the number of violations.
	Broken int `json:"broken"`
	// Observed is the number of records that were checked.
	Observed int    `json:"observed"`
	Detail   string `json:"detail,omitempty"`
}

// Held reports whether the promise was exercised without a violation.
func (f Finding) Held() bool { return f.Exercised && f.Broken == 0 }

// Verdict is the result of a run: the finding for each promise and figures for reports.
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
	// TargetsLost is the number of target crashes caused by a request.
	TargetsLost int
	// NewWorkAfterStop is the longest time between the acceptance of a planned
	// stop and the start of an execution on its target.
	NewWorkAfterStop time.Duration
	// DrainTime is the longest time between the acceptance of a planned stop and
	// the end of an execution on its target.
	DrainTime time.Duration
	// ConfigSlowest is the longest time between the acceptance of a change and
	// its coming into force on an entry VM.
	ConfigSlowest time.Duration
}

// Held reports whether every promise was exercised and held.
func (v Verdict) Held() bool {
	return !slices.ContainsFunc(v.Findings, func(f Finding) bool { return !f.Held() })
}

// AnyBroken reports whether any promise was broken.
func (v Verdict) AnyBroken() bool {
	return slices.ContainsFunc(v.Findings, func(f Finding) bool { return f.Broken > 0 })
}

// Planned describes the parts of a run's plan that its promises depend on.
type Planned struct {
	Caps []CapLimit
	// Crashes is set if the run sends requests that crash targets.
	Crashes bool
}

// Judge checks the promises against all reports so far. A configuration change that is
// not yet in force counts as taking until now.
func (w *Witness) Judge(now time.Time, planned Planned) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.countCallers()
	findings := []func(*Verdict) Finding{
		func(v *Verdict) Finding { return w.judgeCaps(v, planned.Caps) },
		w.judgeOverload,
		w.judgeWholeAnswers,
		w.judgeNotRunClaims,
		w.judgeRunOnce,
		w.judgeNewWork,
		w.judgeCutRequests,
		w.judgeUploads,
		func(v *Verdict) Finding { return w.judgeConfig(v, now) },
		w.judgeReverts,
	}
	if planned.Crashes {
		findings = append(findings, w.judgeCrashes)
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
		starts := w.countedStarts(c)
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

// Bound returns the number of executions that count against a cap so far.
func (w *Witness) Bound(c CapLimit) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.countedStarts(c))
}

func (w *Witness) countedStarts(c CapLimit) []time.Time {
	var starts []time.Time
	for _, e := range w.executions {
		if c.counts(e) {
			starts = append(starts, e.At)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// peakInWindow returns the largest number of times within one half-open window.
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

func (w *Witness) judgeWholeAnswers(v *Verdict) Finding {
	return Finding{Promise: PromiseWhole, Observed: v.Answered + v.Wrong, Broken: v.Wrong, Exercised: v.Answered+v.Wrong > 0}
}

func (w *Witness) judgeNotRunClaims(v *Verdict) Finding {
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

func (w *Witness) judgeRunOnce(v *Verdict) Finding {
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
			others = others || w.eligibleAfterStop(e, s)
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
	// A stop is evidence only if the target had requests before the stop and its
	// place had requests of the service after the grace. Otherwise the target would
	// have got none anyway.
	f.Exercised = f.Observed > 0 || f.Broken > 0
	return f
}

// eligibleAfterStop reports whether an execution started after the grace of a stop and
// could have run on the stopped target, which has the same place and service.
func (w *Witness) eligibleAfterStop(e *Execution, s Stop) bool {
	t, ok := w.targets[s.Target]
	return ok && e.Place == t.place && e.Service == t.service && e.At.Sub(s.Accepted) > StopGrace
}

func (w *Witness) judgeCutRequests(v *Verdict) Finding {
	f := Finding{Promise: PromiseNoCut}
	for _, s := range w.stops {
		for _, e := range w.executions {
			if e.Target != s.Target || !e.runsAtOrAfter(s.Accepted) {
				continue
			}
			f.Observed++
			v.DrainTime = max(v.DrainTime, e.Ended.Sub(s.Accepted))
			if e.Outcome == EndCancelled || e.Outcome == EndCrashed || e.Outcome == EndCausedCrash {
				f.Broken++
				f.Detail = fmt.Sprintf("%s was cut at %s", e.Try, s.Target)
			}
		}
	}
	f.Exercised = f.Observed > 0
	return f
}

// runsAtOrAfter reports whether an execution was in flight at a time or started after
// it, that is, had not ended by then.
func (e *Execution) runsAtOrAfter(at time.Time) bool {
	return e.Outcome == EndRunning || e.Ended.After(at)
}
