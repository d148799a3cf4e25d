package benchplacement

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"heatherlock/cmd/internal/command"
)

// Options are the choices of a run.
type Options = command.SimOptions

// Row is what callers got in one run.
type Row struct {
	Scenario Scenario `json:"scenario"`
	Way      string   `json:"way"`
	// Worth is 1 for an answer within its aim, 0.2 for a later one and -0.3 for a
	// caller that came back after a refusal and was refused again, as a share of
	// what was asked.
	Worth   float64 `json:"worth"`
	InAim   float64 `json:"in_aim"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Warm is the share of runs that found their key warm.
	Warm  float64 `json:"warm"`
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Report holds all rows.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
}

// scenarios are the loads that are played.
var scenarios = []Scenario{
	{Name: "usual load", Load: 0.4},
	{Name: "full", Load: 0.8},
	{Name: "half more than fits", Load: 1.5},
	{Name: "one region short of targets", Load: 0.5, Uneven: true},
	{Name: "a fifth of the targets silent for 5 s", Load: 0.5, Dead: 0.2},
}

// ways are the choices that are compared, the product's first.
var ways = []struct {
	name string
	make func(*sim) way
}{
	{"heatherlock", newProduct},
	{"least loaded of a key's first 3", func(m *sim) way { return simple{m, 3} }},
	{"a key's first, never refusing", func(m *sim) way { return simple{m, 1} }},
	{"random in the region", func(m *sim) way { return simple{m, 0} }},
}

// Run plays every scenario with every way.
func Run(o Options) Report {
	report := Report{Seed: o.Seed, Seconds: o.For.Seconds()}
	for _, s := range scenarios {
		for _, w := range ways {
			got := newSim(s, o.Seed, o.For, w.make).run()
			report.Rows = append(report.Rows, rowOf(s, w.name, got))
		}
	}
	return report
}

func rowOf(s Scenario, name string, t tally) Row {
	asked, ran := float64(max(t.asked, 1)), float64(max(t.ran, 1))
	return Row{Scenario: s, Way: name, Worth: (float64(t.inAim) + lateWorth*float64(t.late) - againPrice*float64(t.refused)) / asked, InAim: float64(t.inAim) / asked,
		Refused: float64(t.refused) / asked, Failed: float64(t.failed) / asked, Warm: float64(t.warm) / ran,
		P50Ms: t.quantile(0.5), P99Ms: t.quantile(0.99)}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.0f s simulated per line; %d regions, %d targets of %d slots each, %d keys a region, %s cold, %s warm, aim %s\n",
		r.Seed, r.Seconds, regionCount, regularTargets, targetSlots, keysPerRegion, coldWork, time.Duration(warmShare*float64(coldWork)), aim)
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
