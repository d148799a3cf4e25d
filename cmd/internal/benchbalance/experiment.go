package benchbalance

import (
	"fmt"
	"time"

	"heatherlock/steering/pool"
)

// Row is one run's figures.
type Row struct {
	Way     string  `json:"way"`
	EntryVM int     `json:"entry_vms"`
	Load    float64 `json:"load"`
	// Of the requests that arrived while measuring.
	AnsweredPercent float64 `json:"answered_percent"`
	RefusedPercent  float64 `json:"refused_percent"`
	LostPercent     float64 `json:"lost_percent"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
	// OverSlots is the tries that met a full target, per 1,000 requests.
	OverSlots float64 `json:"over_slots_per_1000"`
	// IdlePercent is the part of all slot time that was idle while a request
	// waited.
	IdlePercent float64 `json:"idle_while_waiting_percent"`
	// Messages between entry VMs per request.
	Messages float64 `json:"messages_per_request"`
	// BusiestPercent is the part of requests that arrived at the busiest
	// entry VM.
	BusiestPercent float64 `json:"busiest_vm_percent"`
}

func row(name string, z *zone) Row {
	z.account()
	t := &z.tally
	sorted := t.sorted()
	ended := max(1, t.answered+t.refused+t.lost)
	busiest := 0
	for _, n := range t.atVM {
		busiest = max(busiest, n)
	}
	return Row{
		Way: name, EntryVM: z.EntryVM, Load: z.Load,
		AnsweredPercent: percent(t.answered, ended),
		RefusedPercent:  percent(t.refused, ended),
		LostPercent:     percent(t.lost, ended),
		P50Ms:           ms(percentile(sorted, 0.50)),
		P99Ms:           ms(percentile(sorted, 0.99)),
		OverSlots:       1000 * float64(t.overSlots) / float64(max(1, t.arrived)),
		IdlePercent:     100 * t.idleTime / max(1e-9, t.slotTime),
		Messages:        float64(t.messages) / float64(max(1, t.arrived)),
		BusiestPercent:  percent(busiest, t.arrived),
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// entrant makes one way for a zone.
type entrant struct {
	name     string
	affinity float64
	make     func(*zone) way
}

// lookupAffinity is the part of requests that arrive at the owner when
// look-up answers name it first; the rest comes by older answers.
const lookupAffinity = 0.9

const periodicEvery = 100 * time.Millisecond

func entrants() []entrant {
	return []entrant{
		{"central count, no delay (ideal)", 0, func(z *zone) way { return &central{z, newCounted(z, z.allSlots)} }},
		{"random target", 0, func(z *zone) way { return &random{z} }},
		{"optimistic, targets shed", 0, func(z *zone) way { return newOptimistic(z) }},
		{"static shares", 0, func(z *zone) way { return newStatic(z) }},
		{"shares with loans", 0, func(z *zone) way { return newLoans(z) }},
		{"shares re-divided every 100 ms", 0, func(z *zone) way { return newPeriodic(z, periodicEvery) }},
		{"owner, whole request handed over", 0, func(z *zone) way { return newOwner(z, 0, true) }},
		{"owner grants", 0, func(z *zone) way { return newOwner(z, 0, false) }},
		{"owner grants, look-up names owner", lookupAffinity, func(z *zone) way { return newOwner(z, 0, false) }},
	}
}

// run runs one way and returns its figures.
func run(e entrant, p Params) Row {
	p.Affinity = e.affinity
	z := newZone(p)
	z.start(e.make(z))
	z.sim.run(warmTime + p.For)
	return row(e.name, z)
}

// When an owner that does not answer is passed over: by the bound on its whole
// answer, or by a probe that is sent when the answer takes long.
const (
	wholeTimeout  = 800 * time.Millisecond
	probedTimeout = 300 * time.Millisecond
)

// base returns the parameters that all experiments start from: the schedule
// service of one place.
func base(o Options) Params {
	return Params{
		Seed: o.Seed, Targets: 20, Slots: 4, EntryVM: 2, Load: 0.85, For: o.For,
		OneWay: 200 * time.Microsecond, Deadline: 2 * time.Second,
		MaxWait: 500 * time.Millisecond, Queue: 4, AskTimeout: probedTimeout,
	}
}

var (
	entryVMs = []int{2, 22}
	loads    = []float64{0.60, 0.85, 1.10}
)

func compareWays(o Options) (rows []Row) {
	for _, vms := range entryVMs {
		for _, load := range loads {
			for _, e := range entrants() {
				p := base(o)
				p.EntryVM, p.Load = vms, load
				rows = append(rows, run(e, p))
			}
		}
	}
	return rows
}

// compareUneven repeats the middle load with half of all requests at one entry
// VM, for the ways that divide slots beforehand.
func compareUneven(o Options) (rows []Row) {
	for _, e := range entrants() {
		p := base(o)
		p.EntryVM, p.Uneven = 22, 0.5
		rows = append(rows, run(e, p))
	}
	return rows
}

// compareChoice compares ways to choose among free targets when a fifth of the
// targets take twice as long.
func compareChoice(o Options) (rows []Row) {
	choices := []struct {
		name   string
		choice pool.Choice
	}{
		{"least loaded", pool.ChooseLeastLoaded},
		{"fastest", pool.ChooseFastest},
		{"longest unused", pool.ChooseLeastRecentlyUsed},
	}
	for _, slow := range []float64{0, 0.2} {
		for _, load := range loads {
			for _, c := range choices {
				p := base(o)
				p.Choice, p.Load, p.SlowTargets = c.choice, load, slow
				name := c.name
				if slow > 0 {
					name += ", 20 % of targets slow"
				}
				rows = append(rows, run(entrant{name, lookupAffinity, func(z *zone) way { return newOwner(z, 0, false) }}, p))
			}
		}
	}
	return rows
}

// compareWaits varies the bound on the wait of one zone alone, as a part of the
// mean service time, for a large and a small pool.
func compareWaits(o Options) (rows []Row) {
	for _, size := range []struct{ targets, slots int }{{20, 4}, {12, 3}, {3, 4}} {
		for _, load := range loads {
			for _, part := range []float64{0, 0.25, 0.5, 1, 2, 5} {
				p := base(o)
				p.Targets, p.Slots, p.Load = size.targets, size.slots, load
				p.MaxWait = time.Duration(part * float64(meanService))
				if part == 0 {
					p.Queue = -1
				}
				name := fmt.Sprintf("%d slots, wait up to %.2f of the service time", size.targets*size.slots, part)
				rows = append(rows, run(entrant{name, lookupAffinity, func(z *zone) way { return newOwner(z, 0, false) }}, p))
			}
		}
	}
	return rows
}

// compareBursts compares bounds on the wait when 240 requests arrive at once
// every few seconds, and when the load is too high throughout.
func compareBursts(o Options) (rows []Row) {
	bounds := []struct {
		name    string
		part    float64
		patient bool
	}{
		{"one service time", 1, false},
		{"500 ms", 0, false},
		{"500 ms, one service time in a standing queue", 1, true},
	}
	for _, load := range loads {
		for _, b := range bounds {
			p := base(o)
			p.Load, p.Burst, p.WaitPart, p.Patient = load, burstSize, b.part, b.patient
			rows = append(rows, run(entrant{"wait up to " + b.name, lookupAffinity, func(z *zone) way { return newOwner(z, 0, false) }}, p))
		}
	}
	return rows
}

// burstSize is three times the slots.
const burstSize = 240

// compareHolding varies how long a borrowed slot is kept: the minimum holding
// time that the paper on fractional scheduling uses against thrashing.
func compareHolding(o Options) (rows []Row) {
	for _, load := range loads {
		for _, hold := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			p := base(o)
			p.EntryVM, p.Load, p.Hold = 22, load, hold
			rows = append(rows, run(entrant{"loans kept " + hold.String(), 0, func(z *zone) way { return newLoans(z) }}, p))
		}
	}
	return rows
}

// compareDividing compares dividing anew at fixed times with lending at once.
func compareDividing(o Options) (rows []Row) {
	for _, every := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		p := base(o)
		p.EntryVM, p.Uneven = 22, 0.5
		rows = append(rows, run(entrant{"re-divided every " + every.String(), 0, func(z *zone) way { return newPeriodic(z, every) }}, p))
	}
	p := base(o)
	p.EntryVM, p.Uneven = 22, 0.5
	rows = append(rows, run(entrant{"lent at once", 0, func(z *zone) way { return newLoans(z) }}, p))
	rows = append(rows, run(entrant{"granted by the owner", 0, func(z *zone) way { return newOwner(z, 0, false) }}, p))
	return rows
}

// Faults: what happens in faultWindow after it.
const (
	faultWindow = 5 * time.Second
	// listLag is how long the list of live VMs still names a dead one.
	listLag = 3 * time.Second
)

// compareFaults lets entry VM 0, the owner, die, and lets views differ.
func compareFaults(o Options) (rows []Row) {
	for _, vms := range entryVMs {
		p := base(o)
		p.EntryVM = vms
		for _, e := range entrants() {
			if _, ok := e.make(newZone(p)).(*central); ok {
				continue
			}
			rows = append(rows, dies(e, p))
		}
		slow := p
		slow.AskTimeout = wholeTimeout
		rows = append(rows, dies(entrant{"owner grants, look-up names owner, no probe", lookupAffinity, func(z *zone) way { return newOwner(z, 0, false) }}, slow))
		rows = append(rows, twoOwners(p))
	}
	return rows
}

func dies(e entrant, p Params) Row {
	p.Affinity = e.affinity
	z := newZone(p)
	z.measureFrom = 2 * warmTime
	w := e.make(z)
	z.start(w)
	z.after(2*warmTime, func() { z.dead[0] = true })
	z.after(2*warmTime+listLag, func() {
		if s, ok := w.(interface{ reassign() }); ok {
			s.reassign()
		}
	})
	z.sim.run(2*warmTime + faultWindow)
	return row(e.name+": entry VM dies", z)
}

// twoOwners lets half of the entry VMs take another for the owner, which counts
// the same slots, for as long as the list lags.
func twoOwners(p Params) Row {
	z := newZone(p)
	z.measureFrom = 2 * warmTime
	first := newOwner(z, 0, false)
	z.start(first)
	z.after(2*warmTime, func() {
		first.second = newOwner(z, 1, false)
		first.second.takeOver(-1)
		first.names = func(vm int) bool { return vm%2 == 1 }
	})
	z.after(2*warmTime+listLag, func() { first.second = nil })
	z.sim.run(2*warmTime + faultWindow)
	return row("owner grants: two owners for 3 s", z)
}
