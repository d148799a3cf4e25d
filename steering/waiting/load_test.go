package waiting_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/waiting"
)

// The simulation has a few entry VMs and 6 targets of 3 slots with a queue of 9. An urgent route runs 270 ms
// within an objective of 500 ms, a patient one 820 ms within 4 s; three requests in four are patient.
const (
	simTargets, simSlots, simQueue = 6, 3, 9
	simTick                        = 5 * time.Millisecond
	simService                     = steering.Service("clips")
)

type simRoute struct {
	name               string
	run, aim, deadline time.Duration
	rank               int
}

var (
	urgent  = &simRoute{"urgent", 270 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 0}
	patient = &simRoute{"patient", 820 * time.Millisecond, 4 * time.Second, 6 * time.Second, 2}
)

// simRequest is a caller's request.
type simRequest struct {
	route   *simRoute
	key     string
	vm      int
	began   time.Time // of the caller's first attempt
	arrived time.Time // of this attempt
	again   bool
	entry   waiting.Entry
	pick    placement.Pick
	sent    time.Time
	ends    time.Time // of the run
}

// simTally counts what the callers of a route got. heldRefused counts those that were refused after waiting.
type simTally struct{ requests, inTime, late, refused, heldRefused int }

func (t *simTally) share() float64 { return t.of(t.inTime) }

func (t *simTally) of(n int) float64 { return float64(n) / float64(t.requests) }

type simVM struct {
	balancer *placement.Balancer
	queue    *waiting.Queue
	held     map[uint64]*simRequest
}

type simTarget struct{ running, waiting []*simRequest }

type sim struct {
	random  *rand.Rand
	now     time.Time
	hold    bool // whether requests wait in entry VMs, and the wait at targets is bounded
	vms     []*simVM
	targets []*simTarget
	byName  map[steering.Target]int
	tallies map[*simRoute]*simTally
	retries map[int64][]*simRequest // by the tick
	lastID  uint64
	perSec  float64
}

// newSim returns a simulation with a number of entry VMs and a load that is a multiple of what the targets can run.
func newSim(seed uint64, vms int, load float64, hold bool) *sim {
	mean := (urgent.run + 3*patient.run).Seconds() / 4
	p := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), hold: hold, byName: make(map[steering.Target]int),
		retries: make(map[int64][]*simRequest), perSec: load * simTargets * simSlots / mean}
	var targets []placement.Target
	for n := range simTargets {
		name := steering.Target(fmt.Sprint("target-", n))
		targets = append(targets, placement.Target{Name: name, Service: simService, Region: "norte", Zone: "a", Slots: simSlots})
		p.targets, p.byName[name] = append(p.targets, &simTarget{}), n
	}
	for n := range vms {
		b := placement.NewBalancer(steering.VM(fmt.Sprint("vm-", n)), "norte")
		b.SetOwned(func(placement.Target) bool { return true })
		b.SetTargets(targets)
		p.vms = append(p.vms, &simVM{b, waiting.NewQueue(waiting.Limits{Entries: 500, Bytes: 8 << 20}), make(map[uint64]*simRequest)})
	}
	return p
}

func (p *sim) run(d time.Duration) map[*simRoute]*simTally {
	p.tallies = map[*simRoute]*simTally{urgent: {}, patient: {}}
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(simTick) {
		for arriving := p.perSec * simTick.Seconds(); arriving > p.random.Float64(); arriving-- {
			route := patient
			if p.random.IntN(4) == 0 {
				route = urgent
			}
			p.tallies[route].requests++
			p.arrive(&simRequest{route: route, key: fmt.Sprint("key-", p.random.IntN(40)), began: p.now})
		}
		due := p.retries[p.now.UnixNano()/int64(simTick)]
		delete(p.retries, p.now.UnixNano()/int64(simTick))
		for _, r := range due {
			p.arrive(r)
		}
		for n := range p.targets {
			p.serve(n)
		}
		for n := range p.vms {
			p.dispatch(p.vms[n])
		}
	}
	return p.tallies
}

// arrive lets a request arrive at a random entry VM.
func (p *sim) arrive(r *simRequest) {
	r.vm, r.arrived = p.random.IntN(len(p.vms)), p.now
	p.lastID++
	r.entry = waiting.Entry{ID: p.lastID, Service: simService, Rank: r.route.rank, Arrived: p.now, Returned: r.again, Bytes: 1000}
	if refusal := p.place(r); refusal != nil {
		p.offer(r, refusal, false)
	}
}

// place sends a request to its target, or returns why there is no room.
func (p *sim) place(r *simRequest) *placement.Refusal {
	q := placement.Request{Service: simService, Workspace: true, Key: r.key, ID: fmt.Sprint(r.entry.ID), Route: r.route.name, RouteAim: r.route.aim, RouteRank: r.route.rank,
		Region: "norte", Rank: r.route.rank, TimeLeft: r.began.Add(r.route.deadline).Sub(p.now), Retryable: true,
		Aim: max(r.arrived.Add(r.route.aim).Sub(p.now), time.Millisecond)}
	if !p.hold {
		q.MaxQueue = placement.NoQueueBound
	}
	b := p.vms[r.vm].balancer
	pick, refusal := b.Choose(p.now, q)
	if refusal != nil {
		return refusal
	}
	b.RequestPlaced(p.now, pick.Target, r.key, pick.Trial)
	r.pick, r.sent = pick, p.now
	s := p.targets[p.byName[pick.Target.Name]]
	if len(s.waiting) >= simQueue {
		p.reply(r, s, placement.Shed)
		p.end(r, refusalAfterShed)
		return nil
	}
	s.waiting = append(s.waiting, r)
	return nil
}

const refusalAfterShed = 200 * time.Millisecond

func (p *sim) reply(r *simRequest, s *simTarget, o placement.Outcome) {
	p.vms[r.vm].balancer.RequestEnded(p.now, r.pick.Target, placement.Report{Outcome: o, Latency: p.now.Sub(r.sent), LoadKnown: true,
		Running: len(s.running), Waiting: len(s.waiting), Route: r.route.name, Key: r.key}, r.pick.Trial, r.pick.Wait > 0)
	p.vms[r.vm].queue.Room(p.now, simService, r.pick.Target.Name)
}

// offer lets a refused request wait in its entry VM, or refuses it for its caller.
func (p *sim) offer(r *simRequest, refusal *placement.Refusal, waited bool) {
	v, e, retryAfter := p.vms[r.vm], &r.entry, refusal.RetryAfter
	if p.hold && refusal.Room.Target != "" {
		e.Target, e.RoomAt, e.Interval = refusal.Room.Target, p.now.Add(refusal.Room.In), refusal.Room.Interval
		e.LatestStart = r.began.Add(r.route.aim - refusal.Room.Run)
		if e.Late = !e.LatestStart.After(p.now); e.Late {
			e.LatestStart = r.began.Add(r.route.deadline - refusal.Room.Run)
		}
		held := false
		if held, retryAfter = v.queue.Offer(p.now, *e); held {
			v.held[e.ID] = r
			return
		}
	}
	v.queue.Remove(e.ID)
	delete(v.held, e.ID)
	if waited {
		p.tallies[r.route].heldRefused++
	}
	p.end(r, retryAfter)
}

// end refuses a request. Its caller retries once, after Retry-After but no more than a third of the time left.
func (p *sim) end(r *simRequest, retryAfter time.Duration) {
	left := r.began.Add(r.route.deadline).Sub(p.now)
	if r.again || left < r.route.run {
		p.tallies[r.route].refused++
		return
	}
	at := p.now.Add(max(min(retryAfter, left/3), simTick)).UnixNano() / int64(simTick)
	p.retries[at] = append(p.retries[at], &simRequest{route: r.route, key: r.key, began: r.began, again: true})
}

// dispatch places waiting requests again.
func (p *sim) dispatch(v *simVM) {
	for _, e := range v.queue.Expired(p.now) {
		r := v.held[e.ID]
		r.entry = e
		p.again(v, r)
	}
	for e, ok := v.queue.Next(p.now, simService); ok; e, ok = v.queue.Next(p.now, simService) {
		p.again(v, v.held[e.ID])
	}
}

func (p *sim) again(v *simVM, r *simRequest) {
	if refusal := p.place(r); refusal != nil {
		p.offer(r, refusal, true)
		return
	}
	v.queue.Started(p.now, r.entry.ID)
	delete(v.held, r.entry.ID)
}

// serve ends and starts the runs of a target.
func (p *sim) serve(n int) {
	s := p.targets[n]
	var ended, running []*simRequest
	for _, r := range s.running {
		if r.ends.After(p.now) {
			running = append(running, r)
		} else {
			ended = append(ended, r)
		}
	}
	s.running = running
	for len(s.running) < simSlots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting, s.running = s.waiting[1:], append(s.running, r)
		r.ends = p.now.Add(time.Duration((0.8 + 0.4*p.random.Float64()) * float64(r.route.run)))
	}
	for _, r := range ended {
		p.reply(r, s, placement.Served)
		if tally := p.tallies[r.route]; p.now.Sub(r.began) <= r.route.aim {
			tally.inTime++
		} else {
			tally.late++
		}
	}
}

// Guards against urgent requests that are late or refused behind patient ones in the queues of targets.
// Without holding, about one urgent caller in five is in time at 1.2 times the load that the targets can run.
// The gain shrinks with the number of entry VMs, since each sees a smaller part of the load of a target.
func TestUrgentCallersGainAndPatientOnesHardlyLose(t *testing.T) {
	for _, c := range []struct {
		vms        int
		load       float64
		gain, loss float64 // of the share in time, of urgent and of patient callers
	}{{1, 1.2, 0.25, 0.06}, {1, 2, 0.3, 0.06}, {1, 3, 0.3, 0.12}, {3, 1.2, 0.1, 0.06}, {12, 1.2, 0.04, 0.1}, {40, 1.2, -0.05, 0.05}} {
		share := func(hold bool) (urgentShare, patientShare float64) {
			var sum [2]simTally
			for seed := range uint64(4) {
				p := newSim(seed, c.vms, c.load, hold)
				p.run(5 * time.Second)
				got := p.run(30 * time.Second)
				for n, r := range []*simRoute{urgent, patient} {
					sum[n].requests += got[r].requests
					sum[n].inTime += got[r].inTime
					sum[n].late += got[r].late
					sum[n].heldRefused += got[r].heldRefused
				}
			}
			t.Logf("%d VMs, load %.1f, hold %5v: in time %.3f %.3f, late %.3f %.3f, refused after waiting %.3f %.3f", c.vms, c.load, hold, sum[0].share(), sum[1].share(),
				sum[0].of(sum[0].late), sum[1].of(sum[1].late), sum[0].of(sum[0].heldRefused), sum[1].of(sum[1].heldRefused))
			return sum[0].share(), sum[1].share()
		}
		urgentBefore, patientBefore := share(false)
		urgentAfter, patientAfter := share(true)
		assert.Check(t, urgentAfter >= urgentBefore+c.gain && patientAfter >= patientBefore-c.loss, "%+v: urgent %.3f, was %.3f; patient %.3f, was %.3f",
			c, urgentAfter, urgentBefore, patientAfter, patientBefore)
	}
}
