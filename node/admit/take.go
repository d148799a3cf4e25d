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

// take begins to count a pool: it finds out what is in use, in the background,
// and then grants. Asks that arrive meanwhile wait.
func (a *Admit) take(h *hosted) {
	term := h.startTaking()
	a.metrics.takeovers.Inc(1)
	a.goWork(func(ctx context.Context) {
		begun := time.Now()
		s := a.gather(ctx, h.key, begun.Add(a.cfg.AgreeFor))
		held := s.held
		loads := a.readLoads(ctx, h.targets())
		if h.open(term, s, func() ownHoldings { return a.holdings(h.key) }, loads) {
			level.Info(a.cfg.Log).Log("msg", "counting slots of a pool", "place", h.key.place, "service", h.key.service,
				"held", len(held), "loads", len(loads), "took", time.Since(begun))
		}
	})
}

// survey is what the zone's members say of a pool.
type survey struct {
	held   []holding
	agreed bool // nobody counts the pool or names another owner
	asked  lives
	asking map[steering.VM][]string // asks without a reply yet, of those that answered
}

// lives are the members that were asked, with the process life that answered.
type lives map[steering.VM]steering.Incarnation

// gather asks the zone's members what they hold until they agree that this
// entry VM owns the pool, or until the time is up.
//
// Two entry VMs that count one pool offer its targets twice their slots; the
// targets' sheds would show it. A member that still names another owner, or
// counts the pool itself, has a view that will soon change, or knows better
// than this one. Waiting is bounded, because a zone must serve what it can even
// when its members never agree.
func (a *Admit) gather(ctx context.Context, key poolKey, until time.Time) survey {
	for {
		s := a.survey(ctx, key)
		if s.agreed {
			return s
		}
		if !time.Now().Before(until) {
			a.metrics.disagreements.Inc(1)
			return s
		}
		if !sleep(ctx, agreeRetry) {
			return s
		}
	}
}

func (a *Admit) survey(ctx context.Context, key poolKey) survey {
	s := survey{agreed: true, asked: lives{}, asking: map[steering.VM][]string{}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range a.mates() {
		s.asked[m.VM] = m.Incarnation
	}
	for _, m := range a.mates() {
		calls.Go(func() {
			reply, err := a.askHoldings(ctx, m, key)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.take(m.VM, reply, a.self.vm)
		})
	}
	calls.Wait()
	return s
}

// mates returns the other members of the zone that may hold slots. What a
// silent member holds shows in the targets' loads.
func (a *Admit) mates() []seam.Member {
	var mates []seam.Member
	for _, m := range a.cfg.Members.All() {
		if m.Zone == a.zone && m.VM != a.self.vm && m.State != seam.MemberGone && !a.reach.isDown(m.VM) {
			mates = append(mates, m)
		}
	}
	return mates
}

// greet asks process lives of the zone that were not asked when this entry VM
// began to count a pool, and takes the pool afresh when one of them counts it
// too, names another owner or holds what this entry VM does not know of.
//
// Until two entry VMs know of each other, both may count a pool. The one that
// goes on counting it must learn what the other granted, or targets are offered
// more than their slots until that work has ended; their sheds would show it.
// Most newcomers hold nothing, and granting goes on while they are asked.
func (a *Admit) greet(h *hosted, mates []seam.Member) {
	for _, m := range h.newcomers(mates) {
		a.goWork(func(ctx context.Context) {
			reply, err := a.askHoldings(ctx, m, h.key)
			if err == nil && !h.agrees(reply) {
				a.take(h)
			}
		})
	}
}

// newcomers returns the process lives that were not asked, and notes them as
// asked. One that goes and comes back is asked again.
func (h *hosted) newcomers(mates []seam.Member) []seam.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return nil
	}
	var fresh []seam.Member
	present := lives{}
	for _, m := range mates {
		known, asked := h.asked[m.VM]
		if !asked || m.Incarnation != "" && m.Incarnation != known {
			fresh = append(fresh, m)
			known = m.Incarnation
		}
		present[m.VM] = known
	}
	h.asked = present
	return fresh
}

// agrees reports whether a member takes this entry VM for the owner and holds
// nothing that is not counted here.
func (h *hosted) agrees(reply *peerpb.HoldingsReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.role != roleOwner {
		return true // no longer counted here
	}
	if reply.Granting || reply.OwnerVm != string(h.self) {
		return false
	}
	return !slices.ContainsFunc(reply.Held, func(in *peerpb.Holding) bool {
		return h.issued[in.Grant] == nil
	})
}

func (s *survey) take(from steering.VM, reply *peerpb.HoldingsReply, self steering.VM) {
	if reply.Granting || reply.OwnerVm != string(self) {
		s.agreed = false
	}
	s.asked[from] = steering.Incarnation(reply.Incarnation)
	s.asking[from] = reply.Asking
	for _, in := range reply.Held {
		s.held = append(s.held, holding{
			grant:  in.Grant,
			ask:    in.RequestId,
			target: steering.Target(in.Target),
			holder: holder{from, steering.Incarnation(reply.Incarnation)},
		})
	}
}

// askHoldings bounds the call by twice the peer timeout, since the callee may
// itself probe a member that does not answer us.
func (a *Admit) askHoldings(ctx context.Context, m seam.Member, key poolKey) (*peerpb.HoldingsReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*a.cfg.PeerTimeout)
	defer cancel()
	return a.cfg.Peers.To(m.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{
		Place:       string(key.place),
		Service:     string(key.service),
		FromVm:      string(a.self.vm),
		Unreachable: a.reach.unreachable(),
	})
}

// ownHoldings is what this entry VM itself holds of a pool and asks for.
type ownHoldings struct {
	held   []holding
	asking []string
}

func (a *Admit) holdings(key poolKey) ownHoldings {
	grants, asks := a.held.of(key)
	own := ownHoldings{asking: asks}
	for _, g := range grants {
		own.held = append(own.held, holding{grant: g.slot.grant, ask: g.ask, target: g.slot.target.Name, holder: a.self})
	}
	return own
}

// readLoads asks targets for their load; those that do not answer are left
// out.
func (a *Admit) readLoads(ctx context.Context, targets []routing.Target) map[steering.Target]Load {
	loads := make(map[steering.Target]Load, len(targets))
	var mu sync.Mutex
	var reads sync.WaitGroup
	slots := make(chan struct{}, parallelReads)
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
