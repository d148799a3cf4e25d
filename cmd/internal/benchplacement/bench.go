package benchplacement

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"heatherlock/cmd/internal/command"
)

// Options holds the seed, the simulated time and the output files of a run.
type Options = command.SimOptions

// Row holds the results of one policy in one scenario, as the callers saw them. Shares are of
// the requests that arrived in the measured time, a retry not counted as a request of its own.
type Row struct {
	Scenario Scenario `json:"scenario"`
	Way      string   `json:"way"`
	// Worth is the mean score of a request: 1 for an answer within the latency objective, 0.2 for
	// a later one, and -0.3 for a request that was refused, retried once and refused again.
	Worth   float64 `json:"worth"`
	InAim   float64 `json:"in_aim"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Warm is the share of the answered requests whose target had their key warm.
	Warm  float64 `json:"warm"`
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Report holds the results of a run, one row for each pair of a scenario and a policy.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
}

// scenarios lists the simulated loads and faults.
var scenarios = []Scenario{
	{Name: "usual load", Load: 0.4},
	{Name: "full", Load: 0.8},
	{Name: "half more than fits", Load: 1.5},
	{Name: "one region short of targets", Load: 0.5, Uneven: true},
	{Name: "a fifth of the targets silent for 5 s", Load: 0.5, Dead: 0.2},
}

// policies lists the placement policies compared, the product's own first.
var policies = []struct {
	name string
	make func(*sim) way
}{
	{"heatherlock", newProductPolicy},
	{"least loaded of a key's first 3", func(m *sim) way { return simplePolicy{m, 3} }},
	{"a key's first, never refusing", func(m *sim) way { return simplePolicy{m, 1} }},
	{"random in the region", func(m *sim) way { return simplePolicy{m, 0} }},
}

// Run simulates every scenario with every policy.
func Run(o Options) Report {
	report := Report{Seed: o.Seed, Seconds: o.For.Seconds()}
	for _, s := range scenarios {
		for _, w := range policies {
			got := newSim(s, o.Seed, o.For, w.make).run()
			report.Rows = append(report.Rows, newRow(s, w.name, got))
		}
	}
	return report
}

// newRow computes the shares and quantiles of one run.
func newRow(s Scenario, name string, t results) Row {
	total, served := float64(max(t.total, 1)), float64(max(t.served, 1))
	return Row{Scenario: s, Way: name, Worth: (float64(t.withinObjective) + lateValue*float64(t.late) - refusalPenalty*float64(t.refused)) / total, InAim: float64(t.withinObjective) / total,
		Refused: float64(t.refused) / total, Failed: float64(t.failed) / total, Warm: float64(t.warm) / served,
		P50Ms: t.quantile(0.5), P99Ms: t.quantile(0.99)}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.0f s simulated per line; %d regions, %d targets of %d slots each, %d keys a region, %s cold, %s warm, aim %s\n",
		r.Seed, r.Seconds, regionCount, targetsPerRegion, targetSlots, keysPerRegion, coldRunTime, time.Duration(warmRunFraction*float64(coldRunTime)), latencyObjective)
	scenario := ""
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range r.Rows {
		if row.Scenario.Name != scenario {
			scenario = row.Scenario.Name
			fmt.Fprintf(t, "\nworth\tin aim %%\trefused %%\tfailed %%\twarm %%\tp50 ms\tp99 ms\t  %s, load %.1f\t\n", scenario, row.Scenario.Load)
		}
		fmt.Fprintf(t, "%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t  %s\t\n", row.Worth, 100*row.InAim, 100*row.Refused, 100*row.Failed,
			100*row.Warm, row.P50Ms, row.P99Ms, row.Way)
	}
	_ = t.Flush()
}

// WriteJSON writes the report to a file as one JSON object.
func (r Report) WriteJSON(file string) error { return command.WriteReport(file, r) }
