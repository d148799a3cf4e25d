package benchbalance

import (
	"time"

	"heatherlock/steering/pool"
)

// random sends to any target and, when it sheds, to another.
type random struct{ z *zone }

func (w *random) arrive(r *request) {
	target := w.z.rng.IntN(len(w.z.targets))
	w.z.send(r, target, func(ran bool, _ int) { w.z.answered(r, ran) })
}

// optimistic sends to the target that seems least loaded by own work and by
// what replies told, and waits while all seem full. Targets shed what is too
// much.
type optimistic struct {
	z     *zone
	views []*view
}

// view is what one entry VM believes of the targets.
type view struct {
	own      []int
	reported []int // beyond own, at the time of the report
	at       []time.Duration
	queue    []*request
	polling  bool
}

const (
	// reportFor is how long a report counts.
	reportFor = 100 * time.Millisecond
	// pollEvery is how often a waiting request looks again.
	pollEvery = 5 * time.Millisecond
)

func newOptimistic(z *zone) *optimistic {
	w := &optimistic{z: z}
	for range z.EntryVM {
		n := len(z.targets)
		w.views = append(w.views, &view{own: make([]int, n), reported: make([]int, n), at: make([]time.Duration, n)})
	}
	return w
}

func (w *optimistic) arrive(r *request) {
	if !w.try(r) {
		w.wait(r)
	}
}

func (w *optimistic) wait(r *request) {
	v := w.views[r.vm]
	if float64(len(v.queue)) >= w.z.Queue*float64(w.z.Targets*w.z.Slots)/float64(w.z.EntryVM) {
		w.z.refuse(r)
		return
	}
	w.z.queue(r)
	v.queue = append(v.queue, r)
	w.poll(v)
}

func (w *optimistic) poll(v *view) {
	if v.polling {
		return
	}
	v.polling = true
	w.z.after(pollEvery, func() {
		v.polling = false
		w.drain(v)
		if len(v.queue) > 0 {
			w.poll(v)
		}
	})
}

func (w *optimistic) drain(v *view) {
	for len(v.queue) > 0 {
		r := v.queue[0]
		late := r.deadline-meanService <= w.z.now
		if !late && !w.try(r) {
			return
		}
		v.queue = v.queue[1:]
		w.z.unqueue(r)
		if late {
			w.z.refuse(r)
		}
	}
}

// try sends the request if a target seems to have room.
func (w *optimistic) try(r *request) bool {
	v := w.views[r.vm]
	best, least := -1, 0
	start := w.z.rng.IntN(len(w.z.targets))
	for k := range w.z.targets {
		i := (start + k) % len(w.z.targets)
		seems := v.own[i]
		if w.z.now-v.at[i] < reportFor {
			seems += v.reported[i]
		}
		if seems < w.z.targets[i].slots && (best < 0 || seems < least) {
			best, least = i, seems
		}
	}
	if best < 0 {
		return false
	}
	v.own[best]++
	w.z.send(r, best, func(ran bool, reported int) { w.ended(r, v, best, ran, reported) })
	return true
}

func (w *optimistic) ended(r *request, v *view, target int, ran bool, reported int) {
	v.own[target]--
	v.reported[target] = max(0, reported-v.own[target])
	v.at[target] = w.z.now
	w.z.answered(r, ran)
	w.drain(v)
}

// central is the ideal: one count for all entry VMs that no message delays.
type central struct {
	z *zone
	c *counted
}

func (w *central) arrive(r *request) { w.z.serve(w.c, r, func() { w.z.refuse(r) }) }

// serve runs a request with a slot of a pool that needs no message.
func (z *zone) serve(c *counted, r *request, refused func()) {
	c.acquire(r, func(id pool.GrantID, target int) {
		z.send(r, target, func(ran bool, reported int) {
			c.release(id, ran, reported)
			z.answered(r, ran)
		})
	}, refused)
}

// answered ends a request that ran and sends one that was shed again.
func (z *zone) answered(r *request, ran bool) {
	switch {
	case z.dead[r.vm]:
		z.lose(r)
	case ran:
		z.finish(r)
	case len(r.tried) < maxTries:
		z.way.arrive(r)
	default:
		z.refuse(r)
	}
}

// static gives each entry VM an equal part of the slots for good.
type static struct {
	z      *zone
	shares []*counted
}

func newStatic(z *zone) *static {
	w := &static{z: z}
	for vm := range z.EntryVM {
		w.shares = append(w.shares, newCounted(z, func(t int) int { return shareOf(z, vm, t) }))
	}
	return w
}

func shareOf(z *zone, vm, target int) int { return dealt(z, vm, z.EntryVM, target) }

// dealt deals the slots out one by one among parts.
func dealt(z *zone, part, parts, target int) (n int) {
	for slot := range z.Slots {
		if (target*z.Slots+slot)%parts == part {
			n++
		}
	}
	return n
}

func (w *static) arrive(r *request) {
	w.z.serve(w.shares[r.vm], r, func() { w.z.refuse(r) })
}

// reassign deals the dead entry VMs' slots to the others.
func (w *static) reassign() {
	var alive []int
	for vm := range w.z.EntryVM {
		if !w.z.dead[vm] {
			alive = append(alive, vm)
		}
	}
	for i, vm := range alive {
		c := w.shares[vm]
		slots := func(t int) int { return dealt(w.z, i, len(alive), t) }
		c.settle(c.pool.SetTargets(w.z.clock(), w.z.declared(slots), nil))
	}
}

// loans gives each entry VM an equal part and lets one that has none free
// borrow single slots from others.
type loans struct {
	z      *zone
	shares []*counted
	kept   [][]loan // borrowed slots that wait for more work
}

func (w *loans) reassign() { (&static{w.z, w.shares}).reassign() }

// loan is a slot of another entry VM's share.
type loan struct {
	lender int
	id     pool.GrantID
	target int
	until  time.Duration // when it goes back if nothing uses it
}

// borrowFrom is how many others are asked at once.
const borrowFrom = 2

func newLoans(z *zone) *loans {
	return &loans{z: z, shares: newStatic(z).shares, kept: make([][]loan, z.EntryVM)}
}

func (w *loans) arrive(r *request) {
	vm := r.vm
	if n := len(w.kept[vm]); n > 0 && w.shares[vm].pool.Free() == 0 {
		l := w.kept[vm][n-1]
		w.kept[vm] = w.kept[vm][:n-1]
		w.use(vm, r, l)
		return
	}
	waits := w.shares[vm].pool.Free() == 0
	w.z.serve(w.shares[vm], r, func() { w.z.refuse(r) })
	if !waits {
		return
	}
	for range min(borrowFrom, w.z.EntryVM-1) {
		lender := (vm + 1 + w.z.rng.IntN(w.z.EntryVM-1)) % w.z.EntryVM
		w.z.message(lender, func() { w.lend(lender, vm) })
	}
}

// lend gives a free slot to another entry VM, if there is one.
func (w *loans) lend(lender, borrower int) {
	c := w.shares[lender]
	if c.pool.Free() == 0 {
		return
	}
	c.acquire(&request{deadline: w.z.now + w.z.Deadline}, func(id pool.GrantID, target int) {
		w.z.message(borrower, func() { w.borrowed(borrower, loan{lender: lender, id: id, target: target}) })
	}, func() {})
}

func (w *loans) borrowed(vm int, l loan) {
	p, ok := w.shares[vm].next()
	if !ok {
		w.keep(vm, l)
		return
	}
	w.use(vm, p.r, l)
}

func (w *loans) use(vm int, r *request, l loan) {
	w.z.send(r, l.target, func(ran bool, _ int) {
		w.z.answered(r, ran)
		w.borrowed(vm, l)
	})
}

// keep holds an idle loan for a while in case more work comes, then returns
// it.
func (w *loans) keep(vm int, l loan) {
	if w.z.Hold == 0 {
		w.giveBack(l)
		return
	}
	l.until = w.z.now + w.z.Hold
	w.kept[vm] = append(w.kept[vm], l)
	w.z.after(w.z.Hold, func() { w.expire(vm) })
}

func (w *loans) expire(vm int) {
	kept := w.kept[vm][:0]
	for _, l := range w.kept[vm] {
		if l.until <= w.z.now {
			w.giveBack(l)
			continue
		}
		kept = append(kept, l)
	}
	w.kept[vm] = kept
}

func (w *loans) giveBack(l loan) {
	w.z.message(l.lender, func() { w.shares[l.lender].giveBack(l.id) })
}

// periodic divides all slots anew at fixed times by max-min yield: each entry
// VM gets the same part of what it needs, as far as the slots go.
type periodic struct {
	z      *zone
	every  time.Duration
	shares []*counted
	need   []float64 // requests in hand, smoothed
	inHand []int
}

func newPeriodic(z *zone, every time.Duration) *periodic {
	w := &periodic{z: z, every: every, shares: newStatic(z).shares, need: make([]float64, z.EntryVM), inHand: make([]int, z.EntryVM)}
	z.after(every, w.divide)
	return w
}

func (w *periodic) arrive(r *request) {
	vm := r.vm
	w.inHand[vm]++
	w.shares[vm].acquire(r, func(id pool.GrantID, target int) {
		w.z.send(r, target, func(ran bool, reported int) {
			w.inHand[vm]--
			w.shares[vm].release(id, ran, reported)
			w.z.answered(r, ran)
		})
	}, func() {
		w.inHand[vm]--
		w.z.refuse(r)
	})
}

// divide deals slots by need. The messages that carry it are counted, their
// time is not: the experiment flatters this way.
func (w *periodic) divide() {
	w.z.after(w.every, w.divide)
	sum := 0.0
	for vm := range w.need {
		w.need[vm] += (float64(w.inHand[vm]) + 0.5 - w.need[vm]) / 2
		sum += w.need[vm]
	}
	bounds := make([]float64, w.z.EntryVM)
	at := 0.0
	for vm := range bounds {
		at += w.need[vm] / sum
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
		w.z.tally.messages += 2
		w.shares[vm].settle(w.shares[vm].pool.SetTargets(w.z.clock(), w.z.declared(slots), nil))
	}
}
