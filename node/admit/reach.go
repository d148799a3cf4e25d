package admit

import (
	"context"
	"slices"
	"sync"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// reach remembers the members that did not answer this entry VM.
//
// The view needs seconds to doubt a member; meanwhile every request for a pool
// of a dead or paused owner would wait for it in vain. What failed to answer
// is passed over until it answers a probe.
type reach struct {
	mu   sync.Mutex
	down map[steering.VM]seam.Member
}

func (r *reach) isDown(vm steering.VM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, down := r.down[vm]
	return down
}

func (r *reach) set(m seam.Member, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !down {
		delete(r.down, m.VM)
		return
	}
	if r.down == nil {
		r.down = map[steering.VM]seam.Member{}
	}
	r.down[m.VM] = m
}

func (r *reach) list() []seam.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]seam.Member, 0, len(r.down))
	for _, m := range r.down {
		all = append(all, m)
	}
	return all
}

// unreachable returns the names of the members that do not answer, sorted.
func (r *reach) unreachable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for vm := range r.down {
		names = append(names, string(vm))
	}
	slices.Sort(names)
	return names
}

// failed notes that a member did not answer.
func (a *Admit) failed(m seam.Member) {
	a.reach.set(m, true)
	a.cfg.Members.Evidence(m.VM, false)
}

// probe asks a member for any answer and notes whether it came.
func (a *Admit) probe(ctx context.Context, m seam.Member) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.cfg.PeerTimeout)
	defer cancel()
	_, err := a.cfg.Peers.To(m.PeerAddress).Holdings(callCtx, &peerpb.HoldingsRequest{FromVm: string(a.self.vm)})
	if err != nil {
		a.failed(m)
		return false
	}
	a.reach.set(m, false)
	a.cfg.Members.Evidence(m.VM, true)
	return true
}

// probeDown asks the members that did not answer again, and forgets those that
// left the view. Their number is small, so one round at a time will do.
func (a *Admit) probeDown(ctx context.Context) {
	for _, m := range a.reach.list() {
		current, known := a.member(m.VM)
		if !known || current.State == seam.MemberGone {
			a.reach.set(m, false)
			continue
		}
		a.work.Go(func() { a.probe(ctx, current) })
	}
}

// confirmDown probes members that somebody else cannot reach and this entry VM
// still believes in.
func (a *Admit) confirmDown(ctx context.Context, vms []string) {
	var work sync.WaitGroup
	for _, name := range vms {
		m, known := a.member(steering.VM(name))
		if !known || m.VM == a.self.vm || a.reach.isDown(m.VM) {
			continue
		}
		work.Go(func() { a.probe(ctx, m) })
	}
	work.Wait()
}

func (a *Admit) member(vm steering.VM) (seam.Member, bool) {
	for _, m := range a.cfg.Members.All() {
		if m.VM == vm {
			return m, true
		}
	}
	return seam.Member{}, false
}

// askLimit counts the calls of Acquire that wait at each entry VM.
type askLimit struct {
	mu   sync.Mutex
	open map[steering.VM]int
}

// take returns false when MaxAsks calls wait there already.
func (l *askLimit) take(vm steering.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[steering.VM]int{}
	}
	if l.open[vm] >= MaxAsks {
		return false
	}
	l.open[vm]++
	return true
}

func (l *askLimit) give(vm steering.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[vm]--
	if l.open[vm] == 0 {
		delete(l.open, vm)
	}
}
