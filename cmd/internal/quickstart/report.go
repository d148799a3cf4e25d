package quickstart

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

// Report is the result of a run. Its JSON names are documented for users.
type Report struct {
	Deployment  string   `json:"deployment"`
	Seed        uint64   `json:"seed"`
	Seconds     float64  `json:"seconds"`
	Faults      []Fault  `json:"faults"`
	Held        bool     `json:"held"`
	NotDone     []string `json:"not_done"`
	Requests    int      `json:"requests"`
	Answered    int      `json:"answered"`
	Refused     int      `json:"refused"`
	Wrong       int      `json:"wrong_answers"`
	BrokenOff   int      `json:"broken_off"`
	Failed      int      `json:"failed"`
	Unsent      int      `json:"unsent"`
	Late        int      `json:"no_answer_in_time"`
	Dropped     int      `json:"dropped_by_emulator"`
	Tries       int      `json:"tries"`
	Purchases   int      `json:"purchases"`
	RunTwice    int      `json:"purchases_run_twice"`
	NotRunRan   int      `json:"not_run_but_ran"`
	Cap         int      `json:"cap"`
	CapPeak     int      `json:"cap_peak"`
	CapAdmitted int      `json:"cap_admitted"`
	// OverloadPeak is the maximum number of concurrent requests above the slots of
	// a place.
	OverloadPeak int `json:"overload_peak"`
	// TargetOverPeak is the maximum number of concurrent requests above the slots
	// of one target.
	TargetOverPeak int `json:"target_over_peak"`
	// TargetRefusals counts the requests that targets refused.
	TargetRefusals int                        `json:"target_refusals"`
	TargetsLost    int                        `json:"targets_lost"`
	Uploads        int                        `json:"uploads"`
	UploadsCut     int                        `json:"uploads_cut"`
	Excused        int                        `json:"broken_by_planted_kill"`
	NewWorkAfter   float64                    `json:"new_work_after_drain_s"`
	DrainTime      float64                    `json:"drain_time_s"`
	ConfigSlowest  float64                    `json:"config_in_force_s"`
	Refusals       map[string]int             `json:"refusals"`
	LatencyMs      map[string]traffic.Latency `json:"latency_ms"`
	Headroom       []witness.PoolUse          `json:"headroom"`
	Promises       []PromiseResult            `json:"promises"`
	services       []deploy.Service
}

// PromiseResult is the finding on one promise and its result as a word.
type PromiseResult struct {
	witness.Finding
	Result string `json:"result"`
}

// Values of PromiseResult.Result.
const (
	resultHeld         = "held"
	resultBroken       = "BROKEN"
	resultNotExercised = "not exercised"
)

func (r *runState) report(took time.Duration) *Report {
	s := r.system
	v := s.witness.Judge(time.Now(), witness.Planned{
		Caps: r.operator.caps, Crashes: slices.Contains(r.options.Faults, FaultCrashRequest),
	})
	c := r.traffic.Counts()
	report := &Report{
		Deployment: s.deployment.Name, Seed: r.options.Seed, Seconds: took.Seconds(), Faults: r.options.Faults,
		NotDone: r.notDone, Requests: c.Requests, Answered: c.Answered, Refused: c.Refused, Wrong: v.Wrong,
		BrokenOff: c.Broken, Failed: c.Failed, Unsent: c.Unsent, Late: c.Late, Dropped: c.Dropped, Tries: v.Tries,
		Purchases: v.Purchases, RunTwice: v.PurchasesRunTwice, NotRunRan: v.NotRunButRan,
		Cap: v.Cap, CapPeak: v.CapPeak, CapAdmitted: v.CapAdmitted,
		OverloadPeak: v.OverloadPeak, TargetOverPeak: v.TargetOverPeak, TargetRefusals: v.TargetRefusals,
		TargetsLost: v.TargetsLost, Uploads: v.Uploads, UploadsCut: v.UploadsCut, Excused: v.Excused,
		NewWorkAfter: v.NewWorkAfterStop.Seconds(), DrainTime: v.DrainTime.Seconds(),
		ConfigSlowest: v.ConfigSlowest.Seconds(), Refusals: v.Refusals,
		LatencyMs: r.traffic.Latencies(), Headroom: s.witness.Use(), services: s.deployment.Services,
	}
	for _, f := range v.Findings {
		report.Promises = append(report.Promises, PromiseResult{Finding: f, Result: resultOf(f)})
	}
	report.Held = v.Held() && len(report.NotDone) == 0
	return report
}

func resultOf(f witness.Finding) string {
	switch {
	case f.Broken > 0:
		return resultBroken
	case !f.Exercised:
		return resultNotExercised
	}
	return resultHeld
}

// WriteJSON writes the report to a file as one JSON object.
func (r *Report) WriteJSON(path string) error {
	return command.WriteReport(path, r)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %.1f s", r.Deployment, r.Seed, r.Seconds)
	if len(r.Faults) > 0 {
		fmt.Fprintf(w, ", faults %v", r.Faults)
	}
	fmt.Fprintf(w, "\n\n%d requests in %d tries: %d answered, %d refused, %d failed by targets, %d broken off, %d without answer in time, %d not sent\n",
		r.Requests, r.Tries, r.Answered, r.Refused, r.Failed, r.BrokenOff, r.Late, r.Unsent)
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d more were due and never sent: the emulator carried too many\n", r.Dropped)
	}
	r.writeServices(w)
	r.writeRefusals(w)
	r.writePromises(w)
	for _, step := range r.NotDone {
		fmt.Fprintf(w, "not done: %s\n", step)
	}
	fmt.Fprintln(w, r.summary())
}

func (r *Report) writeServices(w io.Writer) {
	fmt.Fprintf(w, "\n%-14s %10s %10s %10s %10s %10s\n", "service", "p50 ms", "p99 ms", "answers", "slots", "least free")
	for _, s := range r.services {
		l := r.LatencyMs[s.Name]
		fmt.Fprintf(w, "%-14s %10.1f %10.1f %10d %10d %9.0f%%\n", s.Name, l.P50, l.P99, l.Count, s.Endpoints*s.Slots, r.leastFree(s.Name))
	}
	fmt.Fprintf(w, "\ndrain time %.2f s; configuration in force everywhere after at most %.2f s\n", r.DrainTime, r.ConfigSlowest)
}

// leastFree returns the lowest headroom of a service at any place, in percent of
// its slots there.
func (r *Report) leastFree(service string) float64 {
	least := 100.0
	for _, u := range r.Headroom {
		if u.Service == service {
			least = min(least, 100*float64(u.Slots-u.Peak)/float64(u.Slots))
		}
	}
	return least
}

func (r *Report) writeRefusals(w io.Writer) {
	fmt.Fprintf(w, "\nrefused tries by reason\n")
	if len(r.Refusals) == 0 {
		fmt.Fprintln(w, "  none")
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "  %-22s %8d\n", reason, r.Refusals[reason])
	}
}

func (r *Report) writePromises(w io.Writer) {
	fmt.Fprintf(w, "\n%-42s %-14s %8s %8s\n", "promise", "result", "seen", "broken")
	for _, p := range r.Promises {
		fmt.Fprintf(w, "%-42s %-14s %8d %8d  %s\n", p.Promise, p.Result, p.Observed, p.Broken, p.Detail)
	}
	fmt.Fprintln(w)
}

func (r *Report) summary() string {
	broken, idle := 0, 0
	for _, p := range r.Promises {
		switch p.Result {
		case resultBroken:
			broken++
		case resultNotExercised:
			idle++
		}
	}
	if broken+idle+len(r.NotDone) == 0 {
		return "every promise held"
	}
	return fmt.Sprintf("%d promises broken, %d not exercised, %d steps not done", broken, idle, len(r.NotDone))
}
