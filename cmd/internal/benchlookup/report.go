package benchlookup

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"heatherlock/cmd/internal/command"
)

// Report is the result of a run.
type Report struct {
	Blocks int           `json:"blocks"`
	Places int           `json:"places"`
	Zones  int           `json:"zones"`
	VMs    int           `json:"entryVMs"`
	Seed   uint64        `json:"seed"`
	Go     string        `json:"go"`
	Tables []TableResult `json:"tables"`
	Node   NodeResult    `json:"node"`
	HTTP   HTTPResult    `json:"http"`
}

// Run performs all measurements one after another.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := newDeployment(o)
	report := &Report{Blocks: o.Blocks, Places: o.Places, Zones: o.Zones, VMs: o.VMs, Seed: o.Seed, Go: runtime.Version()}
	report.Tables = d.tables()
	var r *rig
	var err error
	if report.Node, r, err = d.measureNode(ctx); err != nil {
		return nil, errors.Wrap(err, "measure the node")
	}
	defer r.close()
	if report.HTTP, err = r.measureHTTP(ctx, runtime.GOMAXPROCS(0)); err != nil {
		return nil, errors.Wrap(err, "measure look-ups over HTTP")
	}
	return report, nil
}

// WriteJSON writes the report to file as one JSON object.
func (r *Report) WriteJSON(file string) error {
	return command.WriteReport(file, r)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d blocks, %d places, %d zones, %d entry VMs, seed %d\n\n", r.Blocks, r.Places, r.Zones, r.VMs, r.Seed)
	fmt.Fprintln(t, "TABLE\tBUILD ms\tMB\tns/LOOK-UP\tLOOK-UPS/s/CORE")
	for _, result := range r.Tables {
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.0f\t%.0f\n", result.Way, result.BuildMs, result.MB, result.NsPerLookup, result.LookupsPerSecond)
	}
	n := r.Node
	fmt.Fprintln(t, "\nONE ENTRY VM\t")
	fmt.Fprintf(t, "whole look-up\t%.0f ns, %.0f a second a core, %.3f allocations\n", n.NsPerLookup, n.LookupsPerSecond, n.AllocsPerLookup)
	fmt.Fprintf(t, "memory kept\t%.1f MB, of it stored objects %.1f MB\n", n.LiveMB, n.StoredMB)
	fmt.Fprintf(t, "start\t%.0f ms, under a bound of %d MB up to %.0f MB\n", n.StartMs, memoryLimitMB, n.StartPeakMB)
	fmt.Fprintf(t, "small change\tin force after %.1f ms\n", n.SmallChangeMs)
	writeChange(t, "one block changed", n.OneBlock)
	writeChange(t, "all blocks changed", n.AllBlocks)
	fmt.Fprintf(t, "over HTTP\t%.0f a second, p50 %.2f ms, p99 %.2f ms, %d callers and the server on %d CPUs, %d failed\n",
		r.HTTP.LookupsPerSecond, r.HTTP.P50Ms, r.HTTP.P99Ms, r.HTTP.Clients, r.HTTP.CPUs, r.HTTP.Failed)
	_ = t.Flush()
}

func writeChange(t io.Writer, what string, c ChangeResult) {
	fmt.Fprintf(t, "%s\tin force after %.0f ms, %d bytes; look-ups meanwhile p50 %.1f us, p99.9 %.1f us, longest %.0f us\n",
		what, c.Ms, c.Bytes, c.LookupP50Us, c.LookupP999Us, c.LookupMaxUs)
	fmt.Fprintf(t, "\tunder the bound: up to %.0f MB, in force after %.0f ms\n", c.PeakMB, c.BoundedMs)
}
