package admit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// takeOver makes this entry VM the owner of a pool. In the background, it finds
// out which slots are in use and then starts granting. Slot requests that arrive
// meanwhile wait.
func (a *Controller) takeOver(p *poolState) {
	term := p.startTakeover()
	a.metrics.takeovers.Inc(1)
	a.runInBackground(func(ctx context.Context) {
		started := time.Now()
		s := a.surveyUntilAgreed(ctx, p.key, started.Add(a.cfg.AgreementTimeout))
		held := s.held
		loads := a.readLoads(ctx, p.targets())
		if p.startGranting(term, s, func() ownHoldings { return a.holdings(p.key) }, loads) {
			level.Info(a.cfg.Log).Log("msg", "pool takeover completed", "place", p.key.place, "service", p.key.service,
				"held", len(held), "loads", len(loads), "took", time.Since(started))
		}
	})
}

// survey is what the members of the zone report about a pool.
type survey struct {
	held     []holding
	agreed   bool // no member grants the pool's slots or names another owner
	surveyed incarnations
	pending  map[steering.VM][]string // IDs of open slot requests, by member that responded
}

// incarnations maps members to the process incarnation that was asked.
type incarnations map[steering.VM]steering.Incarnation

// surveyUntilAgreed asks the members of the zone which grants they hold until they
// agree that this entry VM owns the pool, or until the given time.
//
// Two owners of one pool would offer its targets twice their slots, and the
// targets would shed the excess. A member that still names another owner, or
// grants the pool's slots itself, has a view that is about to change or that is
// more recent than this one. The wait is bounded, because the zone has to serve
// requests even if its members never agree.
func (a *Controller) surveyUntilAgreed(ctx context.Context, key poolKey, until time.Time) survey {
	for {
		s := a.survey(ctx, key)
		if s.agreed {
			return s
		}
		if !time.Now().Before(until) {
			a.metrics.disagreements.Inc(1)
			return s
		}
		if !sleep(ctx, surveyRetryInterval) {
			return s
		}
	}
}

func (a *Controller) survey(ctx context.Context, key poolKey) survey {
	s := survey{agreed: true, surveyed: incarnations{}, pending: map[steering.VM][]string{}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range a.zonePeers() {
		s.surveyed[m.VM] = m.Incarnation
	}
	for _, m := range a.zonePeers() {
		calls.Go(func() {
			reply, err := a.askHoldings(ctx, m, key)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.addReply(m.VM, reply, a.self.vm)
		})
	}
	calls.Wait()
	return s
}

// zonePeers returns the other reachable members of the zone, which may hold slots.
// The slots that an unreachable member holds show in the loads of the targets.
func (a *Controller) zonePeers() []seam.Member {
	var zonePeers []seam.Member
	for _, m := range a.cfg.Members.All() {
		if m.Zone == a.zone && m.VM != a.self.vm && m.State != seam.MemberGone && !a.reachability.isDown(m.VM) {
			zonePeers = append(zonePeers, m)
		}
	}
	return zonePeers
}

// surveyNewMembers asks the members, or new incarnations of members, that were not
// asked during the takeover of a pool. It repeats the takeover if one of them also
// grants the pool's slots, names another owner or holds a grant that this entry VM
// doesn't know.
//
// Until two entry VMs know of each other, both may own a pool. The remaining owner
// has to learn what the other one granted; otherwise targets are offered more than
// their slots until those requests have ended, and shed the excess. Granting
// continues during the survey, because most new members hold nothing.
func (a *Controller) surveyNewMembers(p *poolState, zonePeers []seam.Member) {
	for _, m := range p.newMembers(zonePeers) {
		a.runInBackground(func(ctx context.Context) {
			reply, err := a.askHoldings(ctx, m, p.key)
			if err == nil && !p.agrees(reply) {
				a.takeOver(p)
			}
		})
	}
}

// newMembers returns the members whose current incarnation was not asked yet, and
// records them as asked. A member that disappears and returns is asked again.
func (p *poolState) newMembers(zonePeers []seam.Member) []seam.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return nil
	}
	var fresh []seam.Member
	present := incarnations{}
	for _, m := range zonePeers {
		known, surveyed := p.surveyed[m.VM]
		if !surveyed || m.Incarnation != "" && m.Incarnation != known {
			fresh = append(fresh, m)
			known = m.Incarnation
		}
		present[m.VM] = known
	}
	p.surveyed = present
	return fresh
}

// agrees reports whether a member names this entry VM as the owner, doesn't grant
// the pool's slots itself and holds no grant that is unknown here.
func (p *poolState) agrees(reply *peerpb.HoldingsReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != roleOwner {
		return true // no longer the owner
	}
	if reply.Granting || reply.OwnerVm != string(p.self) {
		return false
	}
	return !slices.ContainsFunc(reply.Held, func(in *peerpb.Holding) bool {
		return p.issued[in.Grant] == nil
	})
}

func (s *survey) addReply(from steering.VM, reply *peerpb.HoldingsReply, self steering.VM) {
	if reply.Granting || reply.OwnerVm != string(self) {
		s.agreed = false
	}
	s.surveyed[from] = steering.Incarnation(reply.Incarnation)
	s.pending[from] = reply.Asking
	for _, in := range reply.Held {
		s.held = append(s.held, holding{
			grant:       in.Grant,
			slotRequest: in.RequestId,
			target:      steering.Target(in.Target),
			holder:      holder{from, steering.Incarnation(reply.Incarnation)},
		})
	}
}

// askHoldings asks a member what it holds of a pool. The timeout is twice
// Config.PeerTimeout, because the callee may first probe the members that this
// entry VM reports as unreachable.
func (a *Controller) askHoldings(ctx context.Context, m seam.Member, key poolKey) (*peerpb.HoldingsReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*a.cfg.PeerTimeout)
	defer cancel()
	return a.cfg.Peers.To(m.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{
		Place:       string(key.place),
		Service:     string(key.service),
		FromVm:      string(a.self.vm),
		Unreachable: a.reachability.unreachable(),
	})
}

// ownHoldings are the grants that this entry VM itself holds of a pool, and the
// IDs of its open slot requests.
type ownHoldings struct {
	held    []holding
	pending []string
}

func (a *Controller) holdings(key poolKey) ownHoldings {
	grants, requests := a.held.list(key)
	own := ownHoldings{pending: requests}
	for _, g := range grants {
		own.held = append(own.held, holding{grant: g.slot.grant, slotRequest: g.slotRequest, target: g.slot.target.Name, holder: a.self})
	}
	return own
}

// readLoads reads the loads of targets. Targets that don't respond are missing in
// the result.
func (a *Controller) readLoads(ctx context.Context, targets []routing.Target) map[steering.Target]Load {
	loads := make(map[steering.Target]Load, len(targets))
	var mu sync.Mutex
	var reads sync.WaitGroup
	slots := make(chan struct{}, maxParallelLoadReads)
	for _, t := range targets {
		if t.Address == "" {
			continue
		}
		reads.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, a.cfg.PeerTimeout)
			defer cancel()
			load, err := a.cfg.Loads.ReadLoad(callCtx, t.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[t.Name] = load
		})
	}
	reads.Wait()
	return loads
}
