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

// defaultDeadline applies to requests without a deadline.
const defaultDeadline = 10 * time.Second

// Acquire implements seam.Admitter. If the link into the place has a limit, a
// request from another zone first acquires a slot of the link.
func (a *Controller) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(defaultDeadline)
	}
	var link *grant
	if r.CrossZone && a.pool(linkOf(r.Place)) != nil && a.linkLimited(r.Place) {
		got, refusal := a.acquire(ctx, linkOf(r.Place), r)
		if refusal != nil {
			return nil, a.metrics.refused(refusal)
		}
		link = got
	}
	got, refusal := a.acquire(ctx, poolKey{r.Place, r.Service}, r)
	if refusal != nil {
		if link != nil {
			link.Done(unusedOutcome())
		}
		return nil, a.metrics.refused(refusal)
	}
	got.link = link
	a.metrics.granted.Inc(1)
	return got, nil
}

// unusedOutcome returns the outcome of a grant that was not used.
func unusedOutcome() seam.Outcome {
	return seam.Outcome{Kind: seam.OutcomeUnused, ReportedInFlight: pool.NoReport, ReportedSlots: pool.NoReport}
}

func (a *Controller) linkLimited(place steering.Place) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil {
		return false
	}
	p, ok := a.snapshot.Places[place]
	return ok && p.LinkInFlight > 0
}

// acquire gets a slot of one pool from the pool's owner. It retries up to
// maxAcquireAttempts times while the owner changes.
func (a *Controller) acquire(ctx context.Context, key poolKey, r seam.AdmitRequest) (*grant, *steering.Refusal) {
	p := a.pool(key)
	if p == nil {
		return nil, steering.Refuse(steering.ReasonNoTarget, 0, fmt.Sprintf("service %s at place %s", key.service, key.place))
	}
	request := a.slotRequest(key, r)
	a.held.addRequest(key, request.id)
	defer a.held.removeRequest(key, request.id)
	var redirect steering.VM
	for range maxAcquireAttempts {
		owner, known := a.currentOwner(key, redirect)
		if !known {
			break
		}
		var got result
		if owner.VM == a.self.vm {
			got = a.acquireLocal(ctx, p, request)
		} else {
			got = a.acquireRemote(ctx, owner, redirect, key, request)
		}
		switch got.kind {
		case resultGranted:
			return a.registerGrant(key, got.slot, request), nil
		case resultRefused:
			return nil, got.refusal
		case resultUnreachable:
			redirect = "" // the next VM in hash order owns the pool now
			continue
		}
		if got.owner != "" && got.owner != redirect && got.owner != a.self.vm {
			redirect = got.owner
			continue
		}
		redirect = ""
		if !sleep(ctx, retryInterval) {
			return nil, cancelledResult(ctx).refusal
		}
	}
	return nil, steering.Refuse(steering.ReasonPeerUnreachable, peerRetryAfter, fmt.Sprintf("owner of service %s at place %s", key.service, key.place))
}

// currentOwner returns the entry VM to ask for a slot: the one that the owner in
// this view redirected to, if it is reachable, and else the owner in this view.
// Membership views differ while the zone's members change; without following
// the redirect, a second owner would grant the same slots again.
func (a *Controller) currentOwner(key poolKey, redirect steering.VM) (seam.Member, bool) {
	if redirect != "" {
		if m, known := a.member(redirect); known && !a.reachability.isDown(redirect) {
			return m, true
		}
	}
	return a.owner(key)
}

func (a *Controller) slotRequest(key poolKey, r seam.AdmitRequest) slotRequest {
	request := slotRequest{
		id:       fmt.Sprintf("%s#%d", r.ID, a.serial.Add(1)),
		holder:   a.self,
		class:    a.class(r.Service),
		foreign:  r.CrossZone,
		patient:  r.NoAlternative,
		deadline: r.Deadline,
	}
	if !key.isLink() {
		request.avoid = r.Avoid
	}
	return request
}

func (a *Controller) class(service steering.Service) routing.Criticality {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil {
		return routing.Normal
	}
	return classOf(a.snapshot, service)
}

// acquireLocal acquires a slot from this entry VM's own pool. If the membership
// view has only just named this VM as the owner, it takes over the pool first.
func (a *Controller) acquireLocal(ctx context.Context, p *poolState, request slotRequest) result {
	a.detectPause()
	a.updateRoleUnlessOwner(p)
	return p.acquire(ctx, request)
}

// acquireRemote acquires a slot from another entry VM, the owner of the pool.
func (a *Controller) acquireRemote(ctx context.Context, owner seam.Member, redirect steering.VM, key poolKey, request slotRequest) result {
	a.metrics.ownerCalls.Inc(1)
	wait := min(a.cfg.MaxWait+a.cfg.ReplySlack, time.Until(request.deadline))
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	call := a.acquireCalls.add(owner, cancel)
	if call == nil {
		return result{kind: resultRefused, refusal: steering.Refuse(steering.ReasonQueueFull, peerRetryAfter, fmt.Sprintf("calls to %s, which counts the slots", owner.VM))}
	}
	defer a.acquireCalls.remove(call)
	reply, err := a.cfg.AcquirePeers.To(owner.PeerAddress).Acquire(callCtx, acquireRequest(key, request, a.reachability.unreachable()))
	if err == nil {
		return a.handleReply(owner, redirect, key, reply)
	}
	if ctx.Err() != nil {
		return cancelledResult(ctx)
	}
	if !time.Now().Before(request.deadline) {
		return result{kind: resultRefused, refusal: deadlineRefusal()}
	}
	a.metrics.ownerUnreachable.Inc(1)
	a.markUnreachable(owner)
	return result{kind: resultUnreachable}
}

func acquireRequest(key poolKey, request slotRequest, unreachable []string) *peerpb.AcquireRequest {
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

// handleReply turns the reply of an owner into a result.
//
// The reply may come from an entry VM that was paused after it decided the grant
// and no longer owns the pool. The new owner doesn't account for such a grant, so
// using it would push the target over its slots. It is released unused.
func (a *Controller) handleReply(owner seam.Member, redirect steering.VM, key poolKey, reply *peerpb.AcquireReply) result {
	if reply.NotOwner {
		return result{kind: resultNotOwner, owner: steering.VM(reply.OwnerVm)}
	}
	a.headroomCache.put(key, int(reply.Free), time.Now())
	if reply.Refusal != nil {
		return result{kind: resultRefused, refusal: refusalOf(reply.Refusal)}
	}
	if owner.VM != redirect && !a.stillOwner(key, owner.VM, steering.Incarnation(reply.OwnerIncarnation)) {
		a.metrics.staleGrants.Inc(1)
		unused := slot{grant: reply.Grant, target: routing.Target{Name: steering.Target(reply.Target)}}
		a.releases.send(owner.VM, grantEnd(key, unused, unusedOutcome()))
		return result{kind: resultNotOwner}
	}
	return result{kind: resultGranted, slot: slot{grant: reply.Grant, owner: owner.VM, target: a.target(key, reply)}}
}

// stillOwner reports whether the membership view names this process of an entry
// VM as the owner of a pool. Any incarnation is accepted while it isn't known.
func (a *Controller) stillOwner(key poolKey, vm steering.VM, incarnation steering.Incarnation) bool {
	owner, known := a.owner(key)
	if !known || owner.VM != vm {
		return false
	}
	return owner.Incarnation == "" || owner.Incarnation == incarnation
}

// target returns the granted target from this entry VM's own configuration, or
// from the reply alone if the configuration doesn't have it.
func (a *Controller) target(key poolKey, reply *peerpb.AcquireReply) routing.Target {
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

// sleep waits for d. It returns false if ctx ended first.
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
