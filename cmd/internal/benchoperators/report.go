package benchoperators

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a measurement.
type Report struct {
	EntryVMs int   `json:"entryVMs"`
	Zones    int   `json:"zones"`
	Changes  int   `json:"changes"`
	Accepted Times `json:"acceptedMs"`
	Watched  Times `json:"watchedMs"`
	InForce  Times `json:"inForceEverywhereMs"`
}

// Times summarises durations in milliseconds, measured from the sending of a change.
type Times struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// summarise computes exact percentiles: each is the smallest measured value such that
// at least the given share of all values does not exceed it.
func summarise(all []time.Duration) Times {
	if len(all) == 0 {
		return Times{}
	}
	sorted := slices.Sorted(slices.Values(all))
	at := func(share float64) float64 {
		return milliseconds(sorted[int(math.Ceil(share*float64(len(sorted))))-1])
	}
	return Times{Count: len(sorted), P50: at(0.5), P99: at(0.99), Max: at(1)}
}

// WriteText writes the report as a table. Write errors are ignored.
func (r *Report) WriteText(out io.Writer) {
	fmt.Fprintf(out, "%d changes, %d entry VMs in %d zones; milliseconds from sending the change\n\n", r.Changes, r.EntryVMs, r.Zones)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "until\tp50\tp99\tmax\tcount\t")
	for _, row := range []struct {
		name  string
		times Times
	}{{"accepted", r.Accepted}, {"seen by a watch", r.Watched}, {"in force everywhere", r.InForce}} {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%d\t\n", row.name, row.times.P50, row.times.P99, row.times.Max, row.times.Count)
	}
	_ = w.Flush()
}
