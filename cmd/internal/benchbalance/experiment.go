package benchbalance

import (
	"fmt"
	"time"

	"heatherlock/steering/pool"
)

// Row holds the results of one run.
type Row struct {
	Way     string  `json:"way"`
	EntryVM int     `json:"entry_vms"`
	Load    float64 `json:"load"`
	// The shares and latencies are those of the requests that arrived in the measured time.
	AnsweredPercent float64 `json:"answered_percent"`
	RefusedPercent  float64 `json:"refused_percent"`
	LostPercent     float64 `json:"lost_percent"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
	// OverSlots is the number of attempts at a target without a free slot, per 1,000 requests.
	OverSlots float64 `json:"over_slots_per_1000"`
	// IdlePercent is the share of all slot time in which a slot was idle while a request waited.
	IdlePercent float64 `json:"idle_while_waiting_percent"`
	// Messages is the number of messages between entry VMs per request.
	Messages float64 `json:"messages_per_request"`
	// BusiestPercent is the share of requests that arrived at the busiest entry VM.
	BusiestPercent float64 `json:"busiest_vm_percent"`
}

func newRow(name string, z *zone) Row {
	z.accountIdleTime()
	t := &z.results
	sorted := t.sorted()
	ended := max(1, t.answered+t.refused+t.lost)
	busiest := 0
	for _, n := range t.arrivedAtVM {
		busiest = max(busiest, n)
	}
	return Row{
		Way: name, EntryVM: z.EntryVM, Load: z.Load,
		AnsweredPercent: percent(t.answered, ended),
		RefusedPercent:  percent(t.refused, ended),
		LostPercent:     percent(t.lost, ended),
		P50Ms:           ms(percentile(sorted, 0.50)),
		P99Ms:           ms(percentile(sorted, 0.99)),
		OverSlots:       1000 * float64(t.fullTargetAttempts) / float64(max(1, t.arrived)),
		IdlePercent:     100 * t.idleTime / max(1e-9, t.slotTime),
		Messages:        float64(t.messages) / float64(max(1, t.arrived)),
		BusiestPercent:  percent(busiest, t.arrived),
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// strategySpec names a strategy and makes it for a zone.
type strategySpec struct {
	name          string
	ownerAffinity float64
	make          func(*zone) strategy
}

// lookupAffinity is the share of requests that arrive at the owner when look-up answers list it first.
// The other callers still use older answers.
const lookupAffinity = 0.9

const redivideInterval = 100 * time.Millisecond

// strategySpecs returns all strategies compared, the ideal one first.
func strategySpecs() []strategySpec {
	return []strategySpec{
		{"central count, no delay (ideal)", 0, func(z *zone) strategy { return &centralPool{z, newLocalPool(z, z.allSlots)} }},
		{"random target", 0, func(z *zone) strategy { return &randomTarget{z} }},
		{"optimistic, targets shed", 0, func(z *zone) strategy { return newOptimistic(z) }},
		{"static shares", 0, func(z *zone) strategy { return newStaticShares(z) }},
		{"shares with loans", 0, func(z *zone) strategy { return newSlotLoans(z) }},
		{"shares re-divided every 100 ms", 0, func(z *zone) strategy { return newPeriodicShares(z, redivideInterval) }},
		{"owner, whole request handed over", 0, func(z *zone) strategy { return newOwnerStrategy(z, 0, true) }},
		{"owner grants", 0, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }},
		{"owner grants, look-up names owner", lookupAffinity, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }},
	}
}

// run simulates one strategy and returns its results.
func run(e strategySpec, p Params) Row {
	p.OwnerAffinity = e.ownerAffinity
	z := newZone(p)
	z.start(e.make(z))
	z.sim.run(warmUpTime + p.For)
	return newRow(e.name, z)
}

// Times after which an owner that doesn't answer is replaced. unprobedTimeout is the limit on its
// whole answer; probedTimeout applies if an entry VM probes an owner whose answer is slow.
const (
	unprobedTimeout = 800 * time.Millisecond
	probedTimeout   = 300 * time.Millisecond
)

// baseParams returns the parameters that all experiments start from, those of the schedule service in
// one zone.
func baseParams(o Options) Params {
	return Params{
		Seed: o.Seed, Targets: 20, Slots: 4, EntryVM: 2, Load: 0.85, For: o.For,
		OneWay: 200 * time.Microsecond, Deadline: 2 * time.Second,
		MaxWait: 500 * time.Millisecond, Queue: 4, OwnerTimeout: probedTimeout,
	}
}

var (
	entryVMCounts = []int{2, 22}
	loads         = []float64{0.60, 0.85, 1.10}
)

func compareStrategies(o Options) (rows []Row) {
	for _, vms := range entryVMCounts {
		for _, load := range loads {
			for _, e := range strategySpecs() {
				p := baseParams(o)
				p.EntryVM, p.Load = vms, load
				rows = append(rows, run(e, p))
			}
		}
	}
	return rows
}

// compareUneven repeats the middle load with half of all requests at one entry VM. It shows how
// strategies that divide the slots beforehand handle uneven arrivals.
func compareUneven(o Options) (rows []Row) {
	for _, e := range strategySpecs() {
		p := baseParams(o)
		p.EntryVM, p.FirstVMShare = 22, 0.5
		rows = append(rows, run(e, p))
	}
	return rows
}

// compareChoice compares the pool's rules to choose among targets with a free slot, with equal targets
// and with a fifth of the targets taking twice as long.
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
				p := baseParams(o)
				p.Choice, p.Load, p.SlowTargets = c.choice, load, slow
				name := c.name
				if slow > 0 {
					name += ", 20 % of targets slow"
				}
				rows = append(rows, run(strategySpec{name, lookupAffinity, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }}, p))
			}
		}
	}
	return rows
}

// compareWaits varies the maximum wait in one zone alone, as a multiple of the mean service time, for
// pools of three sizes.
func compareWaits(o Options) (rows []Row) {
	for _, size := range []struct{ targets, slots int }{{20, 4}, {12, 3}, {3, 4}} {
		for _, load := range loads {
			for _, part := range []float64{0, 0.25, 0.5, 1, 2, 5} {
				p := baseParams(o)
				p.Targets, p.Slots, p.Load = size.targets, size.slots, load
				p.MaxWait = time.Duration(part * float64(meanServiceTime))
				if part == 0 {
					p.Queue = -1
				}
				name := fmt.Sprintf("%d slots, wait up to %.2f of the service time", size.targets*size.slots, part)
				rows = append(rows, run(strategySpec{name, lookupAffinity, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }}, p))
			}
		}
	}
	return rows
}

// compareBursts compares limits on the wait when burstSize requests arrive at once every few seconds, at
// loads up to one that exceeds capacity throughout.
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
			p := baseParams(o)
			p.Load, p.BurstSize, p.WaitPart, p.Patient = load, burstSize, b.part, b.patient
			rows = append(rows, run(strategySpec{"wait up to " + b.name, lookupAffinity, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }}, p))
		}
	}
	return rows
}

// burstSize is three times the number of slots in baseParams.
const burstSize = 240

// compareLoanHold varies how long a borrowed slot is kept. It is the minimum holding time that the paper
// on fractional scheduling uses to avoid thrashing.
func compareLoanHold(o Options) (rows []Row) {
	for _, load := range loads {
		for _, hold := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			p := baseParams(o)
			p.EntryVM, p.Load, p.LoanHold = 22, load, hold
			rows = append(rows, run(strategySpec{"loans kept " + hold.String(), 0, func(z *zone) strategy { return newSlotLoans(z) }}, p))
		}
	}
	return rows
}

// compareDivision compares redividing the slots at a fixed interval with strategies that lend or grant
// single slots on demand.
func compareDivision(o Options) (rows []Row) {
	for _, every := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		p := baseParams(o)
		p.EntryVM, p.FirstVMShare = 22, 0.5
		rows = append(rows, run(strategySpec{"re-divided every " + every.String(), 0, func(z *zone) strategy { return newPeriodicShares(z, every) }}, p))
	}
	p := baseParams(o)
	p.EntryVM, p.FirstVMShare = 22, 0.5
	rows = append(rows, run(strategySpec{"lent at once", 0, func(z *zone) strategy { return newSlotLoans(z) }}, p))
	rows = append(rows, run(strategySpec{"granted by the owner", 0, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }}, p))
	return rows
}

// Times of the fault experiments, whose results cover faultWindow after the fault.
const (
	faultWindow = 5 * time.Second
	// memberListDelay is how long the list of live VMs still contains a crashed one.
	memberListDelay = 3 * time.Second
)

// compareFaults simulates a crash of entry VM 0, which is the owner, and member lists that disagree
// about the owner.
func compareFaults(o Options) (rows []Row) {
	for _, vms := range entryVMCounts {
		p := baseParams(o)
		p.EntryVM = vms
		for _, e := range strategySpecs() {
			if _, ok := e.make(newZone(p)).(*centralPool); ok {
				continue
			}
			rows = append(rows, runCrash(e, p))
		}
		slow := p
		slow.OwnerTimeout = unprobedTimeout
		rows = append(rows, runCrash(strategySpec{"owner grants, look-up names owner, no probe", lookupAffinity, func(z *zone) strategy { return newOwnerStrategy(z, 0, false) }}, slow))
		rows = append(rows, runTwoOwners(p))
	}
	return rows
}

// runCrash simulates a strategy in which entry VM 0 crashes. A strategy with a reassign method gets it
// called once the member list shows the crash.
func runCrash(e strategySpec, p Params) Row {
	p.OwnerAffinity = e.ownerAffinity
	z := newZone(p)
	z.measureFrom = 2 * warmUpTime
	w := e.make(z)
	z.start(w)
	z.after(2*warmUpTime, func() { z.crashed[0] = true })
	z.after(2*warmUpTime+memberListDelay, func() {
		if s, ok := w.(interface{ reassign() }); ok {
			s.reassign()
		}
	})
	z.sim.run(2*warmUpTime + faultWindow)
	return newRow(e.name+": entry VM dies", z)
}

// runTwoOwners simulates half of the entry VMs using a second owner, which counts the same slots, until
// the member lists agree again.
func runTwoOwners(p Params) Row {
	z := newZone(p)
	z.measureFrom = 2 * warmUpTime
	first := newOwnerStrategy(z, 0, false)
	z.start(first)
	z.after(2*warmUpTime, func() {
		first.secondOwner = newOwnerStrategy(z, 1, false)
		first.secondOwner.takeOver(-1)
		first.usesSecondOwner = func(vm int) bool { return vm%2 == 1 }
	})
	z.after(2*warmUpTime+memberListDelay, func() { first.secondOwner = nil })
	z.sim.run(2*warmUpTime + faultWindow)
	return newRow("owner grants: two owners for 3 s", z)
}
