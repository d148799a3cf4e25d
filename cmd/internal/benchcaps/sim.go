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
	// oneWay is the delay of a message between entry VMs.
	oneWay = time.Millisecond
	// patience is how long a request waits for a permit, as in the product.
	patience = 25 * time.Millisecond
	// lendersPerRound and emptyFor are the product's.
	lendersPerRound = 3
	// movesEvery is how often the busy entry VM changes under moving demand.
	movesEvery = 10 * time.Second
	// busyShare is the part of the demand that the busy entry VM gets.
	busyShare = 0.95
)

// epoch is when every simulation begins.
var epoch = time.Unix(0, 0)

// Demand says how requests spread over the entry VMs.
type Demand string

// Kinds of demand.
const (
	Even   Demand = "even"
	Busy   Demand = "one busy VM"
	Moving Demand = "busy VM moves"
)

// shares returns the part of the demand that each entry VM gets at a time.
func (d Demand) shares(vms int, at time.Duration) []float64 {
	shares := make([]float64, vms)
	busy := 0
	if d == Moving {
		busy = int(at/movesEvery) % vms
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

// scene is one setting in which all ways are compared.
type scene struct {
	requests int // the cap
	window   time.Duration
	vms      int
	demand   Demand
	load     float64 // requests offered per window over the cap
	length   time.Duration
	seed     uint64
}

// result counts what one way did.
type result struct {
	offered, admitted, messages int
	starts                      []time.Duration
}

// vm is one entry VM: its books, the requests that wait, and its loan request.
type vm struct {
	name    steering.Incarnation
	holder  *caps.Holder
	waiting []time.Duration // arrival times
	ask     *pendingAsk
	empty   map[int]time.Duration
	turn    int
	round   int
	arrived int // requests since the seats were last divided
	seat    int
}

type pendingAsk struct {
	caps.LoanRequest
	lender   int
	lendAt   time.Duration
	grantAt  time.Duration
	lent     int
	answered bool
}

// simulation runs one way in one scene.
type simulation struct {
	scene
	loans bool
	rng   *rand.Rand
	vms   []*vm
	now   time.Duration
	// redivide is how often the seats are divided anew by demand; 0 never.
	redivide time.Duration
	version  int64
	result
}

// runShares simulates seats, with loans of a term in windows or, for 0, without.
func runShares(s scene, termWindows int) result { return runDivided(s, termWindows, 0) }

// runDivided is runShares with seats that are divided anew by demand.
func runDivided(s scene, termWindows int, redivide time.Duration) result {
	sim := &simulation{scene: s, loans: termWindows > 0, rng: rand.New(rand.NewPCG(s.seed, 1)), redivide: redivide, version: 1}
	rule := caps.Rule{Version: 1, Requests: s.requests, Window: s.window, TermWindows: termWindows}
	for i := range s.vms {
		h := caps.NewHolder(epoch, rule)
		seat := s.requests / s.vms
		if i < s.requests%s.vms {
			seat++
		}
		h.ApplySeats(epoch, 1, seat, s.window, false)
		sim.vms = append(sim.vms, &vm{name: steering.Incarnation(fmt.Sprint(i)), holder: h, seat: seat, empty: map[int]time.Duration{}})
	}
	settled := sim.vms[0].holder.Terms().SeatWait() + time.Second
	for sim.now = settled; sim.now < settled+s.length; sim.now += step {
		sim.tick(sim.now - settled)
	}
	return sim.result
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) tick(elapsed time.Duration) {
	if s.redivide > 0 && elapsed > 0 && elapsed%s.redivide == 0 {
		s.divide()
	}
	arrivals := s.arrivals(s.rng, elapsed)
	for i, v := range s.vms {
		s.exchange(v)
		s.serveWaiting(v)
		for range arrivals[i] {
			s.offered++
			v.arrived++
			v.holder.CountRequest(s.time())
			if !s.serve(v) {
				v.waiting = append(v.waiting, s.now)
				v.round = 0
			}
		}
		if len(v.waiting) > 0 && s.loans {
			s.askFor(i, v)
		}
	}
}

// arrivals draws how many requests reach each entry VM in a step.
func (s scene) arrivals(rng *rand.Rand, elapsed time.Duration) []int {
	perStep := s.load * float64(s.requests) * float64(step) / float64(s.window)
	counts := make([]int, s.vms)
	for i, share := range s.demand.shares(s.vms, elapsed) {
		counts[i] = poisson(rng, perStep*share)
	}
	return counts
}

// poisson draws by inversion; means here are far below one hundred.
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
		if s.now-v.waiting[0] > patience {
			v.waiting = v.waiting[1:]
			continue
		}
		if !s.serve(v) {
			return
		}
		v.waiting = v.waiting[1:]
	}
}

// askFor starts a request for a loan, to a few holders in turn per shortage.
func (s *simulation) askFor(self int, v *vm) {
	if v.ask != nil || v.round >= lendersPerRound {
		return
	}
	for range s.vms {
		v.turn++
		lender := v.turn % len(s.vms)
		if lender == self || s.now < v.empty[lender] {
			continue
		}
		v.round++
		s.messages++
		v.ask = &pendingAsk{
			LoanRequest: v.holder.RequestLoan(s.time(), max(1, v.holder.Shortfall(s.time()))),
			lender:      lender, lendAt: s.now + oneWay, grantAt: s.now + 2*oneWay,
		}
		return
	}
}

// exchange moves the request for a loan on.
func (s *simulation) exchange(v *vm) {
	if v.ask == nil {
		return
	}
	lender := s.vms[v.ask.lender]
	if !v.ask.answered && s.now >= v.ask.lendAt {
		v.ask.answered = true
		v.ask.lent = lender.holder.Lend(s.time(), caps.LoanKey{From: v.name, Nonce: v.ask.Nonce}, 1, v.ask.Permits)
	}
	if s.now < v.ask.grantAt {
		return
	}
	if v.holder.ApplyLoan(s.time(), v.ask.Nonce, v.ask.lent, lender.holder.Terms().Term) == 0 {
		v.empty[v.ask.lender] = s.now + min(s.window/2, time.Second)
	}
	v.ask = nil
}
