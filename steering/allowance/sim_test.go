package allowance_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// fleet simulates a fleet of entry VMs with workspaces in simulated time. Real Accounts and
// Ledgers decide on the requests; messages have the delays of a deployment.
type fleet struct {
	rng        *rand.Rand
	now        time.Time
	startedAt  time.Time
	events     events
	vms        []*simVM
	workspaces []*simWorkspace
	slack      allowance.Slack

	regionDelay     time.Duration // one way between regions
	messages, bytes int
	lossRate        float64

	// policy decides instead of Accounts and Ledgers when it is set.
	policy admissionPolicy
}

// admissionPolicy is an alternative way to decide on requests, for comparison.
type admissionPolicy interface {
	admit(f *fleet, vm int, s *simWorkspace) bool
}

const (
	zoneCount   = 6
	regionCount = 3
	// failureDetectionDelay is how long the fleet takes to detect that a VM is down.
	failureDetectionDelay = 1400 * time.Millisecond
	// reportBytes and replyBytes are the sizes of a datagram with a single report or reply.
	reportBytes = 45
	replyBytes  = 32
	// limitBytes is the size of the limit of a target that follows each of them.
	limitBytes = 31
)

type simVM struct {
	name        steering.VM
	zone        int
	up          bool
	paused      bool
	partition   int // VMs in another partition are unreachable
	upSince     time.Time
	incarnation uint32
	ledger      *allowance.Ledger
	accounts    map[*simWorkspace]*simAccount
	// live lists the VMs that this VM can reach, and members counts all VMs.
	live    []allowance.Candidate
	members int
}

type simAccount struct {
	*allowance.Account
	incarnation uint32
	owner       steering.VM
	waiting     []func(allowance.Verdict)
}

type simWorkspace struct {
	id      allowance.ID
	limit   allowance.Limit
	demand  float64 // requests per second
	callers []int   // VMs that its callers use
	runs    []time.Duration
	asked   int
	refused int
	// refusedBelowLimit counts the refused requests that a single bucket for all VMs would have
	// admitted.
	refusedBelowLimit int
	reference         referenceBucket
}

// referenceBucket is a single token bucket that sees the requests of all VMs.
type referenceBucket struct {
	tokens    float64
	updatedAt time.Time
}

func (b *referenceBucket) admit(now time.Time, l allowance.Limit) bool {
	b.tokens = math.Min(l.Burst, b.tokens+now.Sub(b.updatedAt).Seconds()*l.Rate)
	b.updatedAt = now
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

// newFleet returns a running fleet whose VMs all reach each other. The total demand is
// distributed over the workspaces in inverse proportion to their rank, and each workspace uses a
// number of random VMs that grows with its demand.
func newFleet(seed uint64, vms, workspaces int, total float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), startedAt: time.Unix(1000, 0), regionDelay: 20 * time.Millisecond,
		slack: allowance.Slack{Window: 5 * time.Second, Share: 0.1, Requests: 20}}
	for i := range vms {
		f.vms = append(f.vms, &simVM{name: steering.VM(fmt.Sprint("vm-", i)), zone: i % zoneCount, up: true, upSince: f.now})
	}
	for _, vm := range f.vms {
		f.resetState(vm)
	}
	weights := 0.0
	for n := range workspaces {
		weights += 1 / float64(n+1)
	}
	for n := range workspaces {
		demand := total / float64(n+1) / weights
		s := &simWorkspace{id: allowance.IDOf(steering.Workspace(fmt.Sprint("w", n))), demand: demand, limit: allowance.Limit{Rate: 1.6 * demand, Burst: math.Max(1, 1.6*demand)}}
		s.reference = referenceBucket{tokens: s.limit.Burst, updatedAt: f.now}
		for range max(2, int(demand)) {
			s.callers = append(s.callers, f.rng.IntN(vms))
		}
		f.workspaces = append(f.workspaces, s)
	}
	f.updateMembership()
	f.reportPeriodically()
	return f
}

func (f *fleet) resetState(vm *simVM) {
	vm.incarnation++
	vm.ledger = allowance.NewLedger(f.slack)
	vm.accounts = make(map[*simWorkspace]*simAccount)
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.events.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.events.seq, do})
}

// advance runs the simulation for the given time.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for f.events.Len() > 0 && !f.events.all[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// updateMembership updates the set of live VMs on each VM.
func (f *fleet) updateMembership() {
	for _, vm := range f.vms {
		vm.live = vm.live[:0]
		for _, other := range f.vms {
			if other.up && other.partition == vm.partition {
				vm.live = append(vm.live, allowance.Candidate{VM: other.name, Hash: allowance.HashOf(other.name), Weight: 1})
			}
		}
		vm.members = len(f.vms)
		vm.ledger.SetFleetShare(f.now, float64(max(1, len(vm.live)))/float64(vm.members))
	}
}

// reportPeriodically sends the reports that are due on all VMs.
func (f *fleet) reportPeriodically() {
	for i, vm := range f.vms {
		if !vm.up || vm.paused {
			continue
		}
		vm.dropIdle(f.now)
		for _, s := range f.workspaces {
			if a := vm.accounts[s]; a != nil {
				f.report(i, s, a)
			}
		}
	}
	f.schedule(100*time.Millisecond, f.reportPeriodically)
}

func (vm *simVM) newAccount(now time.Time, l allowance.Limit) *simAccount {
	return &simAccount{Account: allowance.NewAccount(now, l, vm.members), incarnation: vm.incarnation}
}

// dropIdle drops what the daemon drops.
func (vm *simVM) dropIdle(now time.Time) {
	before := len(vm.accounts)
	maps.DeleteFunc(vm.accounts, func(_ *simWorkspace, a *simAccount) bool { return a.Idle(now) })
	if len(vm.accounts) < before {
		vm.incarnation++
	}
	vm.ledger.DropStale(now)
}

func (f *fleet) report(i int, s *simWorkspace, a *simAccount) {
	vm := f.vms[i]
	if !a.ReportDue(f.now) {
		return
	}
	owner, ok := allowance.OwnerOf(s.id, vm.live)
	if !ok {
		return
	}
	j := slices.IndexFunc(f.vms, func(o *simVM) bool { return o.name == owner })
	if owner != a.owner {
		a.OwnerChanged(vm.zone%regionCount != f.vms[j].zone%regionCount)
		a.owner = owner
	}
	r := a.Report(f.now)
	r.Workspace = s.id
	incarnation, limitBytes := a.incarnation, s.limitBytes()
	f.send(i, j, reportBytes+limitBytes, func() {
		o := f.vms[j]
		reply, becameLow, ok := o.ledger.Report(f.now, vm.name, incarnation, s.limit, r)
		if !ok {
			return
		}
		if becameLow && !s.limit.Strict {
			f.broadcastLow(j, s)
		}
		f.send(j, i, replyBytes+limitBytes, func() {
			if vm.accounts[s] != a {
				return
			}
			a.ApplyReply(f.now, reply)
			waiting := a.waiting
			a.waiting = nil
			for _, w := range waiting {
				w(a.Admit(f.now))
			}
		})
	})
}

// reportWhile sends the reports that are due for as long as a request waits.
func (f *fleet) reportWhile(i int, s *simWorkspace, a *simAccount, waits func() bool) {
	if waits() && f.vms[i].accounts[s] == a {
		f.report(i, s, a)
		f.schedule(allowance.ReportRetryInterval, func() { f.reportWhile(i, s, a, waits) })
	}
}

// limitBytes returns the size of the limit that follows a report or a reply.
func (s *simWorkspace) limitBytes() int {
	if s.limit.Strict {
		return limitBytes
	}
	return 0
}

// broadcastLow notifies all reachable VMs that a bucket is low, as heartbeats do.
func (f *fleet) broadcastLow(j int, s *simWorkspace) {
	until := f.now.Add(allowance.LowBucketTTL)
	for i, vm := range f.vms {
		f.send(j, i, 12, func() {
			if vm.accounts[s] == nil {
				vm.accounts[s] = vm.newAccount(f.now, s.limit)
			}
			vm.accounts[s].MarkLow(until)
		})
	}
}

// send delivers a message after the delay of its route, unless it is lost.
func (f *fleet) send(from, to, bytes int, do func()) {
	a, b := f.vms[from], f.vms[to]
	delay := 200 * time.Microsecond
	switch {
	case from == to:
		do()
		return
	case a.zone%regionCount != b.zone%regionCount:
		delay = f.regionDelay
	case a.zone != b.zone:
		delay = 1500 * time.Microsecond
	}
	f.messages++
	f.bytes += bytes
	if !b.up || a.partition != b.partition || f.rng.Float64() < f.lossRate {
		return
	}
	f.schedule(delay, func() {
		if b.up && !b.paused {
			do()
		}
	})
}

// scheduleRequests schedules the requests of a workspace's callers until the given time.
func (f *fleet) scheduleRequests(s *simWorkspace, until time.Time) {
	if s.demand <= 0 || !f.now.Before(until) {
		return
	}
	f.schedule(time.Duration(f.rng.ExpFloat64()/s.demand*float64(time.Second)), func() {
		if f.now.Before(until) {
			f.handleRequest(s)
		}
		f.scheduleRequests(s, until)
	})
}

// runTraffic runs the simulation for the given time with the requests of all callers.
func (f *fleet) runTraffic(d time.Duration) {
	until := f.now.Add(d)
	for _, s := range f.workspaces {
		f.scheduleRequests(s, until)
	}
	f.advance(d)
}

// handleRequest simulates the arrival of one request at a VM.
func (f *fleet) handleRequest(s *simWorkspace) {
	i := s.callers[f.rng.IntN(len(s.callers))]
	for tries := 0; !f.vms[i].up || f.vms[i].paused; tries++ {
		if tries > 20 {
			return // the caller finds no live VM
		}
		i = f.rng.IntN(len(f.vms))
	}
	vm := f.vms[i]
	s.asked++
	withinLimit := s.reference.admit(f.now, s.limit)
	if f.policy != nil {
		f.recordOutcome(s, withinLimit, f.policy.admit(f, i, s))
		return
	}
	a := vm.accounts[s]
	if a == nil {
		a = vm.newAccount(f.now, s.limit)
		vm.accounts[s] = a
	}
	a.RecordArrival(f.now)
	verdict := a.Admit(f.now)
	if verdict != allowance.AskOwner {
		f.recordOutcome(s, withinLimit, verdict == allowance.Admitted)
		return
	}
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			a.RemoveWaiting()
			f.recordOutcome(s, withinLimit, ok)
		}
	}
	a.AddWaiting()
	var onVerdict func(allowance.Verdict)
	onVerdict = func(v allowance.Verdict) {
		switch {
		case done:
		case v == allowance.AskOwner:
			a.waiting = append(a.waiting, onVerdict)
		default:
			finish(v == allowance.Admitted)
		}
	}
	a.waiting = append(a.waiting, onVerdict)
	limit := a.ReplyTimeout()
	if a.OwnerUnresponsive(f.now) {
		limit = 0
	}
	f.reportWhile(i, s, a, func() bool { return !done })
	f.schedule(limit, func() {
		if !done {
			finish(a.AdmitWithoutOwner(f.now))
		}
	})
}

func (f *fleet) recordOutcome(s *simWorkspace, withinLimit, ok bool) {
	if ok {
		s.runs = append(s.runs, f.now.Sub(f.startedAt))
		return
	}
	s.refused++
	if withinLimit {
		s.refusedBelowLimit++
	}
}

// excess returns by how many requests the busiest window exceeds what the limit and its slack
// allow. The result is 0 or negative if no window exceeds it.
func (f *fleet) excess(s *simWorkspace, limit allowance.Limit, from time.Duration) float64 {
	allowed := (limit.Rate*f.slack.Window.Seconds()+limit.Burst)*(1+f.slack.Share) + f.slack.Requests
	most, first := 0, 0
	for n, at := range s.runs {
		if s.runs[first] < from {
			first = n
		}
		for at-s.runs[first] >= f.slack.Window {
			first++
		}
		most = max(most, n-first+1)
	}
	return float64(most) - allowed
}

func (f *fleet) kill(i int) { f.vms[i].up = false }

func (f *fleet) restart(i int) {
	f.vms[i].up, f.vms[i].upSince = true, f.now
	f.resetState(f.vms[i])
}
