package benchbalance

import (
	"math/rand/v2"
	"time"

	"heatherlock/steering/pool"
)

// Spill is one run of two zones, where the second takes what the first
// refuses.
type Spill struct {
	OtherZone string `json:"other_zone"`
	// Patient says that a request waits up to 500 ms once both zones refused.
	Patient        bool    `json:"patient"`
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

// otherLoads are what the other zone does for its own callers.
var otherLoads = []float64{0.5, 1.0}

func compareSpill(o Options) (all []Spill) {
	for _, to := range distances {
		for _, other := range otherLoads {
			for _, load := range spillLoads {
				for _, wait := range waits {
					all = append(all, runSpill(o, to.name, to.oneWay, other, load, wait, false))
				}
				all = append(all, runSpill(o, to.name, to.oneWay, other, load, meanService, true))
			}
		}
	}
	return all
}

func runSpill(o Options, name string, oneWay time.Duration, other, load float64, wait time.Duration, patient bool) Spill {
	p := base(o)
	p.Load = load
	switch {
	case patient:
		p.WaitPart = float64(wait) / float64(meanService)
	case wait == 0:
		p.Queue = -1
	default:
		p.MaxWait = wait
	}
	z := newZone(p)
	w := newSpilling(z, oneWay)
	w.patient = patient
	z.start(w)
	w.startOther(seeded(p.Seed, 3), other)
	z.sim.run(warmTime + p.For)
	r := row("", z)
	return Spill{
		OtherZone: name, Patient: patient, Load: load, OtherLoad: other, MaxWaitMs: ms(wait),
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
	patient bool
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
			back(func() { w.comeBack(r) })
		})
	})
}

// comeBack ends a request that no zone took at once.
func (w *spilling) comeBack(r *request) {
	if !w.patient {
		w.z.refuse(r)
		return
	}
	w.near.ask(r, true, func(id pool.GrantID, target int) {
		w.z.send(r, target, func(ran bool, reported int) {
			w.near.release(id, ran, reported)
			w.z.answered(r, ran)
		})
	}, func() { w.z.refuse(r) })
}

// startOther lets the other zone's own requests arrive; they are not counted.
func (w *spilling) startOther(rng *rand.Rand, load float64) {
	var next func()
	next = func() {
		r := &request{deadline: w.z.now + w.z.Deadline, work: rng.ExpFloat64()}
		w.far.acquire(r, func(id pool.GrantID, target int) {
			w.z.send(r, target, func(ran bool, reported int) { w.far.release(id, ran, reported) })
		}, func() {})
		gap := rng.ExpFloat64() / (load * w.z.capacity())
		w.z.after(time.Duration(gap*float64(time.Second)), next)
	}
	w.z.after(0, next)
}
