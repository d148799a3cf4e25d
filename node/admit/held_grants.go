package admit

import (
	"slices"
	"sync"

	"heatherlock/node/seam"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// heldGrants records, by pool, the grants that this entry VM holds and its slot
// requests without a reply yet. It is safe for concurrent use.
type heldGrants struct {
	mu    sync.Mutex
	pools map[poolKey]*poolGrants
}

type poolGrants struct {
	grants   map[string]*grant
	requests map[string]struct{}
}

func newHeldGrants() *heldGrants { return &heldGrants{pools: map[poolKey]*poolGrants{}} }

func (r *heldGrants) pool(key poolKey) *poolGrants {
	p, ok := r.pools[key]
	if !ok {
		p = &poolGrants{grants: map[string]*grant{}, requests: map[string]struct{}{}}
		r.pools[key] = p
	}
	return p
}

func (r *heldGrants) addRequest(key poolKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(key).requests[id] = struct{}{}
}

func (r *heldGrants) removeRequest(key poolKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pool(key).requests, id)
}

func (r *heldGrants) add(g *grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(g.key).grants[g.slot.grant] = g
}

// remove returns false if the grant is already removed.
func (r *heldGrants) remove(g *grant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.pool(g.key).grants
	if _, ok := held[g.slot.grant]; !ok {
		return false
	}
	delete(held, g.slot.grant)
	return true
}

// list returns the held grants and the IDs of the open slot requests of a pool,
// both sorted.
func (r *heldGrants) list(key poolKey) (grants []*grant, requests []string) {
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
	for id := range p.requests {
		requests = append(requests, id)
	}
	slices.Sort(requests)
	return grants, requests
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
	admit       *Controller
	key         poolKey
	slot        slot
	slotRequest string
	link        *grant // grant for the link into the place; nil if the link has no limit
}

// registerGrant records a slot that was granted to this entry VM.
func (a *Controller) registerGrant(key poolKey, s slot, request slotRequest) *grant {
	g := &grant{admit: a, key: key, slot: s, slotRequest: request.id}
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
	g.admit.releases.end(g, o)
	if g.link != nil {
		g.link.Done(seam.Outcome{Kind: linkOutcomeKind(o.Kind), Latency: o.Latency, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport})
	}
}

// linkOutcomeKind maps the outcome of a request to an outcome of the link's slot.
// The link only needs to know whether the request was sent; what the target did
// with it has no effect on the link.
func linkOutcomeKind(k seam.OutcomeKind) seam.OutcomeKind {
	if k == seam.OutcomeUnreachable || k == seam.OutcomeUnused {
		return seam.OutcomeUnused
	}
	return seam.OutcomeOK
}
