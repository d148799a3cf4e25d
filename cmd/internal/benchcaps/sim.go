package benchcaps

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/caps"
)

const (
	// step is the resolution of the simulation.
	step = time.Millisecond
	// oneWayDelay is the delay of a message between entry VMs.
	oneWayDelay = time.Millisecond
	// maxPermitWait is how long a request waits for a permit, as in the product.
	maxPermitWait = 25 * time.Millisecond
	// lendersPerShortage bounds the entry VMs asked for a loan in one shortage, as in
	// the product.
	lendersPerShortage = 3
	// busyMoveInterval is the time after which another entry VM becomes the busy one
	// under moving demand.
	busyMoveInterval = 10 * time.Second
	// busyShare is the fraction of the demand that reaches the busy entry VM.
	busyShare = 0.95
)

// epoch is the start time of every simulation.
var epoch = time.Unix(0, 0)

// Demand is a distribution of requests over the entry VMs.
type Demand string

// Even gives every entry VM the same demand, Busy gives one of them busyShare of it, and
// Moving does the same but moves on to another entry VM every busyMoveInterval.
const (
	Even   Demand = "even"
	Busy   Demand = "one busy VM"
	Moving Demand = "busy VM moves"
)

// shares returns the fraction of the demand that each entry VM gets at a time.
func (d Demand) shares(vms int, at time.Duration) []float64 {
	shares := make([]float64, vms)
	busy := 0
	if d == Moving {
		busy = int(at/busyMoveInterval) % vms
	}
	for i := range shares {
		switch {
		case d == Even || vms == 1:
			shares[i] = 1 / float64(vms)
		case i == busy:
			shares[i] = busyShare
		default:
			shares[i] = (1 - busyShare) / float64(vms-1)
		}
	}
	return shares
}

// scenario is a set of parameters under which all schemes are compared.
type scenario struct {
	requests int // the cap
	window   time.Duration
	vms      int
	demand   Demand
	load     float64 // requests offered per window, divided by the cap
	length   time.Duration
	seed     uint64
}

// result is the outcome of one scheme in one scenario; starts are the times at which
// requests started.
type result struct {
	offered, admitted, messages int
	starts                      []time.Duration
}

// vm is one entry VM: its permits, its waiting requests and its pending loan request.
type vm struct {
	name         steering.Incarnation
	holder       *caps.Holder
	waiting      []time.Duration // arrival times
	loan         *pendingLoan
	skipUntil    map[int]time.Duration // by index of the lender
	lenderTurn   int                   // number of lenders tried; modulo the VMs, the index of the last one
	lendersAsked int                   // in the present shortage
	arrived      int                   // requests since the seats were last divided
	seat         int
}

// pendingLoan is a loan request in transit: it reaches the lender at arriveAt, and the reply
// with the number of permits lent reaches the borrower at replyAt.
type pendingLoan struct {
	caps.LoanRequest
	lender   int
	arriveAt time.Duration
	replyAt  time.Duration
	lent     int
	answered bool
}

// simulation runs one scheme in one scenario.
type simulation struct {
	scenario
	loans bool
	rng   *rand.Rand
	vms   []*vm
	now   time.Duration
	// redivideInterval is the time between two divisions of the seats by demand; 0 means never.
	redivideInterval time.Duration
	version          int64
	result
}

// runSeats simulates equal seats, with loans for a term in windows, or without loans for
// a term of 0.
func runSeats(s scenario, termWindows int) result { return runRedividedSeats(s, termWindows, 0) }

// runRedividedSeats is like runSeats with seats that are divided by demand at an interval.
func runRedividedSeats(s scenario, termWindows int, redivideInterval time.Duration) result {
	sim := &simulation{scenario: s, loans: termWindows > 0, rng: rand.New(rand.NewPCG(s.seed, 1)), redivideInterval: redivideInterval, version: 1}
	rule := caps.Rule{Version: 1, Requests: s.requests, Window: s.window, TermWindows: termWindows}
	for i := range s.vms {
		h := caps.NewHolder(epoch, rule)
		seat := s.requests / s.vms
		if i < s.requests%s.vms {
			seat++
		}
		h.ApplySeats(epoch, 1, seat, s.window, false)
		sim.vms = append(sim.vms, &vm{name: steering.Incarnation(fmt.Sprint(i)), holder: h, seat: seat, skipUntil: map[int]time.Duration{}})
	}
	warmup := sim.vms[0].holder.Terms().SeatWait() + time.Second
	for sim.now = warmup; sim.now < warmup+s.length; sim.now += step {
		sim.tick(sim.now - warmup)
	}
	return sim.result
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) tick(elapsed time.Duration) {
	if s.redivideInterval > 0 && elapsed > 0 && elapsed%s.redivideInterval == 0 {
		s.redivideSeats()
	}
	arrivals := s.arrivals(s.rng, elapsed)
	for i, v := range s.vms {
		s.advanceLoan(v)
		s.serveWaiting(v)
		for range arrivals[i] {
			s.offered++
			v.arrived++
			v.holder.CountRequest(s.time())
			if !s.serve(v) {
				v.waiting = append(v.waiting, s.now)
				v.lendersAsked = 0
			}
		}
		if len(v.waiting) > 0 && s.loans {
			s.requestLoan(i, v)
		}
	}
}

// arrivals draws the number of requests that reach each entry VM in a step.
func (s scenario) arrivals(rng *rand.Rand, elapsed time.Duration) []int {
	perStep := s.load * float64(s.requests) * float64(step) / float64(s.window)
	counts := make([]int, s.vms)
	for i, share := range s.demand.shares(s.vms, elapsed) {
		counts[i] = poisson(rng, perStep*share)
	}
	return counts
}

// poisson draws from a Poisson distribution by multiplying uniform draws until the product
// falls below exp(-mean), which is usable because the means here are far below 100.
func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		p *= rng.Float64()
		n++
	}
	return n
}

func (s *simulation) serve(v *vm) bool {
	permit, ok := v.holder.Take(s.time())
	if !ok {
		return false
	}
	v.holder.Done(s.time(), permit, true)
	s.admitted++
	s.starts = append(s.starts, s.now)
	return true
}

func (s *simulation) serveWaiting(v *vm) {
	for len(v.waiting) > 0 {
		if s.now-v.waiting[0] > maxPermitWait {
			v.waiting = v.waiting[1:]
			continue
		}
		if !s.serve(v) {
			return
		}
		v.waiting = v.waiting[1:]
	}
}

// requestLoan sends a request for a loan to the next entry VM, unless one is pending or
// lendersPerShortage of them were asked in this shortage.
func (s *simulation) requestLoan(self int, v *vm) {
	if v.loan != nil || v.lendersAsked >= lendersPerShortage {
		return
	}
	for range s.vms {
		v.lenderTurn++
		lender := v.lenderTurn % len(s.vms)
		if lender == self || s.now < v.skipUntil[lender] {
			continue
		}
		v.lendersAsked++
		s.messages++
		v.loan = &pendingLoan{
			LoanRequest: v.holder.RequestLoan(s.time(), max(1, v.holder.Shortfall(s.time()))),
			lender:      lender, arriveAt: s.now + oneWayDelay, replyAt: s.now + 2*oneWayDelay,
		}
		return
	}
}

// advanceLoan delivers the pending loan request to the lender, or the reply to the borrower,
// when it is due. A lender that granted nothing is skipped for half a window, at most 1 s,
// as in the product.
func (s *simulation) advanceLoan(v *vm) {
	if v.loan == nil {
		return
	}
	lender := s.vms[v.loan.lender]
	if !v.loan.answered && s.now >= v.loan.arriveAt {
		v.loan.answered = true
		v.loan.lent = lender.holder.Lend(s.time(), caps.LoanKey{From: v.name, Nonce: v.loan.Nonce}, 1, v.loan.Permits)
	}
	if s.now < v.loan.replyAt {
		return
	}
	if v.holder.ApplyLoan(s.time(), v.loan.Nonce, v.loan.lent, lender.holder.Terms().Term) == 0 {
		v.skipUntil[v.loan.lender] = s.now + min(s.window/2, time.Second)
	}
	v.loan = nil
}
