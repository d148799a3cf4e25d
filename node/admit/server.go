package admit

import (
	"context"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Server serves the pool methods of peerpb.Peer to other entry VMs: Acquire,
// Release and Holdings.
type Server struct {
	admit *Controller
}

// Server returns the server of the pool methods, for the peer listener.
func (a *Controller) Server() *Server { return &Server{a} }

// Acquire waits for a slot in a pool that this entry VM owns. If it doesn't own
// the pool, the reply names the owner in this VM's view.
func (s *Server) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	a := s.admit
	a.metrics.memberCalls.Inc(1)
	key := poolKey{steering.Place(r.Place), steering.Service(r.Service)}
	p := a.pool(key)
	if p == nil {
		return a.reply(result{kind: resultNotOwner}, nil), nil
	}
	a.detectPause()
	a.probeReportedUnreachable(ctx, r.Unreachable)
	a.updateRoleUnlessOwner(p)
	got := p.acquire(ctx, slotRequestOf(r))
	return a.reply(got, p), nil
}

func slotRequestOf(r *peerpb.AcquireRequest) slotRequest {
	request := slotRequest{
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

func (a *Controller) reply(got result, p *poolState) *peerpb.AcquireReply {
	reply := &peerpb.AcquireReply{OwnerIncarnation: string(a.self.incarnation)}
	switch got.kind {
	case resultGranted:
		reply.Target = string(got.slot.target.Name)
		reply.Address = got.slot.target.Address
		reply.Grant = got.slot.grant
	case resultRefused:
		reply.Refusal = &peerpb.RefusalInfo{
			Reason:       string(got.refusal.Reason),
			Ran:          uint32(got.refusal.Ran),
			RetryAfterMs: got.refusal.RetryAfter.Milliseconds(),
			Detail:       got.refusal.Detail,
		}
	default:
		reply.NotOwner = true
	}
	if p == nil {
		return reply
	}
	if owner, known := a.owner(p.key); known && reply.NotOwner {
		reply.OwnerVm = string(owner.VM)
	}
	if !reply.NotOwner {
		reply.Free = int32(p.free())
	}
	return reply
}

// maxRest bounds the rest of a target that another entry VM reports.
const maxRest = time.Hour

// Release ends grants of pools that this entry VM owns. Unknown grants are
// ignored: a release may arrive twice, or after another entry VM took over.
func (s *Server) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	for _, end := range r.Ended {
		p := s.admit.pool(poolKey{steering.Place(end.Place), steering.Service(end.Service)})
		if p == nil {
			continue
		}
		p.release(end.Grant, seam.Outcome{
			Kind:             seam.OutcomeKind(end.Kind),
			Latency:          time.Duration(end.LatencyUs) * time.Microsecond,
			ReportedInFlight: int(end.ReportedInFlight),
			ReportedSlots:    int(end.ReportedSlots),
			Rest:             time.Duration(min(max(end.RestMs, 0), maxRest.Milliseconds())) * time.Millisecond,
		})
	}
	return &peerpb.ReleaseReply{}, nil
}

// Holdings returns the grants that this entry VM holds of a pool, the IDs of its
// open slot requests, and the owner in its view. A call without a place is a probe.
func (s *Server) Holdings(ctx context.Context, r *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	a := s.admit
	reply := &peerpb.HoldingsReply{Incarnation: string(a.self.incarnation)}
	if r.Place == "" {
		return reply, nil
	}
	a.probeReportedUnreachable(ctx, r.Unreachable)
	key := poolKey{steering.Place(r.Place), steering.Service(r.Service)}
	if p := a.pool(key); p != nil {
		a.updateRole(p)
		current, _ := p.state()
		if r.Left && current == roleOwner {
			a.takeOver(p)
		}
		reply.Granting = current == roleOwner
	}
	if owner, known := a.owner(key); known {
		reply.OwnerVm = string(owner.VM)
	}
	grants, requests := a.held.list(key)
	reply.Asking = requests
	for _, g := range grants {
		reply.Held = append(reply.Held, &peerpb.Holding{Grant: g.slot.grant, Target: string(g.slot.target.Name), RequestId: g.slotRequest})
	}
	return reply, nil
}
