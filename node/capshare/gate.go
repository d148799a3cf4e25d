package capshare

import (
	"context"
	"fmt"
	"slices"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/caps"
	"heatherlock/steering/routing"
)

// admitWait bounds the wait for a permit. The request holds a target's slot
// meanwhile, so the wait is only as long as asking a few holders of the same
// region takes.
const admitWait = 25 * time.Millisecond

// passage is a way that requests take under a shift.
type passage struct {
	home, place steering.Place
}

// boundTable says which caps bind which requests. It is immutable.
type boundTable struct {
	byPassage map[passage][]boundCap
}

type boundCap struct {
	service steering.Service // empty means every service
	share   *share
}

// newBoundTable lists the caps that bind work admitted in a zone, in order of
// name.
func newBoundTable(s *routing.Snapshot, shares map[string]*share, zone steering.Zone) *boundTable {
	t := &boundTable{byPassage: map[passage][]boundCap{}}
	for _, name := range capNames(s) {
		c := s.Caps[name]
		if c == nil || s.Shifts[c.Shift] == nil || shares[name] == nil {
			continue
		}
		t.add(s, s.Shifts[c.Shift], shares[name], zone)
	}
	return t
}

func (t *boundTable) add(s *routing.Snapshot, shift *routing.Shift, sh *share, zone steering.Zone) {
	for _, to := range shift.To {
		if place := s.Places[to]; place == nil || place.Zone != zone {
			continue
		}
		for _, from := range shift.From {
			way := passage{from, to}
			t.byPassage[way] = append(t.byPassage[way], boundCap{shift.Service, sh})
		}
	}
}

// of returns the shares whose caps bind a request.
func (t *boundTable) of(service steering.Service, home, place steering.Place) []*share {
	var shares []*share
	for _, b := range t.byPassage[passage{home, place}] {
		if b.service == "" || b.service == service {
			shares = append(shares, b.share)
		}
	}
	return shares
}

// noCap is the permit of a request that no cap binds.
type noCap struct{}

func (noCap) Done(bool) {}

// taken are the permits of one request.
type taken struct {
	shares  []*share
	permits []caps.Permit
}

// Done implements seam.CapPermit.
func (t *taken) Done(sent bool) {
	now := time.Now()
	for i, sh := range t.shares {
		sh.mu.Lock()
		sh.holder.Done(now, t.permits[i], sent)
		if !sent {
			sh.release()
		}
		sh.mu.Unlock()
	}
}

// Admit implements seam.CapGate.
func (k *Caps) Admit(ctx context.Context, service steering.Service, home, place steering.Place) (seam.CapPermit, error) {
	shares := k.bound.Load().of(service, home, place)
	if len(shares) == 0 {
		return noCap{}, nil
	}
	arrive(shares)
	t, short := k.take(shares)
	if short == nil {
		return t, nil
	}
	timeout := time.NewTimer(admitWait)
	defer timeout.Stop()
	for {
		short.sh.hunger()
		soon := time.NewTimer(short.next)
		select {
		case <-short.freed:
		case <-soon.C:
		case <-timeout.C:
			soon.Stop()
			return nil, k.refuse(short)
		case <-ctx.Done():
			soon.Stop()
			return nil, k.refuse(short)
		}
		soon.Stop()
		if t, short = k.take(shares); short == nil {
			return t, nil
		}
	}
}

func arrive(shares []*share) {
	now := time.Now()
	for _, sh := range shares {
		sh.mu.Lock()
		sh.holder.Arrive(now)
		sh.mu.Unlock()
	}
}

// shortage says which cap had no permit and when that may change.
type shortage struct {
	sh    *share
	freed <-chan struct{}
	next  time.Duration
	limit int
}

// take takes a permit of every share, or of none.
func (k *Caps) take(shares []*share) (*taken, *shortage) {
	t := &taken{shares: slices.Clone(shares)}
	for i, sh := range shares {
		now := time.Now()
		sh.mu.Lock()
		permit, ok := sh.holder.Take(now)
		if ok && sh.holder.Free(now) == 0 {
			sh.hunger()
		}
		short := &shortage{sh: sh, freed: sh.freed, next: sh.holder.NextFree(now), limit: sh.holder.Rule().Requests}
		sh.mu.Unlock()
		if !ok {
			t.shares = t.shares[:i]
			t.Done(false)
			return nil, short
		}
		t.permits = append(t.permits, permit)
	}
	k.metrics.admitted.Inc(1)
	return t, nil
}

func (k *Caps) refuse(short *shortage) error {
	k.metrics.refused.Inc(1)
	short.sh.refused.Add(1)
	return steering.Refuse(steering.ReasonCapReached, short.next,
		fmt.Sprintf("cap %s of %d per window has no free permit here", short.sh.name, short.limit))
}
