package admit

import (
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/ownership"
)

// ownerCache caches the owner of each pool for one upkeep interval. Reading the
// membership view and hashing its members for every request cost more than the
// grant itself. The staleness does no harm, because the view itself lags by more
// than this interval.
type ownerCache struct {
	mu    sync.RWMutex
	known map[poolKey]cachedOwner
}

type cachedOwner struct {
	member seam.Member
	found  bool
	at     time.Time
}

func (o *ownerCache) get(key poolKey, notBefore time.Time) (cachedOwner, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	k, ok := o.known[key]
	return k, ok && !k.at.Before(notBefore)
}

func (o *ownerCache) put(key poolKey, k cachedOwner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil {
		o.known = map[poolKey]cachedOwner{}
	}
	o.known[key] = k
}

// invalidate clears the cache, so that the next look-up reads the membership view.
func (o *ownerCache) invalidate() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.known)
}

// owner returns the owner of a pool, from the cache if possible.
func (a *Controller) owner(key poolKey) (seam.Member, bool) {
	if k, ok := a.ownerCache.get(key, time.Now().Add(-a.cfg.UpkeepInterval)); ok {
		return k.member, k.found
	}
	return a.lookUpOwner(key)
}

// lookUpOwner computes the owner of a pool by rendezvous hashing over the members
// in the view that are reachable from this entry VM, and caches it.
func (a *Controller) lookUpOwner(key poolKey) (seam.Member, bool) {
	k := cachedOwner{at: time.Now()}
	members := a.cfg.Members.InZone(a.zone)
	names := make([]steering.VM, 0, len(members))
	for _, m := range members {
		if !a.reachability.isDown(m.VM) {
			names = append(names, m.VM)
		}
	}
	first := ownership.First(key.place, key.service, names, 1)
	for _, m := range members {
		if len(first) > 0 && m.VM == first[0] {
			k.member, k.found = m, true
		}
	}
	a.ownerCache.put(key, k)
	return k.member, k.found
}
