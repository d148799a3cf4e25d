package admit

import (
	"slices"
	"sync"

	"heatherlock/node/seam"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// registry knows what this entry VM holds and asks for.
type registry struct {
	mu    sync.Mutex
	pools map[poolKey]*poolHeld
}

type poolHeld struct {
	grants map[string]*grant
	asks   map[string]struct{}
}

func newRegistry() *registry { return &registry{pools: map[poolKey]*poolHeld{}} }

func (r *registry) pool(key poolKey) *poolHeld {
	p, ok := r.pools[key]
	if !ok {
		p = &poolHeld{grants: map[string]*grant{}, asks: map[string]struct{}{}}
		r.pools[key] = p
	}
	return p
}

func (r *registry) asking(key poolKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(key).asks[id] = struct{}{}
}

func (r *registry) answered(key poolKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pool(key).asks, id)
}

func (r *registry) add(g *grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(g.key).grants[g.slot.grant] = g
}

// remove returns false when the grant was removed before.
func (r *registry) remove(g *grant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.pool(g.key).grants
	if _, ok := held[g.slot.grant]; !ok {
		return false
	}
	delete(held, g.slot.grant)
	return true
}

// of returns what is held of a pool and asked for, in order of name.
func (r *registry) of(key poolKey) (grants []*grant, asks []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[key]
	if !ok {
		return nil, nil
	}
	for _, g := range p.grants {
		grants = append(grants, g)
	}
	slices.SortFunc(grants, func(a, b *grant) int { return compare(a.slot.grant, b.slot.grant) })
	for id := range p.asks {
		asks = append(asks, id)
	}
	slices.Sort(asks)
	return grants, asks
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// grant implements seam.Grant.
type grant struct {
	admit *Admit
	key   poolKey
	slot  slot
	ask   string
	link  *grant // of the link into the place; nil when it has no limit
}

// hold registers a slot that this entry VM was granted.
func (a *Admit) hold(key poolKey, s slot, request ask) *grant {
	g := &grant{admit: a, key: key, slot: s, ask: request.id}
	a.held.add(g)
	return g
}

// Target implements seam.Grant.
func (g *grant) Target() routing.Target { return g.slot.target }

// Done implements seam.Grant.
func (g *grant) Done(o seam.Outcome) {
	if !g.admit.held.remove(g) {
		return
	}
	g.admit.back.end(g, o)
	if g.link != nil {
		g.link.Done(seam.Outcome{Kind: linkKind(o.Kind), Latency: o.Latency, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport})
	}
}

// linkKind says how work ended for the link: what the target does afterwards
// does not matter to it.
func linkKind(k seam.OutcomeKind) seam.OutcomeKind {
	if k == seam.OutcomeUnreachable || k == seam.OutcomeUnused {
		return seam.OutcomeUnused
	}
	return seam.OutcomeOK
}
