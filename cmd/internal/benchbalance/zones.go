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

// ZonesRow holds the results of one run with six zones in three regions.
type ZonesRow struct {
	Scenario string `json:"scenario"`
	Way      string `json:"way"`
	// The shares and latencies are those of the requests that arrived from faultAt on.
	AnsweredPercent float64 `json:"answered_percent"`
	SpilledPercent  float64 `json:"spilled_percent"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
	// WastedTrips is the number of spilled requests that another zone refused, per 1,000 requests.
	WastedTrips float64 `json:"wasted_trips_per_1000"`
	// SwitchesPerMinute is how often, from one second to the next, another zone received the most
	// spilled requests of an entry VM. It is that of the entry VM with the most such changes.
	SwitchesPerMinute float64 `json:"switches_per_minute"`
	// OvershootPercent is the number of spilled requests that a zone received in 100 ms and didn't
	// accept, as a share of its slots, at the 99th percentile.
	OvershootPercent float64 `json:"overshoot_percent"`
	// RecoverySeconds is the time from the recovery of the failed zone to the end of the last second
	// in which more than 1 % of the requests were refused. It is -1 if no zone recovers.
	RecoverySeconds float64 `json:"recovery_s"`
}

const (
	zoneCount      = 6
	zonesPerRegion = 2
	// vmsPerZone is the number of entry VMs in a zone. Each has a spill table of its own.
	vmsPerZone        = 2
	sameRegionOneWay  = time.Millisecond
	otherRegionOneWay = 20 * time.Millisecond
	// headroomInterval is how often a zone reports its headroom. A report arrives headroomDelay later.
	headroomInterval = time.Second
	headroomDelay    = 50 * time.Millisecond
	// unreachableTimeout is the time after which a request sent to a failed zone is abandoned.
	unreachableTimeout = 300 * time.Millisecond
	// lookupTTL is the time to live of look-up answers. Callers return to a recovered zone within it.
	lookupTTL = 5 * time.Second

	// faultAt and recoverAt are when the first zone fails and recovers, in the scenarios in which it
	// does. The measured time is from faultAt to zonesRunTime.
	faultAt      = 10 * time.Second
	recoverAt    = 40 * time.Second
	zonesRunTime = 70 * time.Second

	// maxSpillAttempts is the number of other zones that a request is sent to.
	maxSpillAttempts = 2
	// sliceDuration is the interval over which the overshoot is measured.
	sliceDuration = 100 * time.Millisecond
)

const zonesService = steering.Service("tickets")

// simZone is one zone: its pool, entry VMs and callers.
type simZone struct {
	z                              *zone
	c                              *localPool
	name                           steering.Place
	region                         int
	vms                            []*entryVM
	down                           bool
	rng                            *rand.Rand
	spillsReceived, spillsAccepted int       // spilled requests in this slice, and how many of them were accepted
	overshoots                     []float64 // spilled requests not accepted in each slice, as a share of the slots
	reportedFree                   int       // free slots by the last headroom report that arrived
}

// entryVM is an entry VM with its spill table, which holds the headroom hints of other zones.
type entryVM struct {
	home        *simZone
	table       *spill.Table
	spillsSent  map[steering.Place]int // by zone, in this second
	lastBusiest steering.Place
	switches    int
}

// multiZone is the simulation of all zones, with its results.
type multiZone struct {
	*sim
	zones         []*simZone
	spillOrder    spillOrder
	arrived       int
	answered      int
	refused       int
	spilled       int
	refusedSpills int
	latencies     []time.Duration
	measureFrom   time.Duration
	lastBadSecond time.Duration // end of the last second in which over 1 % of the requests were refused
	inSecond      [2]int        // requests that arrived and were refused in this second
	zoneFails     bool
}

type zonesScenario struct {
	name        string
	load        func(zone int) float64
	zoneFails   bool
	zoneReturns bool
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
		for _, way := range spillOrders() {
			w := newMultiZone(o, sc, way.spillOrder)
			w.run(zonesRunTime)
			rows = append(rows, w.row(sc, way.name))
		}
	}
	return rows
}

func newMultiZone(o Options, sc zonesScenario, by spillOrder) *multiZone {
	w := &multiZone{sim: &sim{rng: seeded(o.Seed, 10)}, spillOrder: by, measureFrom: faultAt, zoneFails: sc.zoneFails}
	for i := range zoneCount {
		p := baseParams(o)
		p.Targets, p.Slots, p.Load, p.Seed = 12, 3, sc.load(i), o.Seed+uint64(100*i)
		p.WaitPart = 1
		z := newZoneIn(w.sim, p)
		at := &simZone{
			z: z, c: newLocalPool(z, z.allSlots), region: i / zonesPerRegion,
			name: steering.Place(rune('a' + i)), rng: seeded(p.Seed, 11),
		}
		for range vmsPerZone {
			at.vms = append(at.vms, &entryVM{home: at, table: spill.NewTable(spill.Params{}), spillsSent: map[steering.Place]int{}})
		}
		w.zones = append(w.zones, at)
	}
	for i := range w.zones {
		w.startArrivals(i)
	}
	w.after(headroomInterval, w.publishHeadroom)
	w.after(time.Second, w.recordSecond)
	w.after(sliceDuration, w.recordSlice)
	if sc.zoneFails {
		w.after(faultAt, func() { w.zones[0].down = true })
	}
	if sc.zoneReturns {
		w.after(recoverAt, func() { w.zones[0].down = false })
	}
	return w
}

// startArrivals makes the requests of a zone's callers arrive. The callers of the failed zone use the
// other zone of the region, and return gradually, within lookupTTL, after the zone has recovered.
func (w *multiZone) startArrivals(i int) {
	at := w.zones[i]
	rate := at.z.rate()
	var next func()
	next = func() {
		to := at
		back := float64(w.now-recoverAt) / float64(lookupTTL)
		away := at.down || w.now >= recoverAt && at.rng.Float64() > back
		if i == 0 && w.zoneFails && w.now >= faultAt && away {
			to = w.zones[1]
		}
		r := &request{arrived: w.now, deadline: w.now + at.z.Deadline, workFactor: at.rng.ExpFloat64()}
		w.arrive(to, r)
		w.after(time.Duration(at.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

// measured reports whether a request arrived in the measured time.
func (w *multiZone) measured(r *request) bool { return r.arrived >= w.measureFrom }

// arrive serves a request in its zone, or spills it if the zone refuses it.
func (w *multiZone) arrive(at *simZone, r *request) {
	if w.measured(r) {
		w.arrived++
	}
	w.inSecond[0]++
	s := at.vms[at.rng.IntN(len(at.vms))]
	w.serve(at, r, false, func() { w.recordAnswered(r) }, func() { w.spill(s, r, w.spillOrder(w, s), 0) })
}

// serve runs a request in a zone, and calls done or refused.
func (w *multiZone) serve(at *simZone, r *request, patient bool, done, refused func()) {
	at.c.acquirePatient(r, patient, func(id pool.GrantID, target int) {
		at.z.sendToTarget(r, target, func(ran bool, reported int) {
			at.c.release(id, ran, reported)
			done()
		})
	}, refused)
}

func (w *multiZone) recordAnswered(r *request) {
	if w.measured(r) {
		w.answered++
		w.latencies = append(w.latencies, w.now-r.arrived)
	}
}

// spill tries other zones in order. After maxSpillAttempts, or when all zones refused the request, the
// request waits in its own zone.
func (w *multiZone) spill(s *entryVM, r *request, to []*simZone, tried int) {
	if tried == maxSpillAttempts || tried == len(to) {
		r.foreign = false
		w.serve(s.home, r, true, func() { w.recordAnswered(r) }, func() { w.recordRefused(r) })
		return
	}
	if tried == 0 && w.measured(r) {
		w.spilled++
	}
	at := to[tried]
	key := spill.Pool{Place: at.name, Service: zonesService}
	s.table.RecordSent(key)
	s.spillsSent[at.name]++
	away := distance(s.home, at)
	if at.down {
		w.after(unreachableTimeout, func() {
			s.table.RecordRefusal(key, steering.ReasonPeerUnreachable, time.Second, w.clock())
			w.spill(s, r, to, tried+1)
		})
		return
	}
	r.foreign = true
	w.after(away, func() {
		at.spillsReceived++
		at.spillsAccepted++
		w.serve(at, r, false, func() {
			free, when := at.c.pool.Free(), w.clock()
			w.after(away, func() {
				s.table.RecordFree(key, free, when) // replies report the headroom
				w.recordAnswered(r)
			})
		}, func() {
			at.spillsAccepted--
			after := at.c.retryAfter
			w.after(away, func() {
				if w.measured(r) {
					w.refusedSpills++
				}
				s.table.RecordRefusal(key, steering.ReasonNoSlot, after, w.clock())
				w.spill(s, r, to, tried+1)
			})
		})
	})
}

func (w *multiZone) recordRefused(r *request) {
	w.inSecond[1]++
	if w.measured(r) {
		w.refused++
	}
}

// publishHeadroom sends the headroom of every live zone to all entry VMs.
func (w *multiZone) publishHeadroom() {
	w.after(headroomInterval, w.publishHeadroom)
	for _, at := range w.zones {
		if at.down {
			continue
		}
		free, when := at.c.pool.Free(), w.clock()
		w.after(headroomDelay, func() {
			at.reportedFree = free
			for _, other := range w.zones {
				for _, s := range other.vms {
					s.table.RecordFree(spill.Pool{Place: at.name, Service: zonesService}, free, when)
				}
			}
		})
	}
}

// recordSecond evaluates the past second: the share of refused requests, and whether each entry VM's
// busiest zone changed.
func (w *multiZone) recordSecond() {
	w.after(time.Second, w.recordSecond)
	if w.inSecond[1]*100 > w.inSecond[0] {
		w.lastBadSecond = w.now
	}
	w.inSecond = [2]int{}
	for _, at := range w.zones {
		for _, s := range at.vms {
			most := s.busiestZone()
			if most != "" && s.lastBusiest != "" && most != s.lastBusiest && w.now > w.measureFrom {
				s.switches++
			}
			if most != "" {
				s.lastBusiest = most
			}
			clear(s.spillsSent)
		}
	}
}

// minSpillsPerSecond is the number of spilled requests of an entry VM in a second below which no zone
// counts as its busiest.
const minSpillsPerSecond = 5

// busiestZone returns the zone that received the most spilled requests in this second, or "" if there
// were too few.
func (s *entryVM) busiestZone() steering.Place {
	var best steering.Place
	total := 0
	for _, name := range slices.Sorted(maps.Keys(s.spillsSent)) {
		total += s.spillsSent[name]
		if best == "" || s.spillsSent[name] > s.spillsSent[best] {
			best = name
		}
	}
	if total < minSpillsPerSecond {
		return ""
	}
	return best
}

// recordSlice records the overshoot of each zone in the past slice.
func (w *multiZone) recordSlice() {
	w.after(sliceDuration, w.recordSlice)
	for _, at := range w.zones {
		if w.now > w.measureFrom && at.spillsReceived > 0 {
			at.overshoots = append(at.overshoots, float64(at.spillsReceived-at.spillsAccepted)/float64(at.z.Targets*at.z.Slots))
		}
		at.spillsReceived, at.spillsAccepted = 0, 0
	}
}

func (w *multiZone) row(sc zonesScenario, way string) ZonesRow {
	slices.Sort(w.latencies)
	var overshoots []float64
	most := 0.0
	for _, at := range w.zones {
		overshoots = append(overshoots, at.overshoots...)
		for _, s := range at.vms {
			most = max(most, float64(s.switches))
		}
	}
	slices.Sort(overshoots)
	over := 0.0
	if len(overshoots) > 0 {
		over = overshoots[int(0.99*float64(len(overshoots)-1))]
	}
	recovery := -1.0
	if sc.zoneReturns {
		recovery = math.Max(0, (w.lastBadSecond - recoverAt).Seconds())
	}
	return ZonesRow{
		Scenario: sc.name, Way: way,
		AnsweredPercent: percent(w.answered, w.answered+w.refused),
		SpilledPercent:  percent(w.spilled, w.arrived),
		P50Ms:           ms(percentile(w.latencies, 0.5)), P99Ms: ms(percentile(w.latencies, 0.99)),
		WastedTrips:       1000 * float64(w.refusedSpills) / float64(max(1, w.arrived)),
		SwitchesPerMinute: most / (zonesRunTime - w.measureFrom).Minutes(),
		OvershootPercent:  100 * over,
		RecoverySeconds:   recovery,
	}
}
