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

// Goals of the path.
const (
	goalAddedP50Ms      = 0.2
	goalThroughputRatio = 0.5
	goalLookups         = 30_000
)

// Options are the choices of a run.
type Options struct {
	// Round is the length of one measurement; direct and hop take turns.
	Round    time.Duration
	Rounds   int
	Workers  int
	JSONFile string
}

// Defaults returns the options of a run without flags.
func Defaults() Options { return Options{Round: 2 * time.Second, Rounds: 3, Workers: 32} }

// Check reports the first option out of bounds.
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

// Pair compares a direct call with one through an entry VM.
type Pair struct {
	Workers int  `json:"workers"`
	Direct  Loop `json:"direct"`
	// Bare is a hop that only relays, made of the same library.
	Bare Loop `json:"bare_hop"`
	Hop  Loop `json:"hop"`
	// AddedP50Ms and Ratio are medians over the rounds.
	AddedP50Ms float64 `json:"added_p50_ms"`
	Ratio      float64 `json:"throughput_ratio"`
	// CPURatio is the processor time of a direct call over that of one through
	// an entry VM: the throughput ratio of saturated cores.
	CPURatio float64 `json:"cpu_ratio"`
}

// Upload is the memory used while one upload streams through.
type Upload struct {
	Megabytes  int64   `json:"megabytes"`
	DirectHeap float64 `json:"direct_heap_mb"`
	HopHeap    float64 `json:"hop_heap_mb"`
	Seconds    float64 `json:"seconds"`
}

// Report is the outcome of a run.
type Report struct {
	Cores   int      `json:"cores"`
	Single  Pair     `json:"one_worker"`
	Many    Pair     `json:"many_workers"`
	Uploads []Upload `json:"uploads"`
	Lookups Loop     `json:"lookups"`
}

// uploadSizes in megabytes: memory must not grow with them.
var uploadSizes = []int64{4, 16, 64}

// Run measures the path.
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
	report.Single = r.pair(ctx, o, 1)
	report.Many = r.pair(ctx, o, o.Workers)
	if report.Uploads, err = r.uploads(ctx); err != nil {
		return nil, err
	}
	c := newClient()
	report.Lookups = loop(ctx, o.Workers, o.Round, func(ctx context.Context) error { return r.get(ctx, c, r.lookupURL()) })
	return report, nil
}

// pair lets direct and hop take turns, so that what else the machine does
// falls on both alike, and gives the round with the median ratio.
func (r *rig) pair(ctx context.Context, o Options, workers int) Pair {
	direct, bare, hop := newClient(), newClient(), newClient()
	pairs := make([]Pair, o.Rounds)
	for i := range pairs {
		p := Pair{Workers: workers}
		p.Direct = loop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, direct, r.directURL()) })
		p.Bare = loop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, bare, r.bare.url()) })
		p.Hop = loop(ctx, workers, o.Round, func(ctx context.Context) error { return r.get(ctx, hop, r.hopURL()) })
		p.AddedP50Ms = float64(p.Hop.P50Us-p.Direct.P50Us) / 1000
		p.Ratio = p.Hop.PerSecond / p.Direct.PerSecond
		p.CPURatio = p.Direct.CPUUs / p.Hop.CPUUs
		pairs[i] = p
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		switch {
		case a.Ratio < b.Ratio:
			return -1
		case a.Ratio > b.Ratio:
			return 1
		}
		return 0
	})
	return pairs[len(pairs)/2]
}

func (r *rig) uploads(ctx context.Context) ([]Upload, error) {
	const megabyte = 1 << 20
	c := newClient()
	var all []Upload
	for _, size := range uploadSizes {
		direct, err := heapPeak(func() error { return r.upload(ctx, c, r.directURL(), size*megabyte) })
		if err != nil {
			return nil, fmt.Errorf("bench: direct upload: %w", err)
		}
		begun := time.Now()
		hop, err := heapPeak(func() error { return r.upload(ctx, c, r.hopURL(), size*megabyte) })
		if err != nil {
			return nil, fmt.Errorf("bench: upload through the entry VM: %w", err)
		}
		all = append(all, Upload{
			Megabytes: size, DirectHeap: float64(direct) / megabyte, HopHeap: float64(hop) / megabyte,
			Seconds: time.Since(begun).Seconds(),
		})
	}
	return all, nil
}

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(path string) error {
	return command.WriteReport(path, r)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d cores shared by callers, entry VM and target; 1 KB answers, keep-alive\n\n", r.Cores)
	fmt.Fprintf(w, "%-22s %10s %10s %12s %8s %8s\n", "", "p50 us", "p99 us", "per second", "cpu us", "errors")
	for _, p := range []Pair{r.Single, r.Many} {
		p.Direct.write(w, fmt.Sprintf("direct, %d workers", p.Workers))
		p.Bare.write(w, fmt.Sprintf("bare hop, %d workers", p.Workers))
		p.Hop.write(w, fmt.Sprintf("one hop, %d workers", p.Workers))
	}
	r.Lookups.write(w, "look-ups")
	fmt.Fprintf(w, "\nadded p50, 1 worker: %.3f ms (goal at most %.1f): %s\n", r.Single.AddedP50Ms, goalAddedP50Ms, met(r.Single.AddedP50Ms <= goalAddedP50Ms))
	fmt.Fprintf(w, "throughput, %d workers: %.2f of direct (goal at least %.1f): %s\n", r.Many.Workers, r.Many.Ratio, goalThroughputRatio, met(r.Many.Ratio >= goalThroughputRatio))
	fmt.Fprintf(w, "processor time of a direct call: %.2f of one through the entry VM, %.2f of one through a bare hop\n",
		r.Many.CPURatio, r.Many.Direct.CPUUs/r.Many.Bare.CPUUs)
	fmt.Fprintf(w, "look-ups: %.0f a second (goal %d): %s\n\n", r.Lookups.PerSecond, goalLookups, met(r.Lookups.PerSecond >= goalLookups))
	for _, u := range r.Uploads {
		fmt.Fprintf(w, "upload of %2d MB: heap rises %.1f MB direct, %.1f MB through the entry VM (%.2f s)\n", u.Megabytes, u.DirectHeap, u.HopHeap, u.Seconds)
	}
}

func (l Loop) write(w io.Writer, name string) {
	fmt.Fprintf(w, "%-22s %10d %10d %12.0f %8.0f %8d\n", name, l.P50Us, l.P99Us, l.PerSecond, l.CPUUs, l.Errors)
}

func met(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}
