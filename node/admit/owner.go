package admit

import (
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/ownership"
)

// owners remembers who owns each pool for as long as one round of upkeep.
// Asking the view and hashing its members for every request cost more than
// the grant itself; the view lags by more than that round.
type owners struct {
	mu    sync.RWMutex
	known map[poolKey]knownOwner
}

type knownOwner struct {
	member seam.Member
	found  bool
	at     time.Time
}

func (o *owners) get(key poolKey, notBefore time.Time) (knownOwner, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	k, ok := o.known[key]
	return k, ok && !k.at.Before(notBefore)
}

func (o *owners) put(key poolKey, k knownOwner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil {
		o.known = map[poolKey]knownOwner{}
	}
	o.known[key] = k
}

// forget makes the next question ask the view again.
func (o *owners) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.known)
}

// owner returns the owner of a pool as this entry VM saw it a moment ago.
func (a *Admit) owner(key poolKey) (seam.Member, bool) {
	if k, ok := a.owners.get(key, time.Now().Add(-a.cfg.Upkeep)); ok {
		return k.member, k.found
	}
	return a.lookUpOwner(key)
}

// lookUpOwner returns the strongest claim on a pool among the members in the
// view that answer this entry VM.
func (a *Admit) lookUpOwner(key poolKey) (seam.Member, bool) {
	k := knownOwner{at: time.Now()}
	members := a.cfg.Members.InZone(a.zone)
	names := make([]steering.VM, 0, len(members))
	for _, m := range members {
		if !a.reach.isDown(m.VM) {
			names = append(names, m.VM)
		}
	}
	first := ownership.First(key.place, key.service, names, 1)
	for _, m := range members {
		if len(first) > 0 && m.VM == first[0] {
			k.member, k.found = m, true
		}
	}
	a.owners.put(key, k)
	return k.member, k.found
}
