package admit

import (
	"context"
	"fmt"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
)

// defaultDeadline stands in for a request without a deadline.
const defaultDeadline = 10 * time.Second

// Acquire implements seam.Admitter. Work from another zone first takes its
// part of the link into the place, when that has a limit.
func (a *Admit) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(defaultDeadline)
	}
	var link *grant
	if r.Foreign && a.pool(linkOf(r.Place)) != nil && a.linkLimited(r.Place) {
		got, refusal := a.acquire(ctx, linkOf(r.Place), r)
		if refusal != nil {
			return nil, a.metrics.refused(refusal)
		}
		link = got
	}
	got, refusal := a.acquire(ctx, poolKey{r.Place, r.Service}, r)
	if refusal != nil {
		if link != nil {
			link.Done(notSent())
		}
		return nil, a.metrics.refused(refusal)
	}
	got.link = link
	a.metrics.granted.Inc(1)
	return got, nil
}

// notSent is the outcome of a grant that was not used.
func notSent() seam.Outcome {
	return seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}
}

func (a *Admit) linkLimited(place steering.Place) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil {
		return false
	}
	p, ok := a.snapshot.Places[place]
	return ok && p.LinkInFlight > 0
}

// acquire gets a slot of one pool from whoever counts it.
func (a *Admit) acquire(ctx context.Context, key poolKey, r seam.AdmitRequest) (*grant, *steering.Refusal) {
	h := a.pool(key)
	if h == nil {
		return nil, steering.Refuse(steering.ReasonNoTarget, 0, fmt.Sprintf("service %s at place %s", key.service, key.place))
	}
	request := a.ask(key, r)
	a.held.asking(key, request.id)
	defer a.held.answered(key, request.id)
	var vouched steering.VM
	for range acquireTries {
		owner, known := a.whomToAsk(key, vouched)
		if !known {
			break
		}
		var got answer
		if owner.VM == a.self.vm {
			got = a.acquireHere(ctx, h, request)
		} else {
			got = a.acquireFrom(ctx, owner, vouched, key, request)
		}
		switch got.kind {
		case answerGranted:
			return a.hold(key, got.slot, request), nil
		case answerRefused:
			return nil, got.refusal
		case answerUnreachable:
			vouched = "" // the next in order counts the pool now
			continue
		}
		if got.owner != "" && got.owner != vouched && got.owner != a.self.vm {
			vouched = got.owner
			continue
		}
		vouched = ""
		if !sleep(ctx, settleRetry) {
			return nil, cancelled(ctx).refusal
		}
	}
	return nil, steering.Refuse(steering.ReasonPeerDown, peerRetryAfter, fmt.Sprintf("owner of service %s at place %s", key.service, key.place))
}

// whomToAsk returns the pool's owner, or the entry VM that the owner in this
// view vouched for: views differ while the zone's members change, and a second
// owner would count the same slots again.
func (a *Admit) whomToAsk(key poolKey, vouched steering.VM) (seam.Member, bool) {
	if vouched != "" {
		if m, known := a.member(vouched); known && !a.reach.isDown(vouched) {
			return m, true
		}
	}
	return a.owner(key)
}

func (a *Admit) ask(key poolKey, r seam.AdmitRequest) ask {
	request := ask{
		id:       fmt.Sprintf("%s#%d", r.ID, a.serial.Add(1)),
		holder:   a.self,
		class:    a.class(r.Service),
		foreign:  r.Foreign,
		patient:  r.Patient,
		deadline: r.Deadline,
	}
	if !key.isLink() {
		request.avoid = r.Avoid
	}
	return request
}

func (a *Admit) class(service steering.Service) routing.Criticality {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil {
		return routing.Normal
	}
	return classOf(a.snapshot, service)
}

// acquireHere asks this entry VM's own count, which it first has to take when
// its view has just named it.
func (a *Admit) acquireHere(ctx context.Context, h *hosted, request ask) answer {
	a.noticePause()
	a.followUnlessOwner(h)
	return h.acquire(ctx, request)
}

// acquireFrom asks another entry VM.
func (a *Admit) acquireFrom(ctx context.Context, owner seam.Member, vouched steering.VM, key poolKey, request ask) answer {
	a.metrics.asked.Inc(1)
	wait := min(a.cfg.MaxWait+a.cfg.AskSlack, time.Until(request.deadline))
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	open := a.asks.take(owner, cancel)
	if open == nil {
		return answer{kind: answerRefused, refusal: steering.Refuse(steering.ReasonQueueFull, peerRetryAfter, fmt.Sprintf("calls to %s, which counts the slots", owner.VM))}
	}
	defer a.asks.give(open)
	reply, err := a.cfg.AcquirePeers.To(owner.PeerAddress).Acquire(callCtx, acquireRequest(key, request, a.reach.unreachable()))
	if err == nil {
		return a.readReply(owner, vouched, key, reply)
	}
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	if !time.Now().Before(request.deadline) {
		return answer{kind: answerRefused, refusal: tooLate()}
	}
	a.metrics.ownerUnreachable.Inc(1)
	a.failed(owner)
	return answer{kind: answerUnreachable}
}

func acquireRequest(key poolKey, request ask, unreachable []string) *peerpb.AcquireRequest {
	message := &peerpb.AcquireRequest{
		FromVm:          string(request.holder.vm),
		FromIncarnation: string(request.holder.incarnation),
		RequestId:       request.id,
		Place:           string(key.place),
		Service:         string(key.service),
		DeadlineMs:      time.Until(request.deadline).Milliseconds(),
		Foreign:         request.foreign,
		Patient:         request.patient,
		Criticality:     uint32(request.class),
		Unreachable:     unreachable,
	}
	for _, t := range request.avoid {
		message.Avoid = append(message.Avoid, string(t))
	}
	return message
}

// readReply takes an owner's reply.
//
// A reply may come from an entry VM that was paused with the grant decided and
// is no longer the owner. Such a grant was not counted by the new owner; using
// it would push the target over its slots. It is given back unused.
func (a *Admit) readReply(owner seam.Member, vouched steering.VM, key poolKey, reply *peerpb.AcquireReply) answer {
	if reply.NotOwner {
		return answer{kind: answerMoved, owner: steering.VM(reply.OwnerVm)}
	}
	a.facts.note(key, int(reply.Free), time.Now())
	if reply.Refusal != nil {
		return answer{kind: answerRefused, refusal: refusalOf(reply.Refusal)}
	}
	if owner.VM != vouched && !a.stillOwner(key, owner.VM, steering.Incarnation(reply.OwnerIncarnation)) {
		a.metrics.staleGrants.Inc(1)
		unused := slot{grant: reply.Grant, target: routing.Target{Name: steering.Target(reply.Target)}}
		a.back.send(owner.VM, grantEnd(key, unused, notSent()))
		return answer{kind: answerMoved}
	}
	return answer{kind: answerGranted, slot: slot{grant: reply.Grant, owner: owner.VM, target: a.target(key, reply)}}
}

// stillOwner says whether the view lets an entry VM grant slots of a pool now.
func (a *Admit) stillOwner(key poolKey, vm steering.VM, incarnation steering.Incarnation) bool {
	owner, known := a.owner(key)
	if !known || owner.VM != vm {
		return false
	}
	return owner.Incarnation == "" || owner.Incarnation == incarnation
}

// target completes a granted target from this entry VM's own configuration.
func (a *Admit) target(key poolKey, reply *peerpb.AcquireReply) routing.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.snapshot.Targets[steering.Target(reply.Target)]; ok {
		return *known
	}
	return routing.Target{
		Name:    steering.Target(reply.Target),
		Service: key.service,
		Place:   key.place,
		Address: reply.Address,
	}
}

func refusalOf(info *peerpb.RefusalInfo) *steering.Refusal {
	return &steering.Refusal{
		Reason:     steering.Reason(info.Reason),
		Ran:        steering.Ran(info.Ran),
		RetryAfter: time.Duration(info.RetryAfterMs) * time.Millisecond,
		Detail:     info.Detail,
	}
}

// sleep waits and returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
