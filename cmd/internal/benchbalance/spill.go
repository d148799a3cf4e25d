package benchbalance

import (
	"math/rand/v2"
	"time"

	"heatherlock/steering/pool"
)

// Spill holds the results of one run with two zones, where requests that the first zone refuses go to
// the second.
type Spill struct {
	OtherZone string `json:"other_zone"`
	// Patient is set if a request that both zones refused may still wait up to 500 ms in the first.
	Patient        bool    `json:"patient"`
	Load           float64 `json:"load"`
	OtherLoad      float64 `json:"other_load"`
	MaxWaitMs      float64 `json:"max_wait_ms"` // 0 if no request waits
	SpilledPercent float64 `json:"spilled_percent"`
	RefusedPercent float64 `json:"refused_percent"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
}

// spillDistances lists the one-way message times to the second zone.
var spillDistances = []struct {
	name   string
	oneWay time.Duration
}{
	{"same region, 1 ms", time.Millisecond},
	{"other region, 20 ms", 20 * time.Millisecond},
}

// queueWaits lists the maximum waits in the queue that are compared. 0 means that no request waits.
var queueWaits = []time.Duration{
	0, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
}

var spillLoads = []float64{0.85, 1.10, 1.40}

// otherLoads lists the loads of the second zone by its own callers.
var otherLoads = []float64{0.5, 1.0}

func compareSpill(o Options) (all []Spill) {
	for _, to := range spillDistances {
		for _, other := range otherLoads {
			for _, load := range spillLoads {
				for _, wait := range queueWaits {
					all = append(all, runSpill(o, to.name, to.oneWay, other, load, wait, false))
				}
				all = append(all, runSpill(o, to.name, to.oneWay, other, load, meanServiceTime, true))
			}
		}
	}
	return all
}

func runSpill(o Options, name string, oneWay time.Duration, other, load float64, wait time.Duration, patient bool) Spill {
	p := baseParams(o)
	p.Load = load
	switch {
	case patient:
		p.WaitPart = float64(wait) / float64(meanServiceTime)
	case wait == 0:
		p.Queue = -1
	default:
		p.MaxWait = wait
	}
	z := newZone(p)
	w := newSpillover(z, oneWay)
	w.patient = patient
	z.start(w)
	w.startOther(seeded(p.Seed, 3), other)
	z.sim.run(warmUpTime + p.For)
	r := newRow("", z)
	return Spill{
		OtherZone: name, Patient: patient, Load: load, OtherLoad: other, MaxWaitMs: ms(wait),
		SpilledPercent: percent(w.spilled, z.results.arrived),
		RefusedPercent: r.RefusedPercent, P50Ms: r.P50Ms, P99Ms: r.P99Ms,
	}
}

// spillover is a strategy for a zone whose refused requests go to a second zone. The targets of both
// zones are in z.targets, those of the second after those of the first.
type spillover struct {
	z       *zone
	oneWay  time.Duration
	local   *localPool
	remote  *localPool
	spilled int
	patient bool
}

func newSpillover(z *zone, oneWay time.Duration) *spillover {
	for range z.Targets {
		z.targets = append(z.targets, &simTarget{slots: z.Slots, factor: 1})
	}
	slots := func(from, to int) func(int) int {
		return func(t int) int {
			if t < from || t >= to {
				return 0
			}
			return z.Slots
		}
	}
	return &spillover{
		z: z, oneWay: oneWay,
		local:  newLocalPool(z, slots(0, z.Targets)),
		remote: newLocalPool(z, slots(z.Targets, 2*z.Targets)),
	}
}

func (w *spillover) arrive(r *request) {
	w.z.serve(w.local, r, func() { w.spill(r) })
}

// spill sends a request that the first zone refused to the second.
func (w *spillover) spill(r *request) {
	if w.z.measured() {
		w.spilled++
	}
	back := func(f func()) { w.z.after(w.oneWay, f) }
	w.z.after(w.oneWay, func() {
		w.remote.acquire(r, func(id pool.GrantID, target int) {
			w.z.sendToTarget(r, target, func(ran bool, reported int) {
				w.remote.release(id, ran, reported)
				back(func() { w.z.recordAnswered(r) })
			})
		}, func() {
			back(func() { w.handleBothRefused(r) })
		})
	})
}

// handleBothRefused refuses a request that both zones refused or, with patient, lets it wait in the
// first zone.
func (w *spillover) handleBothRefused(r *request) {
	if !w.patient {
		w.z.recordRefused(r)
		return
	}
	w.local.acquirePatient(r, true, func(id pool.GrantID, target int) {
		w.z.sendToTarget(r, target, func(ran bool, reported int) {
			w.local.release(id, ran, reported)
			w.z.handleReply(r, ran)
		})
	}, func() { w.z.recordRefused(r) })
}

// startOther makes the second zone's own requests arrive. They are not part of the results.
func (w *spillover) startOther(rng *rand.Rand, load float64) {
	var next func()
	next = func() {
		r := &request{deadline: w.z.now + w.z.Deadline, workFactor: rng.ExpFloat64()}
		w.remote.acquire(r, func(id pool.GrantID, target int) {
			w.z.sendToTarget(r, target, func(ran bool, reported int) { w.remote.release(id, ran, reported) })
		}, func() {})
		gap := rng.ExpFloat64() / (load * w.z.capacity())
		w.z.after(time.Duration(gap*float64(time.Second)), next)
	}
	w.z.after(0, next)
}
