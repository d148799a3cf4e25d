package admit

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/pool"
)

// reconcile looks at the grants that are long out, and at targets that may
// still run work that nobody waits for.
func (a *Admit) reconcile(ctx context.Context) {
	for _, h := range a.pools() {
		a.endOrphans(h)
		for holder, asked := range h.due(time.Now()) {
			a.work.Go(func() { a.check(ctx, h, holder, asked) })
		}
		if uncertain := h.uncertain(); len(uncertain) > 0 {
			a.work.Go(func() { h.report(a.readLoads(ctx, uncertain)) })
		}
	}
}

// endOrphans gives back what dead members held. The target may still run it,
// so the pool keeps the slot until the target says otherwise or time passed.
func (a *Admit) endOrphans(h *hosted) {
	alive := map[holder]bool{a.self: true}
	for _, m := range a.cfg.Members.All() {
		if m.State != seam.MemberGone {
			alive[holder{m.VM, m.Incarnation}] = true
		}
	}
	n := h.endOrphans(func(who holder) bool {
		return alive[who] || alive[holder{vm: who.vm}] // not heard from yet
	})
	a.metrics.orphans.Inc(int64(n))
}

// check asks a holder about grants that are long out.
//
// A release that gets lost would leave its slot taken for ever: the pool's free
// slots would shrink while its targets idle. The holder knows what it holds and
// what it still waits for; everything else has ended.
func (a *Admit) check(ctx context.Context, h *hosted, who holder, grants []string) {
	reply, err := a.holdingsOf(ctx, who.vm, h.key)
	if err != nil || steering.Incarnation(reply.Incarnation) != who.incarnation {
		return // endOrphans decides once the view says that it is gone
	}
	n := h.endMissing(grants, reply)
	a.metrics.releasesHealed.Inc(int64(n))
}

// holdingsOf asks a member, or this entry VM itself, what it holds.
func (a *Admit) holdingsOf(ctx context.Context, vm steering.VM, key poolKey) (*peerpb.HoldingsReply, error) {
	if vm == a.self.vm {
		return a.Server().Holdings(ctx, &peerpb.HoldingsRequest{Place: string(key.place), Service: string(key.service)})
	}
	m, known := a.member(vm)
	if !known {
		return nil, errors.Errorf("admit: %s is not in the view; wait for it to be heard from", vm)
	}
	return a.askHoldings(ctx, m, key)
}

// due returns the grants that have to be checked, by holder.
func (h *hosted) due(now time.Time) map[holder][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return nil
	}
	due := map[holder][]string{}
	for grant, known := range h.issued {
		if now.Before(known.checkAt) {
			continue
		}
		known.checkAfter = min(2*known.checkAfter, maxCheckAfter)
		known.checkAt = now.Add(known.checkAfter)
		due[known.holder] = append(due[known.holder], grant)
	}
	return due
}

// endMissing ends those of the grants that their holder neither holds nor
// still asks for, and returns their number.
func (h *hosted) endMissing(grants []string, reply *peerpb.HoldingsReply) int {
	held := map[string]bool{}
	for _, in := range reply.Held {
		held[in.Grant] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, grant := range grants {
		known, ok := h.issued[grant]
		if !ok || held[grant] || slices.Contains(reply.Asking, known.ask) {
			continue
		}
		h.end(grant, unsent())
		n++
	}
	return n
}

// endOrphans ends the grants of holders that are no more.
func (h *hosted) endOrphans(alive func(holder) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return 0
	}
	n := 0
	for grant, known := range h.issued {
		if alive(known.holder) {
			continue
		}
		h.end(grant, pool.Outcome{End: pool.EndOrphaned, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport})
		n++
	}
	return n
}
