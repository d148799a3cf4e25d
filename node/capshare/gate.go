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

// passage is a way that requests of a service take under a shift.
type passage struct {
	service     steering.Service // empty stands for those not named otherwise
	home, place steering.Place
}

// boundTable says which caps bind which requests. It is immutable.
type boundTable struct {
	byPassage map[passage][]*share
}

// newBoundTable lists the caps that bind work admitted in a zone, in order of
// name.
func newBoundTable(s *routing.Snapshot, shares map[string]*share, zone steering.Zone) *boundTable {
	t := &boundTable{byPassage: map[passage][]*share{}}
	services := boundServices(s)
	for _, name := range capNames(s) {
		c := s.Caps[name]
		if c == nil || s.Shifts[c.Shift] == nil || shares[name] == nil {
			continue
		}
		for _, service := range services {
			t.add(s, s.Shifts[c.Shift], shares[name], service, zone)
		}
	}
	return t
}

// boundServices lists the services that shifts name, and the empty one for the
// rest.
func boundServices(s *routing.Snapshot) []steering.Service {
	services := []steering.Service{""}
	for _, shift := range s.Shifts {
		if !slices.Contains(services, shift.Service) {
			services = append(services, shift.Service)
		}
	}
	return services
}

// add lists a share for a service if its shift moves that service.
func (t *boundTable) add(s *routing.Snapshot, shift *routing.Shift, sh *share, service steering.Service, zone steering.Zone) {
	if shift.Service != "" && shift.Service != service {
		return
	}
	for _, to := range shift.To {
		if place := s.Places[to]; place == nil || place.Zone != zone {
			continue
		}
		for _, from := range shift.From {
			way := passage{service, from, to}
			t.byPassage[way] = append(t.byPassage[way], sh)
		}
	}
}

// of returns the shares whose caps bind a request; the slice must not be
// changed.
func (t *boundTable) of(service steering.Service, home, place steering.Place) []*share {
	if shares, named := t.byPassage[passage{service, home, place}]; named {
		return shares
	}
	return t.byPassage[passage{"", home, place}]
}

// noCap is the permit of a request that no cap binds.
type noCap struct{}

func (noCap) Done(bool) {}

// taken are the permits of one request.
type taken struct {
	shares  []*share
	permits []caps.Permit
	// one is where the permit is kept in the usual case of one cap.
	one [1]caps.Permit
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

// Admit implements seam.CapLimiter.
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
		if short.paused {
			return nil, k.refuse(short)
		}
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
		sh.holder.CountRequest(now)
		sh.mu.Unlock()
	}
}

// shortage says which cap had no permit and when that may change.
type shortage struct {
	sh    *share
	freed <-chan struct{}
	next  time.Duration
	limit int
	// paused is set while this process only has what it knew before a pause.
	//
	// What goes wrong without it: a VM that is suspended for minutes is listed
	// as gone and its seat goes to others; it wakes with its permits in memory
	// and starts requests with them, beyond the cap, until it hears of its seat.
	paused bool
}

// take takes a permit of every share, or of none.
func (k *Caps) take(shares []*share) (*taken, *shortage) {
	if !k.config.ConfirmedSincePause() {
		return nil, &shortage{sh: shares[0], next: settleWait, paused: true}
	}
	t := &taken{shares: shares}
	t.permits = t.one[:0]
	for i, sh := range shares {
		permit, short := sh.take()
		if short != nil {
			t.shares = shares[:i]
			t.Done(false)
			return nil, short
		}
		t.permits = append(t.permits, permit)
	}
	k.metrics.admitted.Inc(1)
	return t, nil
}

// take takes one permit, and asks for a loan ahead when it was the last.
func (s *share) take() (caps.Permit, *shortage) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	permit, ok := s.holder.Take(now)
	if !ok {
		return permit, &shortage{sh: s, freed: s.freed, next: s.holder.NextFree(now), limit: s.holder.Rule().Requests}
	}
	if s.holder.Free(now) == 0 {
		s.hunger()
	}
	return permit, nil
}

// settleWait is when to come back to an entry VM that was paused: by then a
// peer has answered it.
const settleWait = time.Second

func (k *Caps) refuse(short *shortage) error {
	k.metrics.refused.Inc(1)
	short.sh.refused.Add(1)
	if short.paused {
		return steering.Refuse(steering.ReasonCapReached, short.next,
			fmt.Sprintf("cap %s: this entry VM was paused and has not heard from others since", short.sh.name))
	}
	return steering.Refuse(steering.ReasonCapReached, short.next,
		fmt.Sprintf("cap %s of %d per window has no free permit here", short.sh.name, short.limit))
}
