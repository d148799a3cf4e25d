package benchcapacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"

	"heatherlock/cmd/internal/command"
)

// Fit is a line fitted to one metric over the fleet sizes.
type Fit struct {
	Figure    string  `json:"figure"`
	Slope     float64 `json:"slopePerNode"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square deviation of the points from the line.
	Residual float64 `json:"residual"`
	At       float64 `json:"atDesignSize"`
	Limit    float64 `json:"limit"`
}

// Report is the result of a run.
type Report struct {
	Rows  []Row `json:"rows"`
	Fits  []Fit `json:"fits"`
	Nodes int   `json:"designNodes"`
	Zones int   `json:"designZones"`
}

// metric is a value measured for each fleet size, with its limit and the function that reads it from
// a row.
type metric struct {
	name  string
	limit float64
	value func(Row) float64
}

// Limits of the control plane at the design size: bytes per second, percent of a core and bytes of
// memory per entry VM, seconds until a change is in force, and platform calls per second.
const (
	limitBytes    = 5000
	limitCPU      = 2.3
	limitMemory   = 128 << 20
	limitChange   = 4
	limitPlatform = 2000
)

var metrics = []metric{
	{"bytes/s per node", limitBytes, func(r Row) float64 { return r.BytesPerSecond }},
	{"calls/s per node", math.Inf(1), func(r Row) float64 { return r.CallsPerSecond }},
	{"CPU % of a core per node", limitCPU, func(r Row) float64 { return r.CPUPercent }},
	{"memory bytes per node", limitMemory, func(r Row) float64 { return r.MemoryBytes }},
	{"seconds until a change is in force everywhere, worst", limitChange, func(r Row) float64 { return r.ChangeSecondsMax }},
	{"platform calls/s, fleet", limitPlatform, func(r Row) float64 { return r.PlatformTotal }},
	{"platform peak calls/s at start, fleet", limitPlatform, func(r Row) float64 { return float64(r.PlatformPeak.Start) }},
	{"platform peak calls/s in an outage, fleet", limitPlatform, func(r Row) float64 { return float64(r.PlatformPeak.Outage) }},
	{"platform peak calls/s after an outage, fleet", limitPlatform, func(r Row) float64 { return float64(r.PlatformPeak.After) }},
}

// fit fits a line to the values of a metric in the rows whose size is marked as fitted. It needs at
// least two of them and returns a line of zeros otherwise.
func fit(f metric, rows []Row) Fit {
	var x, y []float64
	for _, r := range rows {
		if r.Fitted {
			x, y = append(x, float64(r.Nodes)), append(y, f.value(r))
		}
	}
	result := Fit{Figure: f.name, Limit: f.limit}
	if len(x) < 2 {
		return result
	}
	result.Intercept, result.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		d := y[i] - result.Intercept - result.Slope*x[i]
		squares += d * d
	}
	result.Residual = math.Sqrt(squares / float64(len(x)))
	result.At = result.Intercept + result.Slope*designNodes
	return result
}

// Run measures every size, writes the report to w and writes the files that o names.
func Run(w io.Writer, o Options) error { return run(context.Background(), w, o) }

func run(ctx context.Context, w io.Writer, o Options) error {
	report := Report{Nodes: designNodes, Zones: designZones}
	for _, size := range o.Sizes {
		row, err := measure(ctx, size, o)
		if err != nil {
			return errors.Wrapf(err, "benchcapacity: %d nodes", size.Nodes)
		}
		report.Rows = append(report.Rows, row)
	}
	for _, f := range metrics {
		report.Fits = append(report.Fits, fit(f, report.Rows))
	}
	report.WriteText(w)
	if err := writeJSON(o.JSONFile, report); err != nil {
		return err
	}
	return writeSVG(o.SVGFile, report)
}

// WriteText writes the report as text tables.
func (r Report) WriteText(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tzones\tB/s\tcalls/s\tCPU %\tKB\tsee all\tchange s\tchange B\tplatform/s\tpeak start\tsteady\toutage\tafter\t")
	for _, row := range r.Rows {
		p := row.PlatformPeak
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.2f\t%.3f\t%.0f\t%.4f\t%.2f\t%.0f\t%.1f\t%d\t%d\t%d\t%d\t\n", row.Nodes, row.Zones, row.BytesPerSecond,
			row.CallsPerSecond, row.CPUPercent, row.MemoryBytes/1024, row.KnowAll, row.ChangeSecondsMax, row.ChangeBytes,
			row.PlatformTotal, p.Start, p.Steady, p.Outage, p.After)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "\nper entry VM but for the platform's; the lines leave out sizes of another zone size\n\n")
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "figure\tslope per node\tintercept\tresidual\tat %d\tlimit\n", r.Nodes)
	for _, f := range r.Fits {
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.3g\t%.4g\t%.4g\n", f.Figure, f.Slope, f.Intercept, f.Residual, f.At, f.Limit)
	}
	_ = w.Flush()
}

func writeJSON(file string, report Report) error {
	if file == "" {
		return nil
	}
	for i := range report.Fits {
		if math.IsInf(report.Fits[i].Limit, 0) {
			report.Fits[i].Limit = 0
		}
	}
	return command.WriteReport(file, report)
}
