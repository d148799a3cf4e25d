package allowance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// fleet plays a fleet of entry VMs with workspaces in simulated time. What a request asks is
// decided by the real Accounts and Ledgers; messages take the ways of a deployment.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	began  time.Time
	events events
	vms    []*simVM
	spaces []*simSpace
	slack  allowance.Slack

	messages, bytes int
	lossy           float64

	// other, when set, decides in place of accounts and ledgers.
	other way
}

// way is another way to decide, for comparison.
type way interface {
	admit(f *fleet, vm int, s *simSpace) bool
}

const (
	simZones   = 6
	simRegions = 3
	// noticeAfter is how long a fleet takes to notice that a VM is gone.
	noticeAfter = 1400 * time.Millisecond
	// reportBytes and replyBytes are what one takes alone in a datagram.
	reportBytes = 45
	replyBytes  = 32
)

type simVM struct {
	name        steering.VM
	zone        int
	up          bool
	paused      bool
	island      int // VMs of another island are not reached
	upSince     time.Time
	incarnation uint32
	ledger      *allowance.Ledger
	accounts    map[*simSpace]*simAccount
	// heard is when each other VM was last within reach, by index.
	live    []allowance.Candidate
	members int
}

type simAccount struct {
	*allowance.Account
	waiting []func(allowance.Verdict)
}

type simSpace struct {
	id      allowance.ID
	limit   allowance.Limit
	demand  float64 // requests per second
	callers []int   // VMs that its callers use
	runs    []time.Duration
	asked   int
	refused int
	// below counts refusals of requests that one bucket for all would have let run.
	below     int
	reference bucketReference
}

// bucketReference is one token bucket that sees all requests at once.
type bucketReference struct {
	tokens float64
	at     time.Time
}

func (b *bucketReference) admit(now time.Time, l allowance.Limit) bool {
	b.tokens = math.Min(l.Burst, b.tokens+now.Sub(b.at).Seconds()*l.Rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events struct {
	all []event
	seq int
}

func (e *events) Len() int { return len(e.all) }
func (e *events) Less(i, j int) bool {
	if e.all[i].at.Equal(e.all[j].at) {
		return e.all[i].seq < e.all[j].seq
	}
	return e.all[i].at.Before(e.all[j].at)
}
func (e *events) Swap(i, j int) { e.all[i], e.all[j] = e.all[j], e.all[i] }
func (e *events) Push(x any)    { e.all = append(e.all, x.(event)) }
func (e *events) Pop() any {
	last := e.all[len(e.all)-1]
	e.all = e.all[:len(e.all)-1]
	return last
}

// newFleet returns a running fleet whose VMs hear each other. Demand is spread over the
// workspaces by rank, and over a few VMs for each of its callers.
func newFleet(seed uint64, vms, spaces int, total float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), began: time.Unix(1000, 0),
		slack: allowance.Slack{Window: 5 * time.Second, Share: 0.1, Requests: 20}}
	for i := range vms {
		f.vms = append(f.vms, &simVM{name: steering.VM(fmt.Sprint("vm-", i)), zone: i % simZones, up: true, upSince: f.now})
	}
	for _, vm := range f.vms {
		f.reset(vm)
	}
	weights := 0.0
	for n := range spaces {
		weights += 1 / float64(n+1)
	}
	for n := range spaces {
		demand := total / float64(n+1) / weights
		s := &simSpace{id: allowance.IDOf(steering.Workspace(fmt.Sprint("w", n))), demand: demand, limit: allowance.Limit{Rate: 1.6 * demand, Burst: math.Max(1, 1.6*demand)}}
		s.reference = bucketReference{tokens: s.limit.Burst, at: f.now}
		for range max(2, int(demand)) {
			s.callers = append(s.callers, f.rng.IntN(vms))
		}
		f.spaces = append(f.spaces, s)
	}
	f.look()
	f.tick()
	return f
}

func (f *fleet) reset(vm *simVM) {
	vm.incarnation++
	vm.ledger = allowance.NewLedger(f.slack)
	vm.accounts = make(map[*simSpace]*simAccount)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.events.seq, do})
}

// run plays for a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.events.Len() > 0 && !f.events.all[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// look tells each VM which others it hears.
func (f *fleet) look() {
	for _, vm := range f.vms {
		vm.live = vm.live[:0]
		for _, other := range f.vms {
			if other.up && other.island == vm.island {
				vm.live = append(vm.live, allowance.Candidate{VM: other.name, Hash: allowance.HashOf(other.name), Weight: 1})
			}
		}
		vm.members = len(f.vms)
		vm.ledger.SetPart(f.now, float64(max(1, len(vm.live)))/float64(vm.members))
		for _, a := range vm.accounts {
			a.NewOwner()
		}
	}
}

// tick reports what is due on all VMs.
func (f *fleet) tick() {
	for i, vm := range f.vms {
		if !vm.up || vm.paused {
			continue
		}
		for _, s := range f.spaces {
			if a := vm.accounts[s]; a != nil {
				f.report(i, s, a)
			}
		}
	}
	f.after(100*time.Millisecond, f.tick)
}

func (f *fleet) report(i int, s *simSpace, a *simAccount) {
	vm := f.vms[i]
	if !a.Due(f.now) {
		return
	}
	r := a.Report(f.now)
	r.Workspace = s.id
	owner, ok := allowance.OwnerOf(s.id, vm.live)
	if !ok {
		return
	}
	j := slices.IndexFunc(f.vms, func(o *simVM) bool { return o.name == owner })
	incarnation := vm.incarnation
	f.send(i, j, reportBytes, func() {
		o := f.vms[j]
		reply, news, ok := o.ledger.Report(f.now, vm.name, incarnation, s.limit, r)
		if !ok {
			return
		}
		if news {
			f.tellTight(j, s)
		}
		f.send(j, i, replyBytes, func() {
			if vm.incarnation != incarnation || vm.accounts[s] != a {
				return
			}
			a.Replied(f.now, reply)
			waiting := a.waiting
			a.waiting = nil
			for _, w := range waiting {
				w(a.Admit(f.now))
			}
		})
	})
}

// tellTight tells all VMs in reach that a bucket is low, as heartbeats do.
func (f *fleet) tellTight(j int, s *simSpace) {
	until := f.now.Add(allowance.TightFor)
	for i, vm := range f.vms {
		f.send(j, i, 12, func() {
			if vm.accounts[s] == nil {
				vm.accounts[s] = &simAccount{Account: allowance.NewAccount(f.now, s.limit, vm.members)}
			}
			vm.accounts[s].Tight(until)
		})
	}
}

// send delivers a message, unless it is lost on its way.
func (f *fleet) send(from, to, bytes int, do func()) {
	a, b := f.vms[from], f.vms[to]
	delay := 200 * time.Microsecond
	switch {
	case from == to:
		do()
		return
	case a.zone%simRegions != b.zone%simRegions:
		delay = 20 * time.Millisecond
	case a.zone != b.zone:
		delay = 1500 * time.Microsecond
	}
	f.messages++
	f.bytes += bytes
	if !b.up || a.island != b.island || f.rng.Float64() < f.lossy {
		return
	}
	f.after(delay, func() {
		if b.up && !b.paused {
			do()
		}
	})
}

// drive lets a workspace's callers ask until a time.
func (f *fleet) drive(s *simSpace, until time.Time) {
	if s.demand <= 0 || !f.now.Before(until) {
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/s.demand*float64(time.Second)), func() {
		if f.now.Before(until) {
			f.ask(s)
		}
		f.drive(s, until)
	})
}

// driveAll lets all callers ask for a time, and plays it.
func (f *fleet) driveAll(d time.Duration) {
	until := f.now.Add(d)
	for _, s := range f.spaces {
		f.drive(s, until)
	}
	f.run(d)
}

// ask lets one request arrive.
func (f *fleet) ask(s *simSpace) {
	i := s.callers[f.rng.IntN(len(s.callers))]
	for tries := 0; !f.vms[i].up || f.vms[i].paused; tries++ {
		if tries > 20 {
			return // its caller finds no VM
		}
		i = f.rng.IntN(len(f.vms))
	}
	vm := f.vms[i]
	s.asked++
	owed := s.reference.admit(f.now, s.limit)
	if f.other != nil {
		f.settle(s, owed, f.other.admit(f, i, s))
		return
	}
	a := vm.accounts[s]
	if a == nil {
		a = &simAccount{Account: allowance.NewAccount(f.now, s.limit, vm.members)}
		vm.accounts[s] = a
	}
	a.Arrived(f.now)
	verdict := a.Admit(f.now)
	if verdict != allowance.Ask {
		f.settle(s, owed, verdict == allowance.Admitted)
		return
	}
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			a.Waited()
			f.settle(s, owed, ok)
		}
	}
	a.Wait()
	var again func(allowance.Verdict)
	again = func(v allowance.Verdict) {
		switch {
		case done:
		case v == allowance.Ask:
			a.waiting = append(a.waiting, again)
		default:
			finish(v == allowance.Admitted)
		}
	}
	a.waiting = append(a.waiting, again)
	limit := allowance.AskFor
	if a.Silent(f.now) {
		limit = 0
	}
	f.report(i, s, a)
	f.after(limit, func() {
		if !done {
			finish(a.Alone(f.now))
		}
	})
}

func (f *fleet) settle(s *simSpace, owed, ok bool) {
	if ok {
		s.runs = append(s.runs, f.now.Sub(f.began))
		return
	}
	s.refused++
	if owed {
		s.below++
	}
}

// excess returns by how much the requests that ran in any window exceed what the limit
// allows with its slack; 0 or less if they never do.
func (f *fleet) excess(s *simSpace, limit allowance.Limit, from time.Duration) float64 {
	allowed := (limit.Rate*f.slack.Window.Seconds()+limit.Burst)*(1+f.slack.Share) + f.slack.Requests
	worst, first := 0, 0
	for n, at := range s.runs {
		if s.runs[first] < from {
			first = n
		}
		for at-s.runs[first] >= f.slack.Window {
			first++
		}
		worst = max(worst, n-first+1)
	}
	return float64(worst) - allowed
}

func (f *fleet) kill(i int) { f.vms[i].up = false }

func (f *fleet) restart(i int) {
	f.vms[i].up, f.vms[i].upSince = true, f.now
	f.reset(f.vms[i])
}
