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

// maxPermitWait bounds the wait for a permit. The request holds a target's slot meanwhile, so the
// bound is only the time that asking a few holders of the same region takes.
const maxPermitWait = 25 * time.Millisecond

// route identifies the requests of a service that a shift moves from one place to another.
type route struct {
	service     steering.Service // empty for services that no shift names
	home, place steering.Place
}

// routeTable maps routes to the caps that apply to them. It is immutable.
type routeTable struct {
	byRoute map[route][]*share
}

// newRouteTable returns the caps that apply to requests admitted in a zone, ordered by name for
// each route.
func newRouteTable(s *routing.Snapshot, shares map[string]*share, zone steering.Zone) *routeTable {
	t := &routeTable{byRoute: map[route][]*share{}}
	services := servicesOfShifts(s)
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

// servicesOfShifts returns the services that shifts name, and the empty service for all others.
func servicesOfShifts(s *routing.Snapshot) []steering.Service {
	services := []steering.Service{""}
	for _, shift := range s.Shifts {
		if !slices.Contains(services, shift.Service) {
			services = append(services, shift.Service)
		}
	}
	return services
}

// add adds a share to the routes of a service if the shift moves that service.
func (t *routeTable) add(s *routing.Snapshot, shift *routing.Shift, sh *share, service steering.Service, zone steering.Zone) {
	if shift.Service != "" && shift.Service != service {
		return
	}
	for _, to := range shift.To {
		if place := s.Places[to]; place == nil || place.Zone != zone {
			continue
		}
		for _, from := range shift.From {
			key := route{service, from, to}
			t.byRoute[key] = append(t.byRoute[key], sh)
		}
	}
}

// sharesFor returns the shares of the caps that apply to a request. The slice must not be
// changed.
func (t *routeTable) sharesFor(service steering.Service, home, place steering.Place) []*share {
	if shares, found := t.byRoute[route{service, home, place}]; found {
		return shares
	}
	return t.byRoute[route{"", home, place}]
}

// uncapped is the permit of a request to which no cap applies.
type uncapped struct{}

func (uncapped) Done(bool) {}

// takenPermits are the permits of one request.
type takenPermits struct {
	shares  []*share
	permits []caps.Permit
	// inline stores the permit in the usual case of one cap, to save an allocation.
	inline [1]caps.Permit
}

// Done implements seam.CapPermit.
func (t *takenPermits) Done(sent bool) {
	now := time.Now()
	for i, sh := range t.shares {
		sh.mu.Lock()
		sh.holder.Done(now, t.permits[i], sent)
		if !sent {
			sh.signalFreed()
		}
		sh.mu.Unlock()
	}
}

// Admit implements seam.CapLimiter.
func (k *Caps) Admit(ctx context.Context, service steering.Service, home, place steering.Place) (seam.CapPermit, error) {
	shares := k.capTable.Load().sharesFor(service, home, place)
	if len(shares) == 0 {
		return uncapped{}, nil
	}
	countDemand(shares)
	t, short := k.take(shares)
	if short == nil {
		return t, nil
	}
	timeout := time.NewTimer(maxPermitWait)
	defer timeout.Stop()
	for {
		if short.paused {
			return nil, k.refuse(short)
		}
		short.sh.requestLoan()
		retry := time.NewTimer(short.retryAfter)
		select {
		case <-short.freed:
		case <-retry.C:
		case <-timeout.C:
			retry.Stop()
			return nil, k.refuse(short)
		case <-ctx.Done():
			retry.Stop()
			return nil, k.refuse(short)
		}
		retry.Stop()
		if t, short = k.take(shares); short == nil {
			return t, nil
		}
	}
}

func countDemand(shares []*share) {
	now := time.Now()
	for _, sh := range shares {
		sh.mu.Lock()
		sh.holder.CountRequest(now)
		sh.mu.Unlock()
	}
}

// shortage describes which cap had no free permit and when one may become free.
type shortage struct {
	sh         *share
	freed      <-chan struct{}
	retryAfter time.Duration
	limit      int
	// paused is set from a pause of this process until its state is confirmed.
	//
	// Without it, a VM that is suspended for minutes, listed as gone and replaced in its seat
	// would resume with the permits in its memory. It would start requests with them, beyond the
	// cap, until it receives the new seats.
	paused bool
}

// take takes a permit from every share, or from none.
func (k *Caps) take(shares []*share) (*takenPermits, *shortage) {
	if !k.config.ConfirmedSincePause() {
		return nil, &shortage{sh: shares[0], retryAfter: pausedRetryAfter, paused: true}
	}
	t := &takenPermits{shares: shares}
	t.permits = t.inline[:0]
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

// take takes one permit. If that was the last free one, it requests a loan in advance.
func (s *share) take() (caps.Permit, *shortage) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	permit, ok := s.holder.Take(now)
	if !ok {
		return permit, &shortage{sh: s, freed: s.freed, retryAfter: s.holder.NextFree(now), limit: s.holder.Rule().Requests}
	}
	if s.holder.Free(now) == 0 {
		s.requestLoan()
	}
	return permit, nil
}

// pausedRetryAfter is when a caller should retry after this process was paused. A peer has
// answered by then.
const pausedRetryAfter = time.Second

func (k *Caps) refuse(short *shortage) error {
	k.metrics.refused.Inc(1)
	short.sh.refused.Add(1)
	if short.paused {
		return steering.Refuse(steering.ReasonCapReached, short.retryAfter,
			fmt.Sprintf("cap %s: this entry VM was paused and has not heard from others since", short.sh.name))
	}
	return steering.Refuse(steering.ReasonCapReached, short.retryAfter,
		fmt.Sprintf("cap %s of %d per window has no free permit here", short.sh.name, short.limit))
}
