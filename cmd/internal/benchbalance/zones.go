package benchbalance

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/spill"
)

// ZonesRow is one run of six zones in three regions.
type ZonesRow struct {
	Scenario string `json:"scenario"`
	Way      string `json:"way"`
	// Of all requests after the fault or the overload began.
	AnsweredPercent float64 `json:"answered_percent"`
	SpilledPercent  float64 `json:"spilled_percent"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
	// WastedTrips is refused trips to another zone per 1,000 requests.
	WastedTrips float64 `json:"wasted_trips_per_1000"`
	// SwitchesPerMinute is how often the place that got most of a sender's
	// spilled work changed from one second to the next, for one sender.
	SwitchesPerMinute float64 `json:"switches_per_minute"`
	// OvershootPercent is by how much the trips to a place in 100 ms were more
	// than it took of them, at the 99th percentile, as a part of its slots.
	OvershootPercent float64 `json:"overshoot_percent"`
	// RecoverySeconds is how long after the zone's return the last second lay
	// in which more than 1 % of requests were refused; -1 where nothing
	// returns.
	RecoverySeconds float64 `json:"recovery_s"`
}

const (
	zonesCount     = 6
	zonesPerRegion = 2
	// sendersPerZone is the entry VMs of a zone; each has hints of its own.
	sendersPerZone = 2
	sameRegion     = time.Millisecond
	otherRegion    = 20 * time.Millisecond
	// beatEvery is how often a zone's headroom is told; it arrives beatLag
	// later.
	beatEvery = time.Second
	beatLag   = 50 * time.Millisecond
	// deadTimeout is what a trip to a dead zone costs.
	deadTimeout = 300 * time.Millisecond
	// returnTime is the look-ups' time to live: callers come back within it.
	returnTime = 5 * time.Second

	zonesFault  = 10 * time.Second
	zonesReturn = 40 * time.Second
	zonesEnd    = 70 * time.Second

	zonesMaxSpills = 2
	zonesSlice     = 100 * time.Millisecond
)

const zonesService = steering.Service("tickets")

// place is one zone's pool and callers.
type place struct {
	z         *zone
	c         *counted
	name      steering.Place
	region    int
	senders   []*sender
	dead      bool
	rng       *rand.Rand
	got, took int       // spilled work in this slice: arrived, and taken of it
	excess    []float64 // by slice, as a part of the slots
	told      int       // free slots by the last beat that arrived
}

// sender is one entry VM with its hints.
type sender struct {
	home  *place
	table *spill.Table
	sent  map[steering.Place]int // in this second
	last  steering.Place
	moves int
}

type world struct {
	*sim
	places   []*place
	order    order
	arrived  int
	answered int
	refused  int
	spilled  int
	wasted   int
	lat      []time.Duration
	from     time.Duration
	bad      time.Duration // end of the last second with refusals
	inSecond [2]int        // arrived, refused
	fails    bool
}

type zonesScenario struct {
	name    string
	load    func(zone int) float64
	fails   bool
	returns bool
}

func zonesScenarios() []zonesScenario {
	even := func(load float64) func(int) float64 { return func(int) float64 { return load } }
	return []zonesScenario{
		{"one zone of six fails and returns, 60 % load", even(0.6), true, true},
		{"one zone of six fails and returns, 80 % load", even(0.8), true, true},
		{"one region at 140 %, the others at 60 %", func(z int) float64 {
			if z < zonesPerRegion {
				return 1.4
			}
			return 0.6
		}, false, false},
	}
}

func compareZones(o Options) (rows []ZonesRow) {
	for _, sc := range zonesScenarios() {
		for _, way := range zonesOrders() {
			w := newWorld(o, sc, way.order)
			w.run(zonesEnd)
			rows = append(rows, w.row(sc, way.name))
		}
	}
	return rows
}

func newWorld(o Options, sc zonesScenario, by order) *world {
	w := &world{sim: &sim{rng: seeded(o.Seed, 10)}, order: by, from: zonesFault, fails: sc.fails}
	for i := range zonesCount {
		p := base(o)
		p.Targets, p.Slots, p.Load, p.Seed = 12, 3, sc.load(i), o.Seed+uint64(100*i)
		p.WaitPart = 1
		z := newZoneIn(w.sim, p)
		at := &place{
			z: z, c: newCounted(z, z.allSlots), region: i / zonesPerRegion,
			name: steering.Place(rune('a' + i)), rng: seeded(p.Seed, 11),
		}
		for range sendersPerZone {
			at.senders = append(at.senders, &sender{home: at, table: spill.NewTable(spill.Params{}), sent: map[steering.Place]int{}})
		}
		w.places = append(w.places, at)
	}
	for i := range w.places {
		w.arrivals(i)
	}
	w.after(beatEvery, w.beat)
	w.after(time.Second, w.second)
	w.after(zonesSlice, w.slice)
	if sc.fails {
		w.after(zonesFault, func() { w.places[0].dead = true })
	}
	if sc.returns {
		w.after(zonesReturn, func() { w.places[0].dead = false })
	}
	return w
}

// arrivals lets a zone's callers send. Those of a dead zone go to the other
// zone of the region, and come back one by one after its return.
func (w *world) arrivals(i int) {
	at := w.places[i]
	rate := at.z.rate()
	var next func()
	next = func() {
		to := at
		back := float64(w.now-zonesReturn) / float64(returnTime)
		away := at.dead || w.now >= zonesReturn && at.rng.Float64() > back
		if i == 0 && w.fails && w.now >= zonesFault && away {
			to = w.places[1]
		}
		r := &request{arrived: w.now, deadline: w.now + at.z.Deadline, work: at.rng.ExpFloat64()}
		w.arrive(to, r)
		w.after(time.Duration(at.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

func (w *world) measured(r *request) bool { return r.arrived >= w.from }

func (w *world) arrive(at *place, r *request) {
	if w.measured(r) {
		w.arrived++
	}
	w.inSecond[0]++
	s := at.senders[at.rng.IntN(len(at.senders))]
	w.serve(at, r, false, func() { w.finish(r) }, func() { w.spill(s, r, w.order(w, s), 0) })
}

// serve runs a request at a place.
func (w *world) serve(at *place, r *request, patient bool, done, refused func()) {
	at.c.ask(r, patient, func(id pool.GrantID, target int) {
		at.z.send(r, target, func(ran bool, reported int) {
			at.c.release(id, ran, reported)
			done()
		})
	}, refused)
}

func (w *world) finish(r *request) {
	if w.measured(r) {
		w.answered++
		w.lat = append(w.lat, w.now-r.arrived)
	}
}

// spill tries other places in order, and in the end waits at home.
func (w *world) spill(s *sender, r *request, to []*place, tried int) {
	if tried == zonesMaxSpills || tried == len(to) {
		r.foreign = false
		w.serve(s.home, r, true, func() { w.finish(r) }, func() { w.refuse(r) })
		return
	}
	if tried == 0 && w.measured(r) {
		w.spilled++
	}
	at := to[tried]
	key := spill.Pool{Place: at.name, Service: zonesService}
	s.table.RecordSent(key)
	s.sent[at.name]++
	away := distance(s.home, at)
	if at.dead {
		w.after(deadTimeout, func() {
			s.table.RecordRefusal(key, steering.ReasonPeerUnreachable, time.Second, w.clock())
			w.spill(s, r, to, tried+1)
		})
		return
	}
	r.foreign = true
	w.after(away, func() {
		at.got++
		at.took++
		w.serve(at, r, false, func() {
			free, when := at.c.pool.Free(), w.clock()
			w.after(away, func() {
				s.table.RecordFree(key, free, when) // replies carry the headroom
				w.finish(r)
			})
		}, func() {
			at.took--
			after := at.c.retryAfter
			w.after(away, func() {
				if w.measured(r) {
					w.wasted++
				}
				s.table.RecordRefusal(key, steering.ReasonNoSlot, after, w.clock())
				w.spill(s, r, to, tried+1)
			})
		})
	})
}

func (w *world) refuse(r *request) {
	w.inSecond[1]++
	if w.measured(r) {
		w.refused++
	}
}

// beat tells every sender every place's headroom.
func (w *world) beat() {
	w.after(beatEvery, w.beat)
	for _, at := range w.places {
		if at.dead {
			continue
		}
		free, when := at.c.pool.Free(), w.clock()
		w.after(beatLag, func() {
			at.told = free
			for _, other := range w.places {
				for _, s := range other.senders {
					s.table.RecordFree(spill.Pool{Place: at.name, Service: zonesService}, free, when)
				}
			}
		})
	}
}

// second looks at what each sender did in the second before.
func (w *world) second() {
	w.after(time.Second, w.second)
	if w.inSecond[1]*100 > w.inSecond[0] {
		w.bad = w.now
	}
	w.inSecond = [2]int{}
	for _, at := range w.places {
		for _, s := range at.senders {
			most := s.busiest()
			if most != "" && s.last != "" && most != s.last && w.now > w.from {
				s.moves++
			}
			if most != "" {
				s.last = most
			}
			clear(s.sent)
		}
	}
}

// leastSent is the spilled work in a second below which no place counts as
// the one that got most.
const leastSent = 5

func (s *sender) busiest() steering.Place {
	var best steering.Place
	total := 0
	for _, name := range slices.Sorted(maps.Keys(s.sent)) {
		total += s.sent[name]
		if best == "" || s.sent[name] > s.sent[best] {
			best = name
		}
	}
	if total < leastSent {
		return ""
	}
	return best
}

func (w *world) slice() {
	w.after(zonesSlice, w.slice)
	for _, at := range w.places {
		if w.now > w.from && at.got > 0 {
			at.excess = append(at.excess, float64(at.got-at.took)/float64(at.z.Targets*at.z.Slots))
		}
		at.got, at.took = 0, 0
	}
}

func (w *world) row(sc zonesScenario, way string) ZonesRow {
	slices.Sort(w.lat)
	var excess []float64
	most := 0.0
	for _, at := range w.places {
		excess = append(excess, at.excess...)
		for _, s := range at.senders {
			most = max(most, float64(s.moves))
		}
	}
	slices.Sort(excess)
	over := 0.0
	if len(excess) > 0 {
		over = excess[int(0.99*float64(len(excess)-1))]
	}
	recovery := -1.0
	if sc.returns {
		recovery = math.Max(0, (w.bad - zonesReturn).Seconds())
	}
	return ZonesRow{
		Scenario: sc.name, Way: way,
		AnsweredPercent: percent(w.answered, w.answered+w.refused),
		SpilledPercent:  percent(w.spilled, w.arrived),
		P50Ms:           ms(percentile(w.lat, 0.5)), P99Ms: ms(percentile(w.lat, 0.99)),
		WastedTrips:       1000 * float64(w.wasted) / float64(max(1, w.arrived)),
		SwitchesPerMinute: most / (zonesEnd - w.from).Minutes(),
		OvershootPercent:  100 * over,
		RecoverySeconds:   recovery,
	}
}
