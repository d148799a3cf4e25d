package benchbalance

import (
	"slices"
	"time"

	"heatherlock/steering/pool"
)

// owner counts the pool at one entry VM. Others ask it for a grant and send to
// the target themselves, or, when hop is set, hand it the whole request.
type owner struct {
	z    *zone
	hop  bool
	vm   int
	c    *counted
	held [][]*holding // by holder
	// second is a second owner for some entry VMs, while views differ.
	second *owner
	names  func(vm int) bool // which entry VMs take second for the owner
}

// holding is a slot in use.
type holding struct {
	c      *counted // that counts it now
	id     pool.GrantID
	target int
}

func newOwner(z *zone, vm int, hop bool) *owner {
	return &owner{z: z, hop: hop, vm: vm, c: newCounted(z, z.allSlots), held: make([][]*holding, z.EntryVM)}
}

func (w *owner) arrive(r *request) {
	if w.second != nil && w.names(r.vm) {
		w.second.arrive(r)
		return
	}
	if r.vm == w.vm {
		w.ask(r)
		return
	}
	asked := w.vm
	answered := false
	w.z.message(asked, func() {
		answered = true
		w.ask(r)
	})
	if w.z.dead[asked] {
		w.z.after(w.z.AskTimeout, func() {
			if !answered {
				w.passOver(asked)
				w.arrive(r)
			}
		})
	}
}

// probeTime is what a look at a target's load costs.
const probeTime = 6 * time.Millisecond

// ask asks for a slot at the owner on behalf of the request's entry VM.
func (w *owner) ask(r *request) {
	c := w.c
	c.acquire(r, func(id pool.GrantID, target int) { w.granted(r, c, id, target) }, func() {
		w.reply(r, func() { w.z.refuse(r) })
	})
}

// reply passes an answer of the owner to the request's entry VM.
func (w *owner) reply(r *request, f func()) {
	if r.vm == w.vm {
		f()
		return
	}
	w.z.message(r.vm, f)
}

func (w *owner) granted(r *request, c *counted, id pool.GrantID, target int) {
	h := &holding{c: c, id: id, target: target}
	at := w.vm
	if w.hop || r.vm == w.vm {
		w.hold(at, h)
		w.z.send(r, target, func(ran bool, reported int) {
			if w.z.dead[at] {
				w.z.lose(r)
				return
			}
			w.unhold(at, h)
			h.c.release(h.id, ran, reported)
			w.reply(r, func() { w.z.answered(r, ran) })
		})
		return
	}
	w.z.message(r.vm, func() {
		w.hold(r.vm, h)
		w.z.send(r, target, func(ran bool, reported int) {
			w.unhold(r.vm, h)
			counting := h.c
			w.z.message(w.vm, func() {
				if h.c == counting {
					h.c.release(h.id, ran, reported)
				}
			})
			w.z.answered(r, ran)
		})
	})
}

func (w *owner) hold(vm int, h *holding) { w.held[vm] = append(w.held[vm], h) }

func (w *owner) unhold(vm int, h *holding) {
	w.held[vm] = slices.DeleteFunc(w.held[vm], func(other *holding) bool { return other == h })
}

// passOver makes the next entry VM the owner. It learns what others hold and
// what the targets run before it grants.
func (w *owner) passOver(dead int) {
	if w.vm != dead {
		return
	}
	for w.z.dead[w.vm] {
		w.vm = (w.vm + 1) % w.z.EntryVM
	}
	old := w.c
	w.c = newCounted(w.z, func(int) int { return 0 })
	w.z.after(2*w.z.OneWay+probeTime, func() { w.takeOver(dead) })
	for _, p := range old.inOrder() {
		w.z.unqueue(p.r)
		if p.r.vm == dead {
			w.z.lose(p.r)
			continue
		}
		w.z.after(0, func() { w.arrive(p.r) })
	}
}

func (w *owner) takeOver(dead int) {
	now := w.z.clock()
	w.c.pool.SetTargets(now, w.z.declared(w.z.allSlots), nil)
	for vm, held := range w.held {
		if vm == dead {
			continue
		}
		for _, h := range held {
			if id, ok := w.c.pool.RestoreGrant(now, targetName(h.target)); ok {
				h.c, h.id = w.c, id
			}
		}
	}
	for i, t := range w.z.targets {
		w.c.settle(w.c.pool.Report(now, targetName(i), t.inFlight, pool.NoReport))
	}
}
