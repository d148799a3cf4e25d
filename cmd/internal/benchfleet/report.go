package benchfleet

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// figure is a value of a row with its name in reports.
type figure struct {
	name  string
	value func(Row) float64
}

// figures are the values that reports show, in order.
func figures() []figure {
	all := []figure{
		{"kB a VM in the first 10 s", func(r Row) float64 { return float64(r.StartBytes) / 1000 }},
		{"kB of the busiest VM in the first 10 s", func(r Row) float64 { return float64(r.MaxStartBytes) / 1000 }},
		{"ms of a processor a VM in the first 10 s", func(r Row) float64 { return r.StartMillis }},
		{"calls to the store of all VMs in the first 10 s", func(r Row) float64 { return float64(r.StoreCalls) }},
		{"calls to the store of all VMs a second", func(r Row) float64 { return r.SteadyCalls }},
	}
	for _, role := range []Role{Reader, Delegate, Standby} {
		all = append(all,
			figure{string(role) + ": VMs", func(r Row) float64 { return float64(r.Steady[role].VMs) }},
			figure{string(role) + ": datagrams sent a second", func(r Row) float64 { return r.Steady[role].Datagrams }},
			figure{string(role) + ": B sent and pulled a second", func(r Row) float64 { return r.Steady[role].Bytes }},
			figure{string(role) + ": B of the busiest a second", func(r Row) float64 { return r.Steady[role].MaxBytes }},
			figure{string(role) + ": us of a processor a second", func(r Row) float64 { return r.Steady[role].ProcessorMicros }},
		)
	}
	all = append(all,
		figure{"calls to the store of all VMs in the 10 s after a restore", func(r Row) float64 { return float64(r.RestoreCalls) }},
		figure{"kB of the busiest VM in the 10 s after a restore", func(r Row) float64 { return float64(r.RestoreBytes) / 1000 }},
		figure{"questions for departures of all VMs after some came back", func(r Row) float64 { return float64(r.ReturnQuestions) }},
		figure{"cases in which a VM used targets again that had left", func(r Row) float64 { return float64(r.Reopened) }},
		figure{"kB pulled by all VMs after some came back", func(r Row) float64 { return float64(r.ReturnBytes) / 1000 }})
	for _, name := range times {
		all = append(all, figure{"s, " + name, func(r Row) float64 { return r.Seconds[name] }})
	}
	return all
}

// growth returns the power with which each figure grew from the first row to the last, for figures
// that are positive in both.
func growth(rows []Row) map[string]float64 {
	powers := make(map[string]float64)
	first, last := rows[0], rows[len(rows)-1]
	if first.VMs == last.VMs {
		return powers
	}
	for _, f := range figures() {
		if a, b := f.value(first), f.value(last); a > 0 && b > 0 {
			powers[f.name] = math.Log(b/a) / math.Log(float64(last.VMs)/float64(first.VMs))
		}
	}
	return powers
}

// writeText writes the report as tables.
func (r Report) writeText(out io.Writer) {
	r.writeFigures(out)
	for _, row := range r.Rows {
		row.writeCuts(out)
	}
}

// writeCuts writes what happened while VMs were cut off from all targets.
func (r Row) writeCuts(out io.Writer) {
	if len(r.Cuts) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "\n%d VMs, cut off from all targets\tcut off\tserved in 3 s\tlater\tknown s\ttold s\thops\tadded ms\tbusiest helper\tB/s a VM\n", r.VMs)
	for _, c := range r.Cuts {
		fmt.Fprintf(w, "%s\t%d\t%d of %d\t%d of %d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\n",
			c.Case, c.CutOff, c.Early, c.EarlySent, c.Served, c.Sent, c.KnownSeconds, c.ToldSeconds, c.Hops, c.AddedMillis, c.BusiestHelper, c.Bytes)
	}
}

func (r Report) writeFigures(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%d VMs\t", row.VMs)
	}
	fmt.Fprint(w, "power\t \n")
	for _, f := range figures() {
		for _, row := range r.Rows {
			fmt.Fprintf(w, "%.4g\t", f.value(row))
		}
		if power, found := r.Growth[f.name]; found {
			fmt.Fprintf(w, "%.2f", power)
		}
		fmt.Fprintf(w, "\t  %s\n", f.name)
	}
}
