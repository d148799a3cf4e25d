package admit

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// reachability records the members that did not respond to this entry VM.
//
// The membership view takes seconds to suspect a member. Until then, every
// request for a pool of a crashed or paused owner would wait until it times out. A
// member that did not respond is therefore skipped until it responds to a probe.
type reachability struct {
	mu   sync.Mutex
	down map[steering.VM]seam.Member
}

func (r *reachability) isDown(vm steering.VM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, down := r.down[vm]
	return down
}

// set records whether a member is down and reports whether that is a change.
func (r *reachability) set(m seam.Member, down bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, was := r.down[m.VM]
	switch {
	case !down:
		delete(r.down, m.VM)
	case r.down == nil:
		r.down = map[steering.VM]seam.Member{m.VM: m}
	default:
		r.down[m.VM] = m
	}
	return was != down
}

func (r *reachability) list() []seam.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]seam.Member, 0, len(r.down))
	for _, m := range r.down {
		all = append(all, m)
	}
	return all
}

// unreachable returns the names of the members that do not respond, sorted.
func (r *reachability) unreachable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for vm := range r.down {
		names = append(names, string(vm))
	}
	slices.Sort(names)
	return names
}

func (a *Controller) setReachability(m seam.Member, down bool) {
	if a.reachability.set(m, down) {
		a.ownerCache.invalidate()
	}
}

// probe calls a member, records whether it responded, and returns the result.
func (a *Controller) probe(ctx context.Context, m seam.Member) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.cfg.PeerTimeout)
	defer cancel()
	_, err := a.cfg.Peers.To(m.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{FromVm: string(a.self.vm)})
	if err != nil {
		a.markUnreachable(m)
		return false
	}
	a.setReachability(m, false)
	a.cfg.Members.RecordReachability(m.VM, true)
	return true
}

// probeUnreachable probes the members that did not respond, and removes those
// that have left the membership view. There are few such members, so one probe of
// each per reconciliation is enough.
func (a *Controller) probeUnreachable(ctx context.Context) {
	for _, m := range a.reachability.list() {
		current, known := a.member(m.VM)
		if !known || current.State == seam.MemberGone {
			a.setReachability(m, false)
			continue
		}
		a.work.Go(func() { a.probe(ctx, current) })
	}
}

// probeReportedUnreachable probes the members that another entry VM reports as
// unreachable and that this one assumes to be reachable. It waits for all probes.
func (a *Controller) probeReportedUnreachable(ctx context.Context, vms []string) {
	var work sync.WaitGroup
	for _, name := range vms {
		m, known := a.member(steering.VM(name))
		if !known || m.VM == a.self.vm || a.reachability.isDown(m.VM) {
			continue
		}
		work.Go(func() { a.probe(ctx, m) })
	}
	work.Wait()
}

func (a *Controller) member(vm steering.VM) (seam.Member, bool) {
	for _, m := range a.cfg.Members.All() {
		if m.VM == vm {
			return m, true
		}
	}
	return seam.Member{}, false
}

// markUnreachable records that a member did not respond, and cancels the Acquire
// calls that wait there.
func (a *Controller) markUnreachable(m seam.Member) {
	a.setReachability(m, true)
	a.cfg.Members.RecordReachability(m.VM, false)
	a.acquireCalls.cancelAll(m.VM)
}

// probeSlowOwners probes owners whose replies are late.
//
// A healthy owner may take as long as the maximum queue time to reply. If a hung
// owner were only detected after that time, every request for its pools would
// stall for as long. A probe detects it in less than half that time.
func (a *Controller) probeSlowOwners() {
	for _, m := range a.acquireCalls.slowMembers(time.Now().Add(-a.cfg.ProbeAfter)) {
		a.runInBackground(func(ctx context.Context) {
			defer a.acquireCalls.probeDone(m.VM)
			a.probe(ctx, m)
		})
	}
}

// acquireCalls tracks the open Acquire calls to other entry VMs.
type acquireCalls struct {
	mu      sync.Mutex
	open    map[steering.VM]map[*acquireCall]bool
	probing map[steering.VM]bool
}

type acquireCall struct {
	to    seam.Member
	since time.Time
	stop  context.CancelFunc
}

// add records a call to an entry VM. It returns nil if MaxAcquireCalls calls
// already wait there.
func (s *acquireCalls) add(to seam.Member, stop context.CancelFunc) *acquireCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open[to.VM]) >= MaxAcquireCalls {
		return nil
	}
	if s.open == nil {
		s.open = map[steering.VM]map[*acquireCall]bool{}
		s.probing = map[steering.VM]bool{}
	}
	if s.open[to.VM] == nil {
		s.open[to.VM] = map[*acquireCall]bool{}
	}
	call := &acquireCall{to: to, since: time.Now(), stop: stop}
	s.open[to.VM][call] = true
	return call
}

func (s *acquireCalls) remove(call *acquireCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[call.to.VM], call)
	if len(s.open[call.to.VM]) == 0 {
		delete(s.open, call.to.VM)
	}
}

func (s *acquireCalls) cancelAll(vm steering.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for call := range s.open[vm] {
		call.stop()
	}
}

// slowMembers returns the entry VMs that have an open call from before the given
// time and no running probe. It marks them as being probed until probeDone.
func (s *acquireCalls) slowMembers(before time.Time) (to []seam.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, open := range s.open {
		if s.probing[vm] {
			continue
		}
		for call := range open {
			if call.since.Before(before) {
				s.probing[vm] = true
				to = append(to, call.to)
				break
			}
		}
	}
	return to
}

func (s *acquireCalls) probeDone(vm steering.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, vm)
}
