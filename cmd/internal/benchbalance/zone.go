package benchbalance

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// Params holds the parameters of one run.
type Params struct {
	Seed    uint64
	Targets int
	Slots   int
	EntryVM int
	Load    float64 // offered load as a share of the slots' capacity
	For     time.Duration
	// OwnerAffinity is the share of requests that arrive at the pool's owner.
	OwnerAffinity float64
	// OneWay is the time that a message inside the zone takes.
	OneWay time.Duration
	// Deadline is how long a caller waits for the answer.
	Deadline time.Duration
	MaxWait  time.Duration // limit on the wait in the queue; 0 leaves only the deadline
	WaitPart float64       // limit on the wait as a multiple of the mean service time
	Patient  bool          // WaitPart doesn't apply while the queue isn't a standing one
	Queue    float64       // limit on waiting requests per slot; negative for no queue
	Choice   pool.Choice
	// SlowTargets is the share of targets that take twice as long.
	SlowTargets float64
	// LoanHold is how long a borrowed slot that is free is kept for further requests.
	LoanHold time.Duration
	// OwnerTimeout is the time after which an owner that doesn't answer is replaced.
	OwnerTimeout time.Duration
	// BurstSize is how many requests arrive at once every burstInterval. 0 means no bursts.
	BurstSize int
	// FirstVMShare is the share of all requests that arrive at the first entry VM.
	FirstVMShare float64
}

// A service time is the sum of a fixed and an exponentially distributed part, 50 ms on average. It grows
// with the number of other requests that the target runs.
const (
	fixedServiceTime      = 10 * time.Millisecond
	meanRandomServiceTime = 40 * time.Millisecond
	meanServiceTime       = fixedServiceTime + meanRandomServiceTime
	// slowdownPerRequest is the relative growth of the service time for each other request that the
	// target runs.
	slowdownPerRequest = 0.05
	// warmUpTime is the start of a run, which is excluded from the results.
	warmUpTime = 2 * time.Second
	// maxAttempts is how often a request that is shed is sent in total.
	maxAttempts = 3
)

// simTarget is a simulated target.
type simTarget struct {
	slots    int
	inFlight int
	factor   float64 // multiplies the service time
}

// request is a request of a caller.
type request struct {
	id           int
	arrived      time.Duration
	deadline     time.Duration
	vm           int
	workFactor   float64 // random part of the service time, relative to its mean
	triedTargets []int
	foreign      bool
}

// zone is the simulated state that all strategies use: targets, arrivals and results.
type zone struct {
	*sim
	Params
	targets  []*simTarget
	arrivals *rand.Rand
	strategy strategy
	crashed  map[int]bool
	waiting  int // requests that wait in any queue of the zone
	results  results
	// measureFrom is the start of the measured time. lastChange is the time up to which
	// accountIdleTime has integrated the idle slots.
	measureFrom time.Duration
	lastChange  time.Duration
}

// strategy shares the slots of a zone among its entry VMs.
type strategy interface {
	// arrive handles a request at its entry VM. Each request ends with a call of
	// zone.recordAnswered, zone.recordRefused or zone.recordLost.
	arrive(r *request)
}

// results counts the outcomes of the measured requests.
type results struct {
	arrived            int
	answered           int
	refused            int
	lost               int
	fullTargetAttempts int // attempts at a target without a free slot
	messages           int // between entry VMs
	arrivedAtVM        map[int]int
	latencies          []time.Duration
	idleTime           float64 // slot-seconds idle while a request waits
	slotTime           float64 // slot-seconds in total
}

func newZone(p Params) *zone { return newZoneIn(&sim{rng: seeded(p.Seed, 1)}, p) }

// newZoneIn returns a zone that runs in a simulation with other zones.
func newZoneIn(s *sim, p Params) *zone {
	z := &zone{sim: s, Params: p, crashed: map[int]bool{}, measureFrom: warmUpTime}
	z.arrivals = seeded(p.Seed, 2)
	z.results.arrivedAtVM = map[int]int{}
	slow := int(p.SlowTargets * float64(p.Targets))
	for i := range p.Targets {
		factor := 1.0
		if i < slow {
			factor = 2
		}
		z.targets = append(z.targets, &simTarget{slots: p.Slots, factor: factor})
	}
	return z
}

// rate returns the arrivals per second: Load times the capacity of the targets.
func (z *zone) rate() float64 { return z.Load * z.capacity() }

// capacity returns the requests per second that the zone's own targets complete when all their slots
// are in use.
func (z *zone) capacity() float64 {
	capacity := 0.0
	for _, t := range z.targets[:z.Targets] {
		full := 1 + slowdownPerRequest*float64(t.slots-1)
		capacity += float64(t.slots) / (meanServiceTime.Seconds() * t.factor * full)
	}
	return capacity
}

// start makes requests arrive as a Poisson process until the end of the run.
func (z *zone) start(w strategy) {
	z.strategy = w
	gap := func() time.Duration {
		return time.Duration(z.arrivals.ExpFloat64() / z.rate() * float64(time.Second))
	}
	n := 0
	var next func()
	next = func() {
		n++
		z.accept(&request{
			id: n, arrived: z.now, deadline: z.now + z.Deadline,
			vm: z.chooseEntryVM(), workFactor: z.arrivals.ExpFloat64(),
		})
		z.after(gap(), next)
	}
	z.after(gap(), next)
	z.startBursts()
}

// burstInterval is the time between two bursts.
const burstInterval = 4 * time.Second

// startBursts makes BurstSize requests arrive within 10 ms, every burstInterval.
func (z *zone) startBursts() {
	if z.BurstSize == 0 {
		return
	}
	rng := seeded(z.Seed, 4)
	var again func()
	again = func() {
		for i := range z.BurstSize {
			z.after(time.Duration(rng.IntN(int(10*time.Millisecond))), func() {
				z.accept(&request{
					id: -1 - i, arrived: z.now, deadline: z.now + z.Deadline,
					vm: z.chooseEntryVM(), workFactor: rng.ExpFloat64(),
				})
			})
		}
		z.after(burstInterval, again)
	}
	z.after(burstInterval, again)
}

// chooseEntryVM returns the entry VM at which a request arrives. Entry VM 0 is the pool's owner.
func (z *zone) chooseEntryVM() int {
	first := z.arrivals.Float64()
	any := z.arrivals.IntN(z.EntryVM)
	if first < max(z.OwnerAffinity, z.FirstVMShare) {
		return 0
	}
	return any
}

// accept passes a request to its entry VM. A caller whose entry VM has crashed uses the next one.
func (z *zone) accept(r *request) {
	if z.measured() {
		z.results.arrived++
	}
	for z.crashed[r.vm] {
		r.vm = (r.vm + 1) % z.EntryVM
	}
	if z.measured() {
		z.results.arrivedAtVM[r.vm]++
	}
	z.strategy.arrive(r)
}

// measured reports whether the measured time has begun.
func (z *zone) measured() bool { return z.now >= z.measureFrom }

// sendToTarget sends a request from an entry VM to a target, which runs it or, without a free slot,
// sheds it. At the reply it calls end with whether the target ran the request and how many requests
// the target was running when it replied.
func (z *zone) sendToTarget(r *request, target int, end func(ran bool, reported int)) {
	z.after(z.OneWay, func() {
		t := z.targets[target]
		r.triedTargets = append(r.triedTargets, target)
		if t.inFlight >= t.slots {
			if z.measured() {
				z.results.fullTargetAttempts++
			}
			reported := t.inFlight
			z.after(z.OneWay, func() { end(false, reported) })
			return
		}
		z.accountIdleTime()
		t.inFlight++
		z.after(z.serviceTime(r, t), func() {
			z.accountIdleTime()
			t.inFlight--
			reported := t.inFlight
			z.after(z.OneWay, func() { end(true, reported) })
		})
	})
}

func (z *zone) serviceTime(r *request, t *simTarget) time.Duration {
	base := float64(fixedServiceTime) + r.workFactor*float64(meanRandomServiceTime)
	return time.Duration(base * t.factor * (1 + slowdownPerRequest*float64(t.inFlight-1)))
}

// sendMessage runs f at another entry VM after the time of a message, or never if that one has crashed.
func (z *zone) sendMessage(to int, f func()) {
	if z.measured() {
		z.results.messages++
	}
	z.after(z.OneWay, func() {
		if !z.crashed[to] {
			f()
		}
	})
}

// recordAnswered counts a request that was answered, and its latency.
func (z *zone) recordAnswered(r *request) {
	if !z.measured() || r.arrived < z.measureFrom {
		return
	}
	z.results.answered++
	z.results.latencies = append(z.results.latencies, z.now-r.arrived)
}

func (z *zone) recordRefused(r *request) {
	if z.measured() && r.arrived >= z.measureFrom {
		z.results.refused++
	}
}

// recordLost counts a request that was lost when its entry VM crashed.
func (z *zone) recordLost(r *request) {
	if z.measured() && r.arrived >= z.measureFrom {
		z.results.lost++
	}
}

// queue counts one more waiting request, and unqueue one less.
func (z *zone) queue(*request)   { z.accountIdleTime(); z.waiting++ }
func (z *zone) unqueue(*request) { z.accountIdleTime(); z.waiting-- }

// accountIdleTime integrates, up to now, the number of slots that are idle while requests wait. It has
// to be called before each change of waiting or of a target's inFlight.
func (z *zone) accountIdleTime() {
	from := max(z.lastChange, z.measureFrom)
	z.lastChange = z.now
	if z.now <= from {
		return
	}
	d := (z.now - from).Seconds()
	idle, all := 0, 0
	for _, t := range z.targets {
		idle += t.slots - t.inFlight
		all += t.slots
	}
	z.results.slotTime += d * float64(all)
	z.results.idleTime += d * float64(min(idle, z.waiting))
}

// poolTargets returns the targets for a pool that may use slots(t) slots of each target t.
func (z *zone) poolTargets(slots func(target int) int) []routing.Target {
	var all []routing.Target
	for i := range z.targets {
		if n := slots(i); n > 0 {
			all = append(all, routing.Target{Name: targetName(i), Slots: n})
		}
	}
	return all
}

func (z *zone) allSlots(target int) int { return z.targets[target].slots }

// targetNames holds the names t0000, t0001 and so on, by index.
var targetNames = func() (names []steering.Target) {
	for i := range 4096 {
		names = append(names, steering.Target("t"+string(rune('0'+i/1000%10))+string(rune('0'+i/100%10))+string(rune('0'+i/10%10))+string(rune('0'+i%10))))
	}
	return names
}()

func targetName(i int) steering.Target { return targetNames[i] }

// targetIndex is the inverse of targetName.
func targetIndex(name steering.Target) int {
	n := 0
	for _, c := range name[1:] {
		n = 10*n + int(c-'0')
	}
	return n
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func (t *results) sorted() []time.Duration {
	slices.Sort(t.latencies)
	return t.latencies
}
