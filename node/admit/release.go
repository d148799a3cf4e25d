package admit

import (
	"context"
	"sync"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/pool"
)

// releaser reports the ends of grants to the owners of their pools: immediately
// if no call to the owner is running, otherwise in one batch after that call.
type releaser struct {
	admit *Controller

	mu      sync.Mutex
	pending map[steering.VM][]*peerpb.GrantEnd
	sending map[steering.VM]bool
}

func newReleaser(a *Controller) *releaser {
	return &releaser{admit: a, pending: map[steering.VM][]*peerpb.GrantEnd{}, sending: map[steering.VM]bool{}}
}

// end reports the end of a grant to the entry VM that granted it. If the view now
// names another owner, which may have adopted the grant, end reports to that one
// as well. An entry VM that doesn't know the grant ignores its end.
func (r *releaser) end(g *grant, o seam.Outcome) {
	r.notify(g.slot.owner, g, o)
	if owner, known := r.admit.owner(g.key); known && owner.VM != g.slot.owner {
		r.notify(owner.VM, g, o)
	}
}

func (r *releaser) notify(to steering.VM, g *grant, o seam.Outcome) {
	if to != r.admit.self.vm {
		r.send(to, grantEnd(g.key, g.slot, o))
		return
	}
	if p := r.admit.pool(g.key); p != nil {
		p.release(g.slot.grant, o)
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
		RestMs:           o.Rest.Milliseconds(),
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
	r.admit.runInBackground(func(ctx context.Context) { r.flush(ctx, to) })
}

// flush sends batches until no ends are pending.
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

// deliver sends one batch, with retries. A batch that can't be delivered is
// dropped: the owner asks holders about old grants, and a new owner only adopts
// grants that are still held.
func (r *releaser) deliver(ctx context.Context, to steering.VM, batch []*peerpb.GrantEnd) {
	message := &peerpb.ReleaseRequest{
		FromVm:          string(r.admit.self.vm),
		FromIncarnation: string(r.admit.self.incarnation),
		Ended:           batch,
	}
	for range maxReleaseAttempts {
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
		if !sleep(ctx, retryInterval) {
			break
		}
	}
	r.admit.metrics.releasesLost.Inc(int64(len(batch)))
}

// poolOutcome converts the outcome of a request to the pool's outcome of a grant.
func poolOutcome(o seam.Outcome) pool.Outcome {
	return pool.Outcome{End: slotEnd(o.Kind), ReportedInFlight: o.ReportedInFlight, ReportedSlots: o.ReportedSlots, Rest: o.Rest}
}

// runInBackground runs f in a goroutine that Run waits for, with the context of
// Run.
func (a *Controller) runInBackground(f func(context.Context)) {
	a.mu.Lock()
	ctx := a.runCtx
	a.mu.Unlock()
	a.work.Go(func() { f(ctx) })
}
