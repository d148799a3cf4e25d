package benchbalance

import (
	"math/rand/v2"
	"time"

	"heatherlock/steering/pool"
)

// Spill is one run of two zones, where the second takes what the first
// refuses.
type Spill struct {
	OtherZone      string  `json:"other_zone"`
	Load           float64 `json:"load"`
	OtherLoad      float64 `json:"other_load"`
	MaxWaitMs      float64 `json:"max_wait_ms"` // 0: nothing waits
	SpilledPercent float64 `json:"spilled_percent"`
	RefusedPercent float64 `json:"refused_percent"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
}

// distances are the one-way times to the zone that takes what spills.
var distances = []struct {
	name   string
	oneWay time.Duration
}{
	{"same region, 1 ms", time.Millisecond},
	{"other region, 20 ms", 20 * time.Millisecond},
}

// waits are the bounds on the queue compared; 0 means that nothing waits.
var waits = []time.Duration{
	0, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
}

var spillLoads = []float64{0.85, 1.10, 1.40}

// otherLoad is what the other zone does for its own callers.
const otherLoad = 0.5

func compareSpill(o Options) (all []Spill) {
	for _, to := range distances {
		for _, load := range spillLoads {
			for _, wait := range waits {
				s := runSpill(o, to.oneWay, load, wait)
				s.OtherZone = to.name
				all = append(all, s)
			}
		}
	}
	return all
}

func runSpill(o Options, oneWay time.Duration, load float64, wait time.Duration) Spill {
	p := base(o)
	p.Load, p.MaxWait = load, wait
	if wait == 0 {
		p.Queue = -1
	}
	z := newZone(p)
	w := newSpilling(z, oneWay)
	z.start(w)
	w.startOther(seeded(p.Seed, 3))
	z.sim.run(warmTime + p.For)
	r := row("", z)
	return Spill{
		Load: load, OtherLoad: otherLoad, MaxWaitMs: ms(wait),
		SpilledPercent: percent(w.spilled, z.tally.arrived),
		RefusedPercent: r.RefusedPercent, P50Ms: r.P50Ms, P99Ms: r.P99Ms,
	}
}

// spilling is a zone whose refused work goes to a second one. The second
// zone's targets follow the first one's in the list.
type spilling struct {
	z       *zone
	oneWay  time.Duration
	near    *counted
	far     *counted
	spilled int
}

func newSpilling(z *zone, oneWay time.Duration) *spilling {
	for range z.Targets {
		z.targets = append(z.targets, &server{slots: z.Slots, factor: 1})
	}
	slots := func(from, to int) func(int) int {
		return func(t int) int {
			if t < from || t >= to {
				return 0
			}
			return z.Slots
		}
	}
	return &spilling{
		z: z, oneWay: oneWay,
		near: newCounted(z, slots(0, z.Targets)),
		far:  newCounted(z, slots(z.Targets, 2*z.Targets)),
	}
}

func (w *spilling) arrive(r *request) {
	w.z.serve(w.near, r, func() { w.spill(r) })
}

func (w *spilling) spill(r *request) {
	if w.z.measured() {
		w.spilled++
	}
	back := func(f func()) { w.z.after(w.oneWay, f) }
	w.z.after(w.oneWay, func() {
		w.far.acquire(r, func(id pool.GrantID, target int) {
			w.z.send(r, target, func(ran bool, reported int) {
				w.far.release(id, ran, reported)
				back(func() { w.z.finish(r) })
			})
		}, func() {
			back(func() { w.z.refuse(r) })
		})
	})
}

// startOther lets the other zone's own requests arrive; they are not counted.
func (w *spilling) startOther(rng *rand.Rand) {
	var next func()
	next = func() {
		r := &request{deadline: w.z.now + w.z.Deadline, work: rng.ExpFloat64()}
		w.far.acquire(r, func(id pool.GrantID, target int) {
			w.z.send(r, target, func(ran bool, reported int) { w.far.release(id, ran, reported) })
		}, func() {})
		gap := rng.ExpFloat64() / (otherLoad * w.z.capacity())
		w.z.after(time.Duration(gap*float64(time.Second)), next)
	}
	w.z.after(0, next)
}
