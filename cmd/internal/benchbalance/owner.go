package benchbalance

import (
	"slices"
	"time"

	"heatherlock/steering/pool"
)

// ownerStrategy keeps the pool at one entry VM, the owner. Other entry VMs ask the owner for a grant
// and send the request to the target themselves or, with forwardsRequests, forward the whole request
// to the owner.
type ownerStrategy struct {
	z                *zone
	forwardsRequests bool
	vm               int
	c                *localPool
	held             [][]*holding // slots in use, by the index of the entry VM
	// secondOwner acts as the owner for some entry VMs while their member lists differ from those of
	// the others. It is nil otherwise.
	secondOwner     *ownerStrategy
	usesSecondOwner func(vm int) bool // reports whether an entry VM uses secondOwner
}

// holding is a slot in use.
type holding struct {
	c      *localPool // the pool that counts the slot now
	id     pool.GrantID
	target int
}

func newOwnerStrategy(z *zone, vm int, forwardsRequests bool) *ownerStrategy {
	return &ownerStrategy{z: z, forwardsRequests: forwardsRequests, vm: vm, c: newLocalPool(z, z.allSlots), held: make([][]*holding, z.EntryVM)}
}

// arrive asks the owner for a slot. If the owner has crashed, it fails over after OwnerTimeout and asks
// the next one.
func (w *ownerStrategy) arrive(r *request) {
	if w.secondOwner != nil && w.usesSecondOwner(r.vm) {
		w.secondOwner.arrive(r)
		return
	}
	if r.vm == w.vm {
		w.requestGrant(r)
		return
	}
	asked := w.vm
	answered := false
	w.z.sendMessage(asked, func() {
		answered = true
		w.requestGrant(r)
	})
	if w.z.crashed[asked] {
		w.z.after(w.z.OwnerTimeout, func() {
			if !answered {
				w.failOver(asked)
				w.arrive(r)
			}
		})
	}
}

// probeTime is the time that a new owner needs to query the targets for their load.
const probeTime = 6 * time.Millisecond

// requestGrant asks the owner's pool for a slot on behalf of the request's entry VM.
func (w *ownerStrategy) requestGrant(r *request) {
	c := w.c
	c.acquire(r, func(id pool.GrantID, target int) { w.granted(r, c, id, target) }, func() {
		w.reply(r, func() { w.z.recordRefused(r) })
	})
}

// reply runs f at the request's entry VM, after a message from the owner if that is another one.
func (w *ownerStrategy) reply(r *request, f func()) {
	if r.vm == w.vm {
		f()
		return
	}
	w.z.sendMessage(r.vm, f)
}

// granted sends a request to its target, from the owner or from the request's entry VM. The slot is
// released at the pool that granted it; after a failover the new owner's pool counts it, and a release
// for the old pool that arrives later is ignored.
func (w *ownerStrategy) granted(r *request, c *localPool, id pool.GrantID, target int) {
	h := &holding{c: c, id: id, target: target}
	at := w.vm
	if w.forwardsRequests || r.vm == w.vm {
		w.addHolding(at, h)
		w.z.sendToTarget(r, target, func(ran bool, reported int) {
			if w.z.crashed[at] {
				w.z.recordLost(r)
				return
			}
			w.removeHolding(at, h)
			h.c.release(h.id, ran, reported)
			w.reply(r, func() { w.z.handleReply(r, ran) })
		})
		return
	}
	w.z.sendMessage(r.vm, func() {
		w.addHolding(r.vm, h)
		w.z.sendToTarget(r, target, func(ran bool, reported int) {
			w.removeHolding(r.vm, h)
			counting := h.c
			w.z.sendMessage(w.vm, func() {
				if h.c == counting {
					h.c.release(h.id, ran, reported)
				}
			})
			w.z.handleReply(r, ran)
		})
	})
}

func (w *ownerStrategy) addHolding(vm int, h *holding) { w.held[vm] = append(w.held[vm], h) }

func (w *ownerStrategy) removeHolding(vm int, h *holding) {
	w.held[vm] = slices.DeleteFunc(w.held[vm], func(other *holding) bool { return other == h })
}

// failOver makes the next live entry VM the owner. It collects the slots that other entry VMs hold and
// the load of the targets before it grants slots. The requests that waited at the old owner are sent
// to the new one; those that arrived at the old owner itself are lost.
func (w *ownerStrategy) failOver(crashed int) {
	if w.vm != crashed {
		return
	}
	for w.z.crashed[w.vm] {
		w.vm = (w.vm + 1) % w.z.EntryVM
	}
	old := w.c
	w.c = newLocalPool(w.z, func(int) int { return 0 })
	w.z.after(2*w.z.OneWay+probeTime, func() { w.takeOver(crashed) })
	for _, p := range old.queuedByAge() {
		w.z.unqueue(p.r)
		if p.r.vm == crashed {
			w.z.recordLost(p.r)
			continue
		}
		w.z.after(0, func() { w.arrive(p.r) })
	}
}

// takeOver fills the owner's pool with all targets, the slots held by entry VMs other than the crashed
// one, and the load that the targets report. A negative index means that none has crashed.
func (w *ownerStrategy) takeOver(crashed int) {
	now := w.z.clock()
	w.c.pool.SetTargets(now, w.z.poolTargets(w.z.allSlots), nil)
	for vm, held := range w.held {
		if vm == crashed {
			continue
		}
		for _, h := range held {
			if id, ok := w.c.pool.RestoreGrant(now, targetName(h.target)); ok {
				h.c, h.id = w.c, id
			}
		}
	}
	for i, t := range w.z.targets {
		w.c.applyEffects(w.c.pool.Report(now, targetName(i), t.inFlight, pool.NoReport))
	}
}
