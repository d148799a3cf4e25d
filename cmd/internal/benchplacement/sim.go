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

// service is the one service that is played.
const service = steering.Service("tickets")

// Figures of a simulated deployment. They are of the size of a small one: what
// matters is that a cold run takes three times as long as a warm one and that a
// target keeps only a few times as many keys warm as it has to serve.
const (
	regionCount    = 3
	vmsPerRegion   = 4
	targetSlots    = 4
	targetQueue    = 12
	keysPerRegion  = 130
	keysKept       = 36
	coldWork       = 480 * time.Millisecond
	warmShare      = 0.3
	aim            = 400 * time.Millisecond
	deadline       = 2500 * time.Millisecond
	lateWorth      = 0.2
	againPrice     = 0.3 // of a caller that came back and was refused again
	callerWay      = 3 * time.Millisecond
	shedRetry      = 200 * time.Millisecond
	longWay        = 40 * time.Millisecond // there and back between regions
	silentAfter    = 800 * time.Millisecond
	lendEvery      = time.Second
	warmUp         = 8 * time.Second // of a run, not measured
	workSpread     = 0.15
	shiftBound     = 0.15
	unevenTargets  = 2
	regularTargets = 10
)

// Scenario is a load and what goes wrong.
type Scenario struct {
	Name string `json:"name"`
	// Load is what is asked, as a share of what warm targets bear together.
	Load float64 `json:"load"`
	// Uneven gives the first region a fifth of the targets of the others.
	Uneven bool `json:"uneven"`
	// Dead is the share of targets that fall silent for 5 s in the middle.
	Dead float64 `json:"dead"`
}

// target is a simulated target.
type target struct {
	placement.Target
	running, waiting int
	queue            []*call
	warm             map[string]time.Time
	dead             bool
}

// call is one request.
type call struct {
	key    string
	region int
	vm     int
	// began is when the caller first asked, arrived when this request came.
	began      time.Time
	arrived    time.Time
	again      bool
	retryAfter time.Duration
	sent       time.Time
	pick       placement.Pick
	target     *target
	warm       bool
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim is one run.
type sim struct {
	random   *rand.Rand
	scenario Scenario
	way      way
	now      time.Time
	start    time.Time
	end      time.Time
	pending  events
	order    int
	targets  []*target
	byName   map[steering.Target]*target
	result   tally
}

// tally counts what callers got.
type tally struct {
	asked, inAim, late, refused, failed, warm, ran int
	took                                           []float64 // ms
}

func regionName(n int) steering.Region { return steering.Region(fmt.Sprint("region-", n)) }

func newSim(s Scenario, seed uint64, length time.Duration, w func(*sim) way) *sim {
	m := &sim{random: rand.New(rand.NewPCG(seed, 1)), scenario: s, start: time.Unix(0, 0), byName: make(map[steering.Target]*target)}
	m.now = m.start
	m.end = m.start.Add(warmUp + length)
	for region := range regionCount {
		count := regularTargets
		if s.Uneven && region == 0 {
			count = unevenTargets
		}
		for n := range count {
			t := &target{Target: placement.Target{Name: steering.Target(fmt.Sprintf("t-%d-%d", region, n)), Service: service,
				Region: regionName(region), Zone: steering.Zone(fmt.Sprint("zone-", region)), Slots: targetSlots}, warm: make(map[string]time.Time)}
			m.targets = append(m.targets, t)
			m.byName[t.Name] = t
		}
	}
	m.way = w(m)
	return m
}

func (m *sim) at(when time.Time, do func()) {
	m.order++
	heap.Push(&m.pending, event{when, m.order, do})
}

// run plays the scenario and returns what callers got.
func (m *sim) run() tally {
	slots := float64(len(m.targets) * targetSlots)
	perSecond := m.scenario.Load * slots / (warmShare * coldWork.Seconds())
	m.scheduleArrival(perSecond)
	m.scheduleLending()
	m.scheduleDeaths()
	for len(m.pending) > 0 {
		next := heap.Pop(&m.pending).(event)
		if next.at.After(m.end.Add(deadline)) {
			break
		}
		m.now = next.at
		next.do()
	}
	return m.result
}

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

func (m *sim) scheduleLending() {
	m.at(m.now.Add(lendEvery), func() {
		m.way.lend(m.now)
		if m.now.Before(m.end) {
			m.scheduleLending()
		}
	})
}

// scheduleDeaths lets some targets fall silent in the middle of the measured
// time.
func (m *sim) scheduleDeaths() {
	middle := m.start.Add(warmUp + m.end.Sub(m.start.Add(warmUp))/2)
	for i, t := range m.targets {
		if float64(i%regularTargets) >= m.scenario.Dead*regularTargets {
			continue
		}
		m.at(middle, func() { t.dead = true })
		m.at(middle.Add(5*time.Second), func() {
			t.dead, t.running, t.waiting, t.queue, t.warm = false, 0, 0, nil, make(map[string]time.Time)
		})
	}
}

func (m *sim) measured(c *call) bool { return c.began.Sub(m.start) >= warmUp }

func (m *sim) arrive() {
	region := m.random.IntN(regionCount)
	c := &call{region: region, vm: region*vmsPerRegion + m.random.IntN(vmsPerRegion), began: m.now, arrived: m.now,
		key: fmt.Sprintf("%d-%d", region, m.random.IntN(keysPerRegion))}
	if m.measured(c) {
		m.result.asked++
	}
	m.place(c)
}

// place sends a request to a target, or refuses it; its caller comes back once.
func (m *sim) place(c *call) {
	name, ok := m.way.choose(m.now, c)
	if !ok {
		m.refuse(c)
		return
	}
	c.target, c.sent = m.byName[name], m.now
	way := m.wayTo(c)
	m.at(m.now.Add(way/2), func() { m.reach(c) })
}

// refuse lets a caller come back once, when it was told to, after at most a third
// of the time it has left.
func (m *sim) refuse(c *call) {
	if c.again {
		if m.measured(c) {
			m.result.refused++
		}
		return
	}
	left := deadline - m.now.Sub(c.began)
	back := m.now.Add(min(c.retryAfter, left/3) + 2*callerWay)
	m.at(back, func() {
		next := &call{region: c.region, vm: c.region*vmsPerRegion + m.random.IntN(vmsPerRegion), began: c.began, arrived: m.now, again: true, key: c.key}
		m.place(next)
	})
}

// wayTo is the time there and back.
func (m *sim) wayTo(c *call) time.Duration {
	if c.target.Region != regionName(c.region) {
		return longWay
	}
	return 2 * time.Millisecond
}

func (m *sim) reach(c *call) {
	t := c.target
	if t.dead {
		m.at(c.sent.Add(silentAfter), func() { m.finish(c, placement.Silent) })
		return
	}
	if t.running >= t.Slots {
		if t.waiting >= targetQueue {
			m.at(m.now.Add(m.wayTo(c)/2), func() { m.finish(c, placement.Shed) })
			return
		}
		t.waiting++
		t.queue = append(t.queue, c)
		return
	}
	m.begin(c)
}

// begin runs a request; it takes longer if the key is cold.
func (m *sim) begin(c *call) {
	t := c.target
	t.running++
	_, c.warm = t.warm[c.key]
	t.keep(c.key, m.now)
	work := float64(coldWork) * math.Max(0.3, 1+workSpread*m.random.NormFloat64())
	if c.warm {
		work *= warmShare
	}
	m.at(m.now.Add(time.Duration(work)), func() {
		if t.dead {
			m.at(c.sent.Add(silentAfter), func() { m.finish(c, placement.Silent) })
			return
		}
		t.running = max(t.running-1, 0)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.waiting--
			m.begin(next)
		}
		m.at(m.now.Add(m.wayTo(c)/2), func() { m.finish(c, placement.Served) })
	})
}

// keep remembers a key and forgets the one used longest ago.
func (t *target) keep(key string, now time.Time) {
	t.warm[key] = now
	if len(t.warm) <= keysKept {
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

func (m *sim) finish(c *call, o placement.Outcome) {
	m.way.ended(m.now, c, o)
	if o == placement.Shed {
		c.retryAfter = shedRetry
		m.refuse(c)
		return
	}
	if !m.measured(c) {
		return
	}
	took := m.now.Sub(c.began)
	switch {
	case o != placement.Served:
		m.result.failed++
	case took <= aim:
		m.result.inAim++
	default:
		m.result.late++
	}
	if o == placement.Served {
		m.result.ran++
		m.result.took = append(m.result.took, took.Seconds()*1000)
		if c.warm {
			m.result.warm++
		}
	}
}

// quantile returns the q-quantile of times in ms, 0 without any.
func (t *tally) quantile(q float64) float64 {
	if len(t.took) == 0 {
		return 0
	}
	sort.Float64s(t.took)
	return t.took[int(q*float64(len(t.took)-1))]
}
