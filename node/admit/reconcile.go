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

// reconcile compares old grants with their holders, ends the grants of crashed
// holders, and reads the loads of targets that may still run abandoned requests.
func (a *Controller) reconcile(ctx context.Context) {
	for _, p := range a.pools() {
		a.endOrphans(p)
		for holder, grants := range p.dueChecks(time.Now()) {
			a.work.Go(func() { a.checkHolder(ctx, p, holder, grants) })
		}
		if targetsToQuery := p.targetsToQuery(); len(targetsToQuery) > 0 {
			a.work.Go(func() { p.applyLoads(a.readLoads(ctx, targetsToQuery)) })
		}
	}
}

// endOrphans ends the grants of crashed members. The target may still run their
// requests, so the pool keeps the slot until the target reports otherwise or a
// timeout passes.
func (a *Controller) endOrphans(p *poolState) {
	alive := map[holder]bool{a.self: true}
	for _, m := range a.cfg.Members.All() {
		if m.State != seam.MemberGone {
			alive[holder{m.VM, m.Incarnation}] = true
		}
	}
	n := p.endOrphans(func(who holder) bool {
		return alive[who] || alive[holder{vm: who.vm}] // incarnation not known yet
	})
	a.metrics.orphans.Inc(int64(n))
}

// checkHolder asks a holder which of its old grants it still holds, and ends the
// others.
//
// Otherwise a lost release would keep its slot in use forever: the pool would run
// out of free slots while its targets are idle. The holder knows the grants it
// holds and the slot requests it waits for; all other grants have ended.
func (a *Controller) checkHolder(ctx context.Context, p *poolState, who holder, grants []string) {
	reply, err := a.holdingsOf(ctx, who.vm, p.key)
	if err != nil || steering.Incarnation(reply.Incarnation) != who.incarnation {
		return // endOrphans ends the grants once the view shows the member as gone
	}
	n := p.endMissing(grants, reply)
	a.metrics.releasesRecovered.Inc(int64(n))
}

// holdingsOf returns what a member, or this entry VM itself, holds of a pool.
func (a *Controller) holdingsOf(ctx context.Context, vm steering.VM, key poolKey) (*peerpb.HoldingsReply, error) {
	if vm == a.self.vm {
		return a.Server().Holdings(ctx, &peerpb.HoldingsRequest{Place: string(key.place), Service: string(key.service)})
	}
	m, known := a.member(vm)
	if !known {
		return nil, errors.Errorf("admit: entry VM %s is not in the membership view; wait for its first heartbeat", vm)
	}
	return a.askHoldings(ctx, m, key)
}

// dueChecks returns the grants whose holders have to be asked now, by holder, and
// schedules their next check.
func (p *poolState) dueChecks(now time.Time) map[holder][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return nil
	}
	dueChecks := map[holder][]string{}
	for grant, known := range p.issued {
		if now.Before(known.checkAt) {
			continue
		}
		known.checkAfter = min(2*known.checkAfter, maxCheckAfter)
		known.checkAt = now.Add(known.checkAfter)
		dueChecks[known.holder] = append(dueChecks[known.holder], grant)
	}
	return dueChecks
}

// endMissing ends those of the grants that their holder neither holds nor still
// waits for, and returns their number.
func (p *poolState) endMissing(grants []string, reply *peerpb.HoldingsReply) int {
	held := map[string]bool{}
	for _, in := range reply.Held {
		held[in.Grant] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, grant := range grants {
		known, ok := p.issued[grant]
		if !ok || held[grant] || slices.Contains(reply.Asking, known.slotRequest) {
			continue
		}
		p.end(grant, unusedPoolOutcome())
		n++
	}
	return n
}

// endOrphans ends the grants of holders for which alive returns false, and returns
// the number of these grants.
func (p *poolState) endOrphans(alive func(holder) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return 0
	}
	n := 0
	for grant, known := range p.issued {
		if alive(known.holder) {
			continue
		}
		p.end(grant, pool.Outcome{End: pool.EndOrphaned, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport})
		n++
	}
	return n
}
