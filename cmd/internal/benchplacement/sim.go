package benchplacement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// service is the only service in the simulation.
const service = steering.Service("tickets")

// Parameters of the simulated deployment, which is a small one. What matters is that a cold run
// takes about three times as long as a warm one, and that a target keeps only a few times as many
// keys warm as its share of the keys.
const (
	regionCount        = 3
	vmsPerRegion       = 4
	targetSlots        = 4
	targetQueueLimit   = 12
	keysPerRegion      = 130
	warmKeysPerTarget  = 36
	coldRunTime        = 480 * time.Millisecond
	warmRunFraction    = 0.3
	latencyObjective   = 400 * time.Millisecond
	deadline           = 2500 * time.Millisecond
	lateValue          = 0.2
	refusalPenalty     = 0.3 // for a request that was refused, retried and refused again
	callerOneWay       = 3 * time.Millisecond
	shedRetryAfter     = 200 * time.Millisecond
	crossRegionRTT     = 40 * time.Millisecond // round trip between regions
	responseTimeout    = 800 * time.Millisecond
	lendingInterval    = time.Second
	warmUpTime         = 8 * time.Second // start of a run, excluded from the results
	runTimeDeviation   = 0.15
	maxShiftShare      = 0.15
	shortRegionTargets = 2
	targetsPerRegion   = 10
)

// Scenario is a load and the faults that occur under it.
type Scenario struct {
	Name string `json:"name"`
	// Load is the offered load as a share of the capacity of all targets when every run is warm.
	Load float64 `json:"load"`
	// Uneven gives the first region a fifth of the targets that each other region has.
	Uneven bool `json:"uneven"`
	// Dead is the share of targets that stop responding for 5 s in the middle of the measured time.
	Dead float64 `json:"dead"`
}

// target is a simulated target: a number of slots, a bounded FIFO queue and a cache of warm keys.
type target struct {
	placement.Target
	running, waiting int
	queue            []*request
	warm             map[string]time.Time // last use of each key that is warm
	silent           bool                 // executes nothing and sends no response
}

// request is one attempt of a caller; a retry is a new request with the same firstArrived.
type request struct {
	key    string
	region int
	vm     int
	// firstArrived is the arrival time of the caller's first attempt, arrived that of this one.
	firstArrived time.Time
	arrived      time.Time
	isRetry      bool
	retryAfter   time.Duration
	sent         time.Time
	pick         placement.Pick
	target       *target
	warm         bool // whether the target had the key warm
}

// event is a function to run at a simulated time. Events of equal times run in the order of seq.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim is the state of one run: a discrete-event simulation of a scenario with one policy.
type sim struct {
	random        *rand.Rand
	scenario      Scenario
	way           way
	now           time.Time
	start         time.Time
	end           time.Time
	pending       events
	seq           int
	targets       []*target
	targetsByName map[steering.Target]*target
	result        results
}

// results counts the outcomes of the requests that were measured.
type results struct {
	total, withinObjective, late, refused, failed, warm, served int
	latency                                                     []float64 // of answered requests, in ms
}

func regionName(n int) steering.Region { return steering.Region(fmt.Sprint("region-", n)) }

// newSim returns a simulation whose measured time, after the warm-up, is duration.
func newSim(s Scenario, seed uint64, duration time.Duration, newPolicy func(*sim) way) *sim {
	m := &sim{random: rand.New(rand.NewPCG(seed, 1)), scenario: s, start: time.Unix(0, 0), targetsByName: make(map[steering.Target]*target)}
	m.now = m.start
	m.end = m.start.Add(warmUpTime + duration)
	for region := range regionCount {
		count := targetsPerRegion
		if s.Uneven && region == 0 {
			count = shortRegionTargets
		}
		for n := range count {
			t := &target{Target: placement.Target{Name: steering.Target(fmt.Sprintf("t-%d-%d", region, n)), Service: service,
				Region: regionName(region), Zone: steering.Zone(fmt.Sprint("zone-", region)), Slots: targetSlots}, warm: make(map[string]time.Time)}
			m.targets = append(m.targets, t)
			m.targetsByName[t.Name] = t
		}
	}
	m.way = newPolicy(m)
	return m
}

// at schedules do.
func (m *sim) at(when time.Time, do func()) {
	m.seq++
	heap.Push(&m.pending, event{when, m.seq, do})
}

// run simulates the scenario and returns the results.
func (m *sim) run() results {
	slots := float64(len(m.targets) * targetSlots)
	perSecond := m.scenario.Load * slots / (warmRunFraction * coldRunTime.Seconds())
	m.scheduleArrival(perSecond)
	m.scheduleLendingUpdate()
	m.scheduleOutages()
	for len(m.pending) > 0 {
		next := heap.Pop(&m.pending).(event)
		if next.at.After(m.end.Add(deadline)) {
			break
		}
		m.now = next.at
		next.fn()
	}
	return m.result
}

// scheduleArrival makes requests arrive as a Poisson process until the end of the run.
func (m *sim) scheduleArrival(perSecond float64) {
	gap := time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
	m.at(m.now.Add(gap), func() {
		if m.now.After(m.end) {
			return
		}
		m.arrive()
		m.scheduleArrival(perSecond)
	})
}

// scheduleLendingUpdate makes the policy recompute the split of keys over regions at a fixed
// interval.
func (m *sim) scheduleLendingUpdate() {
	m.at(m.now.Add(lendingInterval), func() {
		m.way.updateLending(m.now)
		if m.now.Before(m.end) {
			m.scheduleLendingUpdate()
		}
	})
}

// scheduleOutages makes some targets stop responding for 5 s in the middle of the measured time.
// They restart with empty queues and no warm keys.
func (m *sim) scheduleOutages() {
	middle := m.start.Add(warmUpTime + m.end.Sub(m.start.Add(warmUpTime))/2)
	for i, t := range m.targets {
		if float64(i%targetsPerRegion) >= m.scenario.Dead*targetsPerRegion {
			continue
		}
		m.at(middle, func() { t.silent = true })
		m.at(middle.Add(5*time.Second), func() {
			t.silent, t.running, t.waiting, t.queue, t.warm = false, 0, 0, nil, make(map[string]time.Time)
		})
	}
}

// measured reports whether the caller's first attempt arrived after the warm-up.
func (m *sim) measured(c *request) bool { return c.firstArrived.Sub(m.start) >= warmUpTime }

// arrive creates a request in a random region, at a random entry VM of it.
func (m *sim) arrive() {
	region := m.random.IntN(regionCount)
	c := &request{region: region, vm: region*vmsPerRegion + m.random.IntN(vmsPerRegion), firstArrived: m.now, arrived: m.now,
		key: fmt.Sprintf("%d-%d", region, m.random.IntN(keysPerRegion))}
	if m.measured(c) {
		m.result.total++
	}
	m.place(c)
}

// place sends a request to the target that the policy chooses, or refuses it if there is none.
func (m *sim) place(c *request) {
	name, ok := m.way.choose(m.now, c)
	if !ok {
		m.refuse(c)
		return
	}
	c.target, c.sent = m.targetsByName[name], m.now
	// The request arrives after half of the round-trip time.
	way := m.roundTrip(c)
	m.at(m.now.Add(way/2), func() { m.arriveAtTarget(c) })
}

// refuse schedules the caller's only retry, or counts the request as refused if it is the retry.
// The caller waits for the retry delay that it was given, but at most for a third of the time left
// before its deadline.
func (m *sim) refuse(c *request) {
	if c.isRetry {
		if m.measured(c) {
			m.result.refused++
		}
		return
	}
	left := deadline - m.now.Sub(c.firstArrived)
	retryAt := m.now.Add(min(c.retryAfter, left/3) + 2*callerOneWay)
	m.at(retryAt, func() {
		next := &request{region: c.region, vm: c.region*vmsPerRegion + m.random.IntN(vmsPerRegion), firstArrived: c.firstArrived, arrived: m.now, isRetry: true, key: c.key}
		m.place(next)
	})
}

// roundTrip returns the network round-trip time between the request's entry VM and its target.
func (m *sim) roundTrip(c *request) time.Duration {
	if c.target.Region != regionName(c.region) {
		return crossRegionRTT
	}
	return 2 * time.Millisecond
}

// arriveAtTarget executes or queues a request. A target whose queue is full sheds it. One that has
// stopped responding lets it time out.
func (m *sim) arriveAtTarget(c *request) {
	t := c.target
	if t.silent {
		m.at(c.sent.Add(responseTimeout), func() { m.finish(c, placement.Silent) })
		return
	}
	if t.running >= t.Slots {
		if t.waiting >= targetQueueLimit {
			m.at(m.now.Add(m.roundTrip(c)/2), func() { m.finish(c, placement.Shed) })
			return
		}
		t.waiting++
		t.queue = append(t.queue, c)
		return
	}
	m.execute(c)
}

// execute runs a request in a slot, then starts the next one of the queue. A run takes longer if the
// key is cold.
func (m *sim) execute(c *request) {
	t := c.target
	t.running++
	_, c.warm = t.warm[c.key]
	t.markWarm(c.key, m.now)
	work := float64(coldRunTime) * math.Max(0.3, 1+runTimeDeviation*m.random.NormFloat64())
	if c.warm {
		work *= warmRunFraction
	}
	m.at(m.now.Add(time.Duration(work)), func() {
		if t.silent {
			m.at(c.sent.Add(responseTimeout), func() { m.finish(c, placement.Silent) })
			return
		}
		t.running = max(t.running-1, 0)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.waiting--
			m.execute(next)
		}
		m.at(m.now.Add(m.roundTrip(c)/2), func() { m.finish(c, placement.Served) })
	})
}

// markWarm records the use of a key and evicts the least recently used one if there are too many.
func (t *target) markWarm(key string, now time.Time) {
	t.warm[key] = now
	if len(t.warm) <= warmKeysPerTarget {
		return
	}
	oldest, at := "", now
	for k, used := range t.warm {
		if used.Before(at) {
			oldest, at = k, used
		}
	}
	delete(t.warm, oldest)
}

// finish reports the outcome to the policy and counts it. The caller of a shed request may retry.
func (m *sim) finish(c *request, o placement.Outcome) {
	m.way.finished(m.now, c, o)
	if o == placement.Shed {
		c.retryAfter = shedRetryAfter
		m.refuse(c)
		return
	}
	if !m.measured(c) {
		return
	}
	latency := m.now.Sub(c.firstArrived)
	switch {
	case o != placement.Served:
		m.result.failed++
	case latency <= latencyObjective:
		m.result.withinObjective++
	default:
		m.result.late++
	}
	if o == placement.Served {
		m.result.served++
		m.result.latency = append(m.result.latency, latency.Seconds()*1000)
		if c.warm {
			m.result.warm++
		}
	}
}

// quantile returns the q-quantile of the latencies in ms, or 0 if there are none.
func (t *results) quantile(q float64) float64 {
	if len(t.latency) == 0 {
		return 0
	}
	sort.Float64s(t.latency)
	return t.latency[int(q*float64(len(t.latency)-1))]
}
