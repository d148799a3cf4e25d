package benchbalance

import (
	"time"

	"heatherlock/steering/pool"
)

// randomTarget sends each request to a random target. One that is shed is sent to a random target
// again, up to maxAttempts in total.
type randomTarget struct{ z *zone }

func (w *randomTarget) arrive(r *request) {
	target := w.z.rng.IntN(len(w.z.targets))
	w.z.sendToTarget(r, target, func(ran bool, _ int) { w.z.handleReply(r, ran) })
}

// optimistic sends each request to the target with the lowest load, estimated from the entry VM's own
// requests and the load reports in replies, and queues it while all targets seem full. A target sheds
// requests for which it has no slot.
type optimistic struct {
	z     *zone
	views []*loadView
}

// loadView is one entry VM's estimate of the load of each target, and its queue.
type loadView struct {
	ownInFlight      []int
	reportedInFlight []int // requests of others, at the time of the report
	reportedAt       []time.Duration
	queue            []*request
	polling          bool
}

const (
	// reportTTL is how long a load report is used.
	reportTTL = 100 * time.Millisecond
	// pollInterval is how often an entry VM checks whether queued requests can be sent.
	pollInterval = 5 * time.Millisecond
)

func newOptimistic(z *zone) *optimistic {
	w := &optimistic{z: z}
	for range z.EntryVM {
		n := len(z.targets)
		w.views = append(w.views, &loadView{ownInFlight: make([]int, n), reportedInFlight: make([]int, n), reportedAt: make([]time.Duration, n)})
	}
	return w
}

func (w *optimistic) arrive(r *request) {
	if !w.try(r) {
		w.wait(r)
	}
}

// wait queues a request, or refuses it if the entry VM's part of the zone's queue is full.
func (w *optimistic) wait(r *request) {
	v := w.views[r.vm]
	if float64(len(v.queue)) >= w.z.Queue*float64(w.z.Targets*w.z.Slots)/float64(w.z.EntryVM) {
		w.z.recordRefused(r)
		return
	}
	w.z.queue(r)
	v.queue = append(v.queue, r)
	w.poll(v)
}

// poll drains the queue at a fixed interval until it is empty.
func (w *optimistic) poll(v *loadView) {
	if v.polling {
		return
	}
	v.polling = true
	w.z.after(pollInterval, func() {
		v.polling = false
		w.drain(v)
		if len(v.queue) > 0 {
			w.poll(v)
		}
	})
}

// drain sends queued requests while targets seem to have free slots, and refuses those that can't be
// answered before their deadline.
func (w *optimistic) drain(v *loadView) {
	for len(v.queue) > 0 {
		r := v.queue[0]
		late := r.deadline-meanServiceTime <= w.z.now
		if !late && !w.try(r) {
			return
		}
		v.queue = v.queue[1:]
		w.z.unqueue(r)
		if late {
			w.z.recordRefused(r)
		}
	}
}

// try sends the request if a target seems to have a free slot, and reports whether it did.
func (w *optimistic) try(r *request) bool {
	v := w.views[r.vm]
	best, least := -1, 0
	start := w.z.rng.IntN(len(w.z.targets))
	for k := range w.z.targets {
		i := (start + k) % len(w.z.targets)
		seems := v.ownInFlight[i]
		if w.z.now-v.reportedAt[i] < reportTTL {
			seems += v.reportedInFlight[i]
		}
		if seems < w.z.targets[i].slots && (best < 0 || seems < least) {
			best, least = i, seems
		}
	}
	if best < 0 {
		return false
	}
	v.ownInFlight[best]++
	w.z.sendToTarget(r, best, func(ran bool, reportedInFlight int) { w.ended(r, v, best, ran, reportedInFlight) })
	return true
}

func (w *optimistic) ended(r *request, v *loadView, target int, ran bool, reportedInFlight int) {
	v.ownInFlight[target]--
	v.reportedInFlight[target] = max(0, reportedInFlight-v.ownInFlight[target])
	v.reportedAt[target] = w.z.now
	w.z.handleReply(r, ran)
	w.drain(v)
}

// centralPool is the ideal: one pool that all entry VMs share without message delays.
type centralPool struct {
	z *zone
	c *localPool
}

func (w *centralPool) arrive(r *request) { w.z.serve(w.c, r, func() { w.z.recordRefused(r) }) }

// serve runs a request with a slot of a pool that is local to the request's entry VM.
func (z *zone) serve(c *localPool, r *request, refused func()) {
	c.acquire(r, func(id pool.GrantID, target int) {
		z.sendToTarget(r, target, func(ran bool, reported int) {
			c.release(id, ran, reported)
			z.handleReply(r, ran)
		})
	}, refused)
}

// handleReply records a request that ran, and passes one that was shed to the strategy again, up to
// maxAttempts. A request whose entry VM has crashed is lost.
func (z *zone) handleReply(r *request, ran bool) {
	switch {
	case z.crashed[r.vm]:
		z.recordLost(r)
	case ran:
		z.recordAnswered(r)
	case len(r.triedTargets) < maxAttempts:
		z.strategy.arrive(r)
	default:
		z.recordRefused(r)
	}
}

// staticShares gives each entry VM a fixed, equal share of the slots.
type staticShares struct {
	z      *zone
	shares []*localPool
}

func newStaticShares(z *zone) *staticShares {
	w := &staticShares{z: z}
	for vm := range z.EntryVM {
		w.shares = append(w.shares, newLocalPool(z, func(t int) int { return shareOf(z, vm, t) }))
	}
	return w
}

// shareOf returns how many slots of a target belong to an entry VM's share.
func shareOf(z *zone, vm, target int) int { return slotsOfPart(z, vm, z.EntryVM, target) }

// slotsOfPart assigns the zone's slots to parts in round-robin order and returns how many slots of a
// target belong to one part.
func slotsOfPart(z *zone, part, parts, target int) (n int) {
	for slot := range z.Slots {
		if (target*z.Slots+slot)%parts == part {
			n++
		}
	}
	return n
}

func (w *staticShares) arrive(r *request) {
	w.z.serve(w.shares[r.vm], r, func() { w.z.recordRefused(r) })
}

// reassign divides all slots equally among the live entry VMs.
func (w *staticShares) reassign() {
	var live []int
	for vm := range w.z.EntryVM {
		if !w.z.crashed[vm] {
			live = append(live, vm)
		}
	}
	for i, vm := range live {
		c := w.shares[vm]
		slots := func(t int) int { return slotsOfPart(w.z, i, len(live), t) }
		c.applyEffects(c.pool.SetTargets(w.z.clock(), w.z.poolTargets(slots), nil))
	}
}

// slotLoans gives each entry VM an equal share of the slots. An entry VM without a free slot borrows
// single slots from others.
type slotLoans struct {
	z         *zone
	shares    []*localPool
	idleLoans [][]loan // borrowed slots that are free, by the index of the borrower
}

func (w *slotLoans) reassign() { (&staticShares{w.z, w.shares}).reassign() }

// loan is a slot borrowed from another entry VM's share.
type loan struct {
	lender   int
	id       pool.GrantID
	target   int
	returnAt time.Duration // time at which the slot is returned if it is still unused
}

// lendersAsked is how many entry VMs are asked for a slot at once.
const lendersAsked = 2

func newSlotLoans(z *zone) *slotLoans {
	return &slotLoans{z: z, shares: newStaticShares(z).shares, idleLoans: make([][]loan, z.EntryVM)}
}

// arrive uses an idle loan if the entry VM's own share has no free slot. Without one it queues the
// request and asks other entry VMs, chosen at random, for a slot.
func (w *slotLoans) arrive(r *request) {
	vm := r.vm
	if n := len(w.idleLoans[vm]); n > 0 && w.shares[vm].pool.Free() == 0 {
		l := w.idleLoans[vm][n-1]
		w.idleLoans[vm] = w.idleLoans[vm][:n-1]
		w.useLoan(vm, r, l)
		return
	}
	waits := w.shares[vm].pool.Free() == 0
	w.z.serve(w.shares[vm], r, func() { w.z.recordRefused(r) })
	if !waits {
		return
	}
	for range min(lendersAsked, w.z.EntryVM-1) {
		lender := (vm + 1 + w.z.rng.IntN(w.z.EntryVM-1)) % w.z.EntryVM
		w.z.sendMessage(lender, func() { w.lend(lender, vm) })
	}
}

// lend passes a free slot of the lender to the borrower, if the lender has one.
func (w *slotLoans) lend(lender, borrower int) {
	c := w.shares[lender]
	if c.pool.Free() == 0 {
		return
	}
	c.acquire(&request{deadline: w.z.now + w.z.Deadline}, func(id pool.GrantID, target int) {
		w.z.sendMessage(borrower, func() { w.loanReceived(borrower, loan{lender: lender, id: id, target: target}) })
	}, func() {})
}

// loanReceived uses a loan for the oldest queued request, or keeps it if none is queued.
func (w *slotLoans) loanReceived(vm int, l loan) {
	p, ok := w.shares[vm].dequeueOldest()
	if !ok {
		w.keepIdle(vm, l)
		return
	}
	w.useLoan(vm, p.r, l)
}

func (w *slotLoans) useLoan(vm int, r *request, l loan) {
	w.z.sendToTarget(r, l.target, func(ran bool, _ int) {
		w.z.handleReply(r, ran)
		w.loanReceived(vm, l)
	})
}

// keepIdle keeps an unused loan for LoanHold in case more requests arrive, then returns it.
func (w *slotLoans) keepIdle(vm int, l loan) {
	if w.z.LoanHold == 0 {
		w.returnUnused(l)
		return
	}
	l.returnAt = w.z.now + w.z.LoanHold
	w.idleLoans[vm] = append(w.idleLoans[vm], l)
	w.z.after(w.z.LoanHold, func() { w.expire(vm) })
}

// expire returns the idle loans whose time is up.
func (w *slotLoans) expire(vm int) {
	idleLoans := w.idleLoans[vm][:0]
	for _, l := range w.idleLoans[vm] {
		if l.returnAt <= w.z.now {
			w.returnUnused(l)
			continue
		}
		idleLoans = append(idleLoans, l)
	}
	w.idleLoans[vm] = idleLoans
}

func (w *slotLoans) returnUnused(l loan) {
	w.z.sendMessage(l.lender, func() { w.shares[l.lender].returnUnused(l.id) })
}

// periodicShares redivides all slots at a fixed interval by max-min yield: each entry VM gets slots
// for the same fraction of its demand, as far as whole slots allow.
type periodicShares struct {
	z           *zone
	interval    time.Duration
	shares      []*localPool
	demand      []float64 // outstanding requests, smoothed
	outstanding []int
}

func newPeriodicShares(z *zone, interval time.Duration) *periodicShares {
	w := &periodicShares{z: z, interval: interval, shares: newStaticShares(z).shares, demand: make([]float64, z.EntryVM), outstanding: make([]int, z.EntryVM)}
	z.after(interval, w.redivide)
	return w
}

func (w *periodicShares) arrive(r *request) {
	vm := r.vm
	w.outstanding[vm]++
	w.shares[vm].acquire(r, func(id pool.GrantID, target int) {
		w.z.sendToTarget(r, target, func(ran bool, reported int) {
			w.outstanding[vm]--
			w.shares[vm].release(id, ran, reported)
			w.z.handleReply(r, ran)
		})
	}, func() {
		w.outstanding[vm]--
		w.z.recordRefused(r)
	})
}

// redivide assigns the slots in proportion to demand. The messages for it are counted, but take no
// time, so the simulation makes this strategy look better than it is.
func (w *periodicShares) redivide() {
	w.z.after(w.interval, w.redivide)
	sum := 0.0
	for vm := range w.demand {
		w.demand[vm] += (float64(w.outstanding[vm]) + 0.5 - w.demand[vm]) / 2
		sum += w.demand[vm]
	}
	bounds := make([]float64, w.z.EntryVM)
	at := 0.0
	for vm := range bounds {
		at += w.demand[vm] / sum
		bounds[vm] = at
	}
	total := w.z.Targets * w.z.Slots
	owner := make([]int, total)
	for vm, k := 0, 0; k < total; k++ {
		for vm < len(bounds)-1 && (float64(k)+0.5)/float64(total) > bounds[vm] {
			vm++
		}
		owner[k] = vm
	}
	for vm := range w.shares {
		slots := func(t int) (n int) {
			for s := range w.z.Slots {
				if owner[s*w.z.Targets+t] == vm {
					n++
				}
			}
			return n
		}
		w.z.results.messages += 2
		w.shares[vm].applyEffects(w.shares[vm].pool.SetTargets(w.z.clock(), w.z.poolTargets(slots), nil))
	}
}
