package benchpath

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"heatherlock/cmd/internal/command"
)

// Performance goals that the report compares its results with.
const (
	goalAddedP50Ms       = 0.2
	goalThroughputRatio  = 0.5
	goalLookupsPerSecond = 30_000
)

// Options configures a run.
type Options struct {
	// Round is the length of one measurement. Each round measures the direct path, the bare proxy
	// and the entry VM, one after the other.
	Round    time.Duration
	Rounds   int
	Workers  int
	JSONFile string
}

// Defaults returns the options that apply when no flag is set.
func Defaults() Options { return Options{Round: 2 * time.Second, Rounds: 3, Workers: 32} }

// Check returns an error for the first option that is out of bounds.
func (o Options) Check() error {
	if o.Round < 10*time.Millisecond || o.Round > time.Minute {
		return fmt.Errorf("bench: --round %s is out of bounds; give 10ms to 1m", o.Round)
	}
	if o.Rounds < 1 || o.Rounds > 100 {
		return fmt.Errorf("bench: --rounds %d is out of bounds; give 1 to 100", o.Rounds)
	}
	if o.Workers < 1 || o.Workers > maxConnections {
		return fmt.Errorf("bench: --workers %d is out of bounds; give 1 to %d", o.Workers, maxConnections)
	}
	return nil
}

// Comparison compares direct calls to the target with calls through a bare proxy and through an
// entry VM.
type Comparison struct {
	Workers int        `json:"workers"`
	Direct  LoopResult `json:"direct"`
	// Bare is the result for calls through a [bareProxy].
	Bare LoopResult `json:"bare_hop"`
	Hop  LoopResult `json:"hop"`
	// AddedP50Ms is the p50 latency through the entry VM minus the direct one. Ratio is the
	// throughput through the entry VM divided by the direct one. Both come from the round with
	// the median Ratio.
	AddedP50Ms float64 `json:"added_p50_ms"`
	Ratio      float64 `json:"throughput_ratio"`
	// CPURatio is the CPU time of a direct call divided by that of a call through an entry VM.
	// It equals the throughput ratio when the cores are saturated.
	CPURatio float64 `json:"cpu_ratio"`
}

// Upload is the memory used while one upload streams to the target, directly and through the
// entry VM.
type Upload struct {
	Megabytes  int64   `json:"megabytes"`
	DirectHeap float64 `json:"direct_heap_mb"`
	HopHeap    float64 `json:"hop_heap_mb"`
	Seconds    float64 `json:"seconds"` // duration of the upload through the entry VM
}

// Report is the result of a run.
type Report struct {
	Cores   int        `json:"cores"`
	Single  Comparison `json:"one_worker"`
	Many    Comparison `json:"many_workers"`
	Uploads []Upload   `json:"uploads"`
	Lookups LoopResult `json:"lookups"`
}

// uploadSizes are the sizes of the uploads in megabytes. The entry VM streams uploads, so its
// memory must not grow with them.
var uploadSizes = []int64{4, 16, 64}

// Run starts a target, a bare proxy and an entry VM in this process and measures them.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	r, err := newRig(ctx)
	if err != nil {
		return nil, err
	}
	defer r.close()
	report := &Report{Cores: runtime.GOMAXPROCS(0)}
	report.Single = r.compare(ctx, o, 1)
	report.Many = r.compare(ctx, o, o.Workers)
	if report.Uploads, err = r.uploads(ctx); err != nil {
		return nil, err
	}
	c := newClient()
	report.Lookups = runLoop(ctx, o.Workers, o.Round, func(ctx context.Context) error { return r.get(ctx, c, r.lookupURL()) })
	return report, nil
}

// compare measures the direct path, the bare proxy and the entry VM alternately, so that other load
// on the machine affects all of them alike, and returns the round with the median throughput
// ratio.
func (r *rig) compare(ctx context.Context, o Options, workers int) Comparison {
	direct, bare, hop := newClient(), newClient(), newClient()
	rounds := make([]Comparison, o.Rounds)
	for i := range rounds {
		p := Comparison{Workers: workers}
		p.Direct = runLoop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, direct, r.directURL()) })
		p.Bare = runLoop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, bare, r.bare.url()) })
		p.Hop = runLoop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, hop, r.hopURL()) })
		p.AddedP50Ms = float64(p.Hop.P50Us-p.Direct.P50Us) / 1000
		p.Ratio = p.Hop.PerSecond / p.Direct.PerSecond
		p.CPURatio = p.Direct.CPUUs / p.Hop.CPUUs
		rounds[i] = p
	}
	slices.SortFunc(rounds, func(a, b Comparison) int {
		switch {
		case a.Ratio < b.Ratio:
			return -1
		case a.Ratio > b.Ratio:
			return 1
		}
		return 0
	})
	return rounds[len(rounds)/2]
}

func (r *rig) uploads(ctx context.Context) ([]Upload, error) {
	const megabyte = 1 << 20
	c := newClient()
	var results []Upload
	for _, size := range uploadSizes {
		direct, err := heapPeak(func() error { return r.upload(ctx, c, r.directURL(), size*megabyte) })
		if err != nil {
			return nil, fmt.Errorf("bench: direct upload: %w", err)
		}
		start := time.Now()
		hop, err := heapPeak(func() error { return r.upload(ctx, c, r.hopURL(), size*megabyte) })
		if err != nil {
			return nil, fmt.Errorf("bench: upload through the entry VM: %w", err)
		}
		results = append(results, Upload{
			Megabytes: size, DirectHeap: float64(direct) / megabyte, HopHeap: float64(hop) / megabyte,
			Seconds: time.Since(start).Seconds(),
		})
	}
	return results, nil
}

// WriteJSON writes the report to the file at path as one JSON object.
func (r *Report) WriteJSON(path string) error {
	return command.WriteReport(path, r)
}

// WriteText writes the report as text tables and says which goals were met.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d cores shared by callers, entry VM and target; 1 KB answers, keep-alive\n\n", r.Cores)
	fmt.Fprintf(w, "%-22s %10s %10s %12s %8s %8s\n", "", "p50 us", "p99 us", "per second", "cpu us", "errors")
	for _, p := range []Comparison{r.Single, r.Many} {
		p.Direct.writeRow(w, fmt.Sprintf("direct, %d workers", p.Workers))
		p.Bare.writeRow(w, fmt.Sprintf("bare hop, %d workers", p.Workers))
		p.Hop.writeRow(w, fmt.Sprintf("one hop, %d workers", p.Workers))
	}
	r.Lookups.writeRow(w, "look-ups")
	fmt.Fprintf(w, "\nadded p50, 1 worker: %.3f ms (goal at most %.1f): %s\n", r.Single.AddedP50Ms, goalAddedP50Ms, goalStatus(r.Single.AddedP50Ms <= goalAddedP50Ms))
	fmt.Fprintf(w, "throughput, %d workers: %.2f of direct (goal at least %.1f): %s\n", r.Many.Workers, r.Many.Ratio, goalThroughputRatio, goalStatus(r.Many.Ratio >= goalThroughputRatio))
	fmt.Fprintf(w, "processor time of a direct call: %.2f of one through the entry VM, %.2f of one through a bare hop\n",
		r.Many.CPURatio, r.Many.Direct.CPUUs/r.Many.Bare.CPUUs)
	fmt.Fprintf(w, "look-ups: %.0f a second (goal %d): %s\n\n", r.Lookups.PerSecond, goalLookupsPerSecond, goalStatus(r.Lookups.PerSecond >= goalLookupsPerSecond))
	for _, u := range r.Uploads {
		fmt.Fprintf(w, "upload of %2d MB: heap rises %.1f MB direct, %.1f MB through the entry VM (%.2f s)\n", u.Megabytes, u.DirectHeap, u.HopHeap, u.Seconds)
	}
}

func (l LoopResult) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%-22s %10d %10d %12.0f %8.0f %8d\n", name, l.P50Us, l.P99Us, l.PerSecond, l.CPUUs, l.Errors)
}

func goalStatus(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}
