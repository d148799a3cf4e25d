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

// Goals for the cost of one decision.
const (
	goalNs     = 1000
	goalAllocs = 0
)

// targetCounts are the numbers of targets at which each decision is measured.
var targetCounts = []int{20, 200, 2000}

const slotsPerTarget = 4

// Row is the cost of one kind of decision at one number of targets.
type Row struct {
	Decision string `json:"decision"`
	Targets  int    `json:"targets"`
	// Ns, Allocs and Bytes are per decision.
	Ns     float64 `json:"ns"`
	Allocs int64   `json:"allocs"`
	Bytes  int64   `json:"bytes"`
	// Met reports whether the row is within the goals.
	Met bool `json:"met"`
}

// Report is the result of a benchmark run.
type Report struct {
	GoalNs     float64 `json:"goal_ns"`
	GoalAllocs int64   `json:"goal_allocs"`
	Rows       []Row   `json:"rows"`
}

// decision is one kind of decision and its benchmark for a number of targets.
type decision struct {
	name string
	run  func(b *testing.B, targets int)
}

var decisions = []decision{
	{"admit, choose a target and release, slots free", admitFree},
	{"admit, choose around two avoided targets and release", admitAvoiding},
	{"queue, then be served by a release, all slots in use", queueAndServe},
	{"refuse, queue full", refuseQueueFull},
	{"judge an outcome", observeOutcome},
}

// Run measures every decision at every number of targets.
func Run() Report {
	report := Report{GoalNs: goalNs, GoalAllocs: goalAllocs}
	for _, d := range decisions {
		for _, n := range targetCounts {
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
		declared = append(declared, routing.Target{Name: targetName(i), Slots: slotsPerTarget})
	}
	p.SetTargets(start, declared, nil)
	return p
}

func targetName(i int) steering.Target { return steering.Target(fmt.Sprintf("target-%04d", i)) }

// acquireGrants acquires n grants, each of which occupies a slot.
func acquireGrants(p *pool.Pool, n int) []pool.GrantID {
	held := make([]pool.GrantID, n)
	for i := range held {
		held[i] = p.Acquire(start, pool.Request{Deadline: start.Add(time.Hour)}).Grant
	}
	return held
}

var completed = pool.Outcome{ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}

// stride is the step through grants and targets. It is a large prime, so that they are
// visited in another order than they were created in.
const stride = 7919

func admitFree(b *testing.B, targets int) { cycleGrants(b, targets, nil) }

func admitAvoiding(b *testing.B, targets int) {
	cycleGrants(b, targets, []steering.Target{targetName(0), targetName(1)})
}

// cycleGrants measures releasing and acquiring a grant while three quarters of the slots
// are in use.
func cycleGrants(b *testing.B, targets int, avoid []steering.Target) {
	p := newPool(targets, pool.Config{})
	held := acquireGrants(p, targets*slotsPerTarget*3/4)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		k := i * stride % len(held)
		p.Release(now, held[k], completed)
		held[k] = p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour), Avoid: avoid}).Grant
	}
}

// queueAndServe measures queueing a request while all slots are in use, and the release that
// serves it.
func queueAndServe(b *testing.B, targets int) {
	p := newPool(targets, pool.Config{})
	held := acquireGrants(p, targets*slotsPerTarget)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour)})
		k := i * stride % len(held)
		held[k] = p.Release(now, held[k], completed).Served[0].Grant
	}
}

// refuseQueueFull measures refusing a request while all slots are in use and nothing may
// queue.
func refuseQueueFull(b *testing.B, targets int) {
	p := newPool(targets, pool.Config{QueuePerSlot: -1})
	acquireGrants(p, targets*slotsPerTarget)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Microsecond)
		p.Acquire(now, pool.Request{Deadline: now.Add(time.Hour)})
	}
}

// observeOutcome measures recording an outcome for outlier detection; one in 50 outcomes is a
// failure.
func observeOutcome(b *testing.B, targets int) {
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

// WriteText writes the report as a table. Write errors are ignored.
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
