package benchcaps

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"heatherlock/cmd/internal/command"
)

// scheme is one method to enforce a cap on several entry VMs.
type scheme struct {
	name string
	run  func(scenario) result
}

var schemes = []scheme{
	{"central counter, no delay (ideal)", runCentral},
	{"central counter, fixed windows", runFixedWindow},
	{"equal seats", func(s scenario) result { return runSeats(s, 0) }},
	{"seats and loans of 1 window", func(s scenario) result { return runSeats(s, 1) }},
	{"seats and loans of 2 windows", func(s scenario) result { return runSeats(s, 2) }},
	{"seats and loans of 4 windows", func(s scenario) result { return runSeats(s, 4) }},
	{"seats and loans of 8 windows", func(s scenario) result { return runSeats(s, 8) }},
	{"seats by demand each 10 s", func(s scenario) result { return runRedividedSeats(s, 0, shortRedivideInterval) }},
	{"seats by demand each 10 s, loans of 8", func(s scenario) result { return runRedividedSeats(s, 8, shortRedivideInterval) }},
	{"seats by demand each 30 s, loans of 8", func(s scenario) result { return runRedividedSeats(s, 8, longRedivideInterval) }},
}

// Row is the result of one scheme in one scenario.
type Row struct {
	Way      string  `json:"way"`
	Cap      int     `json:"cap"`
	WindowMs int64   `json:"window_ms"`
	VMs      int     `json:"vms"`
	Demand   Demand  `json:"demand"`
	Load     float64 `json:"load"` // offered requests divided by the cap
	Offered  int     `json:"offered"`
	Admitted int     `json:"admitted"`
	// Wasted is the fraction of the requests admitted by the ideal scheme that
	// this one does not admit.
	Wasted float64 `json:"wasted"`
	// Peak is the maximum number of requests started in any window.
	Peak int `json:"peak"`
	// MessagesPerSecond is the rate of loan requests of all entry VMs together.
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// Report is the result of a benchmark run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Rows    []Row   `json:"rows"`
}

// Run compares the schemes in every scenario. The length is the simulated time per row.
func Run(length time.Duration, seed uint64) Report {
	report := Report{Seed: seed, Seconds: length.Seconds()}
	for _, size := range []struct{ requests, vms int }{{100, 4}, {100, 22}, {12, 22}} {
		for _, demand := range []Demand{Even, Busy, Moving} {
			for _, load := range []float64{0.6, 0.95, 1.5} {
				s := scenario{requests: size.requests, window: time.Second, vms: size.vms, demand: demand, load: load, length: length, seed: seed}
				report.Rows = append(report.Rows, compare(s)...)
			}
		}
	}
	return report
}

// compare runs all schemes in one scenario. The first of them is the ideal.
func compare(s scenario) []Row {
	var rows []Row
	ideal := 0
	for _, w := range schemes {
		r := w.run(s)
		if len(rows) == 0 {
			ideal = r.admitted
		}
		rows = append(rows, Row{
			Way: w.name, Cap: s.requests, WindowMs: s.window.Milliseconds(), VMs: s.vms, Demand: s.demand, Load: s.load,
			Offered: r.offered, Admitted: r.admitted, Wasted: 1 - float64(r.admitted)/float64(max(1, ideal)),
			Peak: peak(r.starts, s.window), MessagesPerSecond: float64(r.messages) / s.length.Seconds(),
		})
	}
	return rows
}

// peak returns the maximum number of starts in any window. A window excludes its first
// instant and includes its last.
func peak(starts []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range starts {
		for starts[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// WriteText writes the report as a table. Write errors are ignored.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%.0f s simulated per row, window 1 s, seed %d\n", r.Seconds, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "cap\tVMs\tload %\toffered\tadmitted\twasted %\tpeak\tloan requests/s\t  demand, way\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%d\t%d\t%.1f\t%d\t%.1f\t  %s, %s\t\n", row.Cap, row.VMs, row.Load*100, row.Offered,
			row.Admitted, row.Wasted*100, row.Peak, row.MessagesPerSecond, row.Demand, row.Way)
	}
	_ = t.Flush()
}

// WriteJSON writes the report to a file as one JSON object.
func (r Report) WriteJSON(file string) error {
	return command.WriteReport(file, r)
}
