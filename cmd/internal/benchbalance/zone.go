package benchbalance

import (
	"math/rand/v2"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// Params describe one run.
type Params struct {
	Seed    uint64
	Targets int
	Slots   int
	EntryVM int
	Load    float64 // offered work as a part of what the slots can do
	For     time.Duration
	// Affinity is the part of requests that arrive at the pool's owner.
	Affinity float64
	// OneWay is the time of a message inside the zone.
	OneWay time.Duration
	// Deadline is how long a caller waits.
	Deadline time.Duration
	MaxWait  time.Duration // bound on the queue's wait; 0 leaves the deadline
	WaitPart float64       // bound on it as a part of the mean service time
	Patient  bool          // requests wait up to MaxWait while the queue is not a standing one
	Queue    float64       // waiting requests per slot; negative for none
	Choice   pool.Choice
	// SlowTargets is the part of targets that take twice as long.
	SlowTargets float64
	// Hold is how long a borrowed slot is kept for more work.
	Hold time.Duration
	// AskTimeout is when an owner that does not answer is passed over.
	AskTimeout time.Duration
	// Burst is how many requests arrive at once every burstEvery.
	Burst int
	// Uneven gives the first entry VM this part of all requests.
	Uneven float64
}

// Service times: a fixed part and an exponential one, 50 ms in the mean. They
// grow with what else the target runs.
const (
	serviceFixed = 10 * time.Millisecond
	serviceMean  = 40 * time.Millisecond
	meanService  = serviceFixed + serviceMean
	// slowdown is the growth of the service time for each other request that
	// the target runs.
	slowdown = 0.05
	// warmTime is left out of the figures.
	warmTime = 2 * time.Second
	// maxTries bounds how often a request that was shed is sent.
	maxTries = 3
)

// server is a target.
type server struct {
	slots    int
	inFlight int
	factor   float64
}

// request is one caller's request.
type request struct {
	id       int
	arrived  time.Duration
	deadline time.Duration
	vm       int
	work     float64 // multiplies the mean of the random part
	tried    []int
	foreign  bool
}

// zone is the state that all ways share.
type zone struct {
	*sim
	Params
	targets  []*server
	arrivals *rand.Rand
	way      way
	dead     map[int]bool
	waiting  int // requests that wait somewhere in the zone
	tally    tally
	// measureFrom and lastChange serve the integral of idle slots.
	measureFrom time.Duration
	lastChange  time.Duration
}

// way is one way to share slots.
type way interface {
	// arrive takes a request at its entry VM. It ends in zone.finish or
	// zone.refuse.
	arrive(r *request)
}

// tally is what a run shows.
type tally struct {
	arrived   int
	answered  int
	refused   int
	lost      int
	overSlots int // tries that met a full target
	messages  int // between entry VMs
	atVM      map[int]int
	latencies []time.Duration
	idleTime  float64 // slot seconds idle while a request waits
	slotTime  float64 // slot seconds
}

func newZone(p Params) *zone { return newZoneIn(&sim{rng: seeded(p.Seed, 1)}, p) }

// newZoneIn returns a zone that shares the time of others.
func newZoneIn(s *sim, p Params) *zone {
	z := &zone{sim: s, Params: p, dead: map[int]bool{}, measureFrom: warmTime}
	z.arrivals = seeded(p.Seed, 2)
	z.tally.atVM = map[int]int{}
	slow := int(p.SlowTargets * float64(p.Targets))
	for i := range p.Targets {
		factor := 1.0
		if i < slow {
			factor = 2
		}
		z.targets = append(z.targets, &server{slots: p.Slots, factor: factor})
	}
	return z
}

// rate is the arrivals per second at which the offered work is Load times what
// the targets can do when all their slots are in use.
func (z *zone) rate() float64 { return z.Load * z.capacity() }

// capacity is the requests per second that the zone's own targets can do.
func (z *zone) capacity() float64 {
	capacity := 0.0
	for _, t := range z.targets[:z.Targets] {
		full := 1 + slowdown*float64(t.slots-1)
		capacity += float64(t.slots) / (meanService.Seconds() * t.factor * full)
	}
	return capacity
}

// start lets requests arrive until the run's end.
func (z *zone) start(w way) {
	z.way = w
	gap := func() time.Duration {
		return time.Duration(z.arrivals.ExpFloat64() / z.rate() * float64(time.Second))
	}
	n := 0
	var next func()
	next = func() {
		n++
		z.accept(&request{
			id: n, arrived: z.now, deadline: z.now + z.Deadline,
			vm: z.entry(), work: z.arrivals.ExpFloat64(),
		})
		z.after(gap(), next)
	}
	z.after(gap(), next)
	z.burst()
}

// burstEvery is the time between two bursts.
const burstEvery = 4 * time.Second

// burst lets Burst requests arrive within a few milliseconds, again and again.
func (z *zone) burst() {
	if z.Burst == 0 {
		return
	}
	rng := seeded(z.Seed, 4)
	var again func()
	again = func() {
		for i := range z.Burst {
			z.after(time.Duration(rng.IntN(int(10*time.Millisecond))), func() {
				z.accept(&request{
					id: -1 - i, arrived: z.now, deadline: z.now + z.Deadline,
					vm: z.entry(), work: rng.ExpFloat64(),
				})
			})
		}
		z.after(burstEvery, again)
	}
	z.after(burstEvery, again)
}

// entry chooses the entry VM a request arrives at; entry VM 0 owns the pool.
func (z *zone) entry() int {
	first := z.arrivals.Float64()
	any := z.arrivals.IntN(z.EntryVM)
	if first < max(z.Affinity, z.Uneven) {
		return 0
	}
	return any
}

// accept passes a request to its entry VM. A caller whose entry VM is dead
// goes on to the next in its list.
func (z *zone) accept(r *request) {
	if z.measured() {
		z.tally.arrived++
	}
	for z.dead[r.vm] {
		r.vm = (r.vm + 1) % z.EntryVM
	}
	if z.measured() {
		z.tally.atVM[r.vm]++
	}
	z.way.arrive(r)
}

func (z *zone) measured() bool { return z.now >= z.measureFrom }

// send takes a request from an entry VM to a target. end is called at the
// entry VM with what the target did and how many requests it then runs.
func (z *zone) send(r *request, target int, end func(ran bool, reported int)) {
	z.after(z.OneWay, func() {
		t := z.targets[target]
		r.tried = append(r.tried, target)
		if t.inFlight >= t.slots {
			if z.measured() {
				z.tally.overSlots++
			}
			reported := t.inFlight
			z.after(z.OneWay, func() { end(false, reported) })
			return
		}
		z.account()
		t.inFlight++
		z.after(z.serviceTime(r, t), func() {
			z.account()
			t.inFlight--
			reported := t.inFlight
			z.after(z.OneWay, func() { end(true, reported) })
		})
	})
}

func (z *zone) serviceTime(r *request, t *server) time.Duration {
	base := float64(serviceFixed) + r.work*float64(serviceMean)
	return time.Duration(base * t.factor * (1 + slowdown*float64(t.inFlight-1)))
}

// message passes something from one entry VM to another; nothing arrives at a
// dead one.
func (z *zone) message(to int, f func()) {
	if z.measured() {
		z.tally.messages++
	}
	z.after(z.OneWay, func() {
		if !z.dead[to] {
			f()
		}
	})
}

func (z *zone) finish(r *request) {
	if !z.measured() || r.arrived < z.measureFrom {
		return
	}
	z.tally.answered++
	z.tally.latencies = append(z.tally.latencies, z.now-r.arrived)
}

func (z *zone) refuse(r *request) {
	if z.measured() && r.arrived >= z.measureFrom {
		z.tally.refused++
	}
}

// lose counts a request whose entry VM died with it.
func (z *zone) lose(r *request) {
	if z.measured() && r.arrived >= z.measureFrom {
		z.tally.lost++
	}
}

// queue notes that a request waits, and unqueue that it no longer does.
func (z *zone) queue(*request)   { z.account(); z.waiting++ }
func (z *zone) unqueue(*request) { z.account(); z.waiting-- }

// account adds up the slots that idled while requests waited.
func (z *zone) account() {
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
	z.tally.slotTime += d * float64(all)
	z.tally.idleTime += d * float64(min(idle, z.waiting))
}

// declared lists targets for a pool; slots says how many of each it may use.
func (z *zone) declared(slots func(target int) int) []routing.Target {
	var all []routing.Target
	for i := range z.targets {
		if n := slots(i); n > 0 {
			all = append(all, routing.Target{Name: targetName(i), Slots: n})
		}
	}
	return all
}

func (z *zone) allSlots(target int) int { return z.targets[target].slots }

var targetNames = func() (names []steering.Target) {
	for i := range 4096 {
		names = append(names, steering.Target("t"+string(rune('0'+i/1000%10))+string(rune('0'+i/100%10))+string(rune('0'+i/10%10))+string(rune('0'+i%10))))
	}
	return names
}()

func targetName(i int) steering.Target { return targetNames[i] }

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

func (t *tally) sorted() []time.Duration {
	slices.Sort(t.latencies)
	return t.latencies
}
