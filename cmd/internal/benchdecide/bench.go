package benchdecide

import (
	"fmt"
	"io"
	"testing"
	"text/tabwriter"
	"time"

	"heatherlock/cmd/internal/command"
	"heatherlock/steering"
	"heatherlock/steering/health"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// Goals of a decision.
const (
	goalNs     = 1000
	goalAllocs = 0
)

// sizes are the numbers of targets measured.
var sizes = []int{20, 200, 2000}

// slots of each target.
const slots = 4

// Row is the cost of one kind of decision.
type Row struct {
	Decision string  `json:"decision"`
	Targets  int     `json:"targets"`
	Ns       float64 `json:"ns"`
	Allocs   int64   `json:"allocs"`
	Bytes    int64   `json:"bytes"`
	// Met says whether the row is within the goal.
	Met bool `json:"met"`
}

// Report holds all rows.
type Report struct {
	GoalNs     float64 `json:"goal_ns"`
	GoalAllocs int64   `json:"goal_allocs"`
	Rows       []Row   `json:"rows"`
}

// decision is one thing measured.
type decision struct {
	name string
	run  func(b *testing.B, targets int)
}

var decisions = []decision{
	{"admit, choose a target and release, slots free", free},
	{"admit, choose around two avoided targets and release", avoiding},
	{"queue, then be served by a release, all slots in use", queued},
	{"refuse, queue full", refused},
	{"judge an outcome", judged},
}

// Run measures every decision at every size.
func Run() Report {
	report := Report{GoalNs: goalNs, GoalAllocs: goalAllocs}
	for _, d := range decisions {
		for _, n := range sizes {
			result := testing.Benchmark(func(b *testing.B) { d.run(b, n) })
			ns := float64(result.T.Nanoseconds()) / float64(max(1, result.N))
			report.Rows = append(report.Rows, Row{
				Decision: d.name, Targets: n, Ns: ns,
				Allocs: result.AllocsPerOp(), Bytes: result.AllocedBytesPerOp(),
				Met: ns < goalNs && result.AllocsPerOp() <= goalAllocs,
			})
		}
	}
	return report
}

var start = time.Unix(0, 0)

func newPool(targets int, cfg pool.Config) *pool.Pool {
	p := pool.New(start, cfg)
	var declared []routing.Target
	for i := range targets {
		declared = append(declared, routing.Target{Name: targetName(i), Slots: slots})
	}
	p.SetTargets(start, declared, nil)
	return p
}

func targetName(i int) steering.Target { return steering.Target(fmt.Sprintf("target-%04d", i)) }

// fill takes a part of all slots.
func fill(p *pool.Pool, n int) []pool.GrantID {
	held := make([]pool.GrantID, n)
	for i := range held {
		held[i] = p.Acquire(start, pool.Request{Deadline: start.Add(time.Hour)}).Grant
	}
	return held
}

var done = pool.Outcome{ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}

// stride visits held grants in an order that is not theirs.
const stride = 7919

func free(b *testing.B, targets int) { cycle(b, targets, nil) }

func avoiding(b *testing.B, targets int) {
	cycle(b, targets, []steering.Target{targetName(0), targetName(1)})
}

// cycle keeps three quarters of the slots in use.
func cycle(b *testing.B, targets int, avoid []steering.Target) {
	p := newPool(targets, pool.Config{})
	held := fill(p, targets*slots*3/4)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		k := i * stride % len(held)
		p.Release(now, held[k], done)
		held[k] = p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour), Avoid: avoid}).Grant
	}
}

func queued(b *testing.B, targets int) {
	p := newPool(targets, pool.Config{})
	held := fill(p, targets*slots)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour)})
		k := i * stride % len(held)
		held[k] = p.Release(now, held[k], done).Served[0].Grant
	}
}

func refused(b *testing.B, targets int) {
	p := newPool(targets, pool.Config{QueuePerSlot: -1})
	fill(p, targets*slots)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour)})
	}
}

func judged(b *testing.B, targets int) {
	tracker := health.New(health.Config{})
	var names []steering.Target
	for i := range targets {
		names = append(names, targetName(i))
	}
	tracker.SetTargets(start, names, false)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		outcome := health.Success
		if i%50 == 0 {
			outcome = health.Failure
		}
		tracker.Observe(start.Add(time.Duration(i)*time.Microsecond), names[i*stride%len(names)], outcome)
	}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "goal: under %.0f ns and %d allocations per decision\n", r.GoalNs, r.GoalAllocs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "targets\tns\tallocations\tbytes\tgoal\t  decision\t")
	for _, row := range r.Rows {
		met := "met"
		if !row.Met {
			met = "missed"
		}
		fmt.Fprintf(t, "%d\t%.0f\t%d\t%d\t%s\t  %s\t\n", row.Targets, row.Ns, row.Allocs, row.Bytes, met, row.Decision)
	}
	_ = t.Flush()
}

// WriteJSON writes the report to a file as one JSON object.
func (r Report) WriteJSON(file string) error {
	return command.WriteReport(file, r)
}
