package admit

import (
	"context"
	"sync"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/pool"
)

// releaser sends the ends of grants to the entry VMs that count them: at once
// when no call is under way to that entry VM, and else together with the next.
type releaser struct {
	admit *Admit

	mu      sync.Mutex
	pending map[steering.VM][]*peerpb.GrantEnd
	sending map[steering.VM]bool
}

func newReleaser(a *Admit) *releaser {
	return &releaser{admit: a, pending: map[steering.VM][]*peerpb.GrantEnd{}, sending: map[steering.VM]bool{}}
}

// end gives a slot back to whoever counts its pool now: the entry VM that
// granted it and, when the view names another one by now, that one too, which
// may have taken the grant over. Who does not know the grant ignores its end.
func (r *releaser) end(g *grant, o seam.Outcome) {
	r.tell(g.slot.owner, g, o)
	if owner, known := r.admit.owner(g.key); known && owner.VM != g.slot.owner {
		r.tell(owner.VM, g, o)
	}
}

func (r *releaser) tell(to steering.VM, g *grant, o seam.Outcome) {
	if to != r.admit.self.vm {
		r.send(to, grantEnd(g.key, g.slot, o))
		return
	}
	if h := r.admit.pool(g.key); h != nil {
		h.release(g.slot.grant, o)
	}
}

func grantEnd(key poolKey, s slot, o seam.Outcome) *peerpb.GrantEnd {
	return &peerpb.GrantEnd{
		Grant:            s.grant,
		Place:            string(key.place),
		Service:          string(key.service),
		Target:           string(s.target.Name),
		Kind:             uint32(o.Kind),
		LatencyUs:        o.Latency.Microseconds(),
		ReportedInFlight: int32(o.ReportedInFlight),
		ReportedSlots:    int32(o.ReportedSlots),
	}
}

func (r *releaser) send(to steering.VM, end *peerpb.GrantEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[to] = append(r.pending[to], end)
	if r.sending[to] {
		return
	}
	r.sending[to] = true
	r.admit.goWork(func(ctx context.Context) { r.flush(ctx, to) })
}

// flush sends until nothing is left.
func (r *releaser) flush(ctx context.Context, to steering.VM) {
	for {
		r.mu.Lock()
		batch := r.pending[to]
		delete(r.pending, to)
		if len(batch) == 0 {
			delete(r.sending, to)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.deliver(ctx, to, batch)
	}
}

// deliver sends one batch. What cannot be delivered is dropped: the owner asks
// about old grants, and a new one learns only what is still held.
func (r *releaser) deliver(ctx context.Context, to steering.VM, batch []*peerpb.GrantEnd) {
	message := &peerpb.ReleaseRequest{
		FromVm:          string(r.admit.self.vm),
		FromIncarnation: string(r.admit.self.incarnation),
		Ended:           batch,
	}
	for range releaseTries {
		m, known := r.admit.member(to)
		if !known {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, r.admit.cfg.PeerTimeout)
		_, err := r.admit.cfg.Peers.To(m.PeerAddress).Release(callCtx, message)
		cancel()
		if err == nil {
			return
		}
		if !sleep(ctx, settleRetry) {
			break
		}
	}
	r.admit.metrics.releasesLost.Inc(int64(len(batch)))
}

// outcome translates how a request ended into what the pool has to know.
func outcome(o seam.Outcome) pool.Outcome {
	return pool.Outcome{End: endOf(o.Kind), ReportedInFlight: o.ReportedInFlight, ReportedSlots: o.ReportedSlots}
}

// goWork runs f in the background of Run, until Run's context ends.
func (a *Admit) goWork(f func(context.Context)) {
	a.mu.Lock()
	ctx := a.run
	a.mu.Unlock()
	a.work.Go(func() { f(ctx) })
}
