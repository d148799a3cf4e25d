package admit

import (
	"context"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Server answers the calls of other entry VMs that concern pools: Acquire,
// Release and Holdings of peerpb.Peer.
type Server struct {
	admit *Admit
}

// Server returns the part that the peer listener serves.
func (a *Admit) Server() *Server { return &Server{a} }

// Acquire waits for a slot in a pool that this entry VM counts.
func (s *Server) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	a := s.admit
	a.metrics.askedByOthers.Inc(1)
	key := poolKey{steering.Place(r.Place), steering.Service(r.Service)}
	h := a.pool(key)
	if h == nil {
		return a.reply(answer{kind: answerMoved}, nil), nil
	}
	a.noticePause()
	a.confirmDown(ctx, r.Unreachable)
	a.followUnlessOwner(h)
	got := h.acquire(ctx, askOf(r))
	return a.reply(got, h), nil
}

func askOf(r *peerpb.AcquireRequest) ask {
	request := ask{
		id:       r.RequestId,
		holder:   holder{steering.VM(r.FromVm), steering.Incarnation(r.FromIncarnation)},
		class:    routing.Criticality(min(r.Criticality, uint32(routing.Sheddable))),
		foreign:  r.Foreign,
		patient:  r.Patient,
		deadline: time.Now().Add(time.Duration(r.DeadlineMs) * time.Millisecond),
	}
	for _, t := range r.Avoid {
		request.avoid = append(request.avoid, steering.Target(t))
	}
	return request
}

func (a *Admit) reply(got answer, h *hosted) *peerpb.AcquireReply {
	reply := &peerpb.AcquireReply{OwnerIncarnation: string(a.self.incarnation)}
	switch got.kind {
	case answerGranted:
		reply.Target = string(got.slot.target.Name)
		reply.Address = got.slot.target.Address
		reply.Grant = got.slot.grant
	case answerRefused:
		reply.Refusal = &peerpb.RefusalInfo{
			Reason:       string(got.refusal.Reason),
			Ran:          uint32(got.refusal.Ran),
			RetryAfterMs: got.refusal.RetryAfter.Milliseconds(),
			Detail:       got.refusal.Detail,
		}
	default:
		reply.NotOwner = true
	}
	if h == nil {
		return reply
	}
	if owner, known := a.owner(h.key); known && reply.NotOwner {
		reply.OwnerVm = string(owner.VM)
	}
	if !reply.NotOwner {
		reply.Free = int32(h.free())
	}
	return reply
}

// Release takes the ends of grants that this entry VM counts. Unknown ones are
// ignored: a release may arrive twice, or after another entry VM took over.
func (s *Server) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	for _, end := range r.Ended {
		h := s.admit.pool(poolKey{steering.Place(end.Place), steering.Service(end.Service)})
		if h == nil {
			continue
		}
		h.release(end.Grant, seam.Outcome{
			Kind:             seam.OutcomeKind(end.Kind),
			Latency:          time.Duration(end.LatencyUs) * time.Microsecond,
			ReportedInFlight: int(end.ReportedInFlight),
			ReportedSlots:    int(end.ReportedSlots),
		})
	}
	return &peerpb.ReleaseReply{}, nil
}

// Holdings lists what this entry VM holds of a pool and whom it takes for the
// owner. A call without a place is a probe.
func (s *Server) Holdings(ctx context.Context, r *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	a := s.admit
	reply := &peerpb.HoldingsReply{Incarnation: string(a.self.incarnation)}
	if r.Place == "" {
		return reply, nil
	}
	a.confirmDown(ctx, r.Unreachable)
	key := poolKey{steering.Place(r.Place), steering.Service(r.Service)}
	if h := a.pool(key); h != nil {
		a.follow(h)
		current, _ := h.state()
		if r.Left && current == roleOwner {
			a.take(h)
		}
		reply.Granting = current == roleOwner
	}
	if owner, known := a.owner(key); known {
		reply.OwnerVm = string(owner.VM)
	}
	grants, asks := a.held.of(key)
	reply.Asking = asks
	for _, g := range grants {
		reply.Held = append(reply.Held, &peerpb.Holding{Grant: g.slot.grant, Target: string(g.slot.target.Name), RequestId: g.ask})
	}
	return reply, nil
}
