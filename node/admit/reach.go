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

// set returns whether that is news.
func (r *reach) set(m seam.Member, down bool) bool {
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

func (a *Admit) setReach(m seam.Member, down bool) {
	if a.reach.set(m, down) {
		a.owners.forget()
	}
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
	a.setReach(m, false)
	a.cfg.Members.Evidence(m.VM, true)
	return true
}

// probeDown asks the members that did not answer again, and forgets those that
// left the view. Their number is small, so one round at a time will do.
func (a *Admit) probeDown(ctx context.Context) {
	for _, m := range a.reach.list() {
		current, known := a.member(m.VM)
		if !known || current.State == seam.MemberGone {
			a.setReach(m, false)
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

// failed notes that a member did not answer, and gives up what waits for it.
func (a *Admit) failed(m seam.Member) {
	a.setReach(m, true)
	a.cfg.Members.Evidence(m.VM, false)
	a.asks.giveUp(m.VM)
}

// probeSlow probes the owners whose replies take long.
//
// A reply may rightly take as long as the queue's longest wait. Were that also
// the bound on noticing an owner that hangs, every request for its pools would
// stall for that long; with a probe it is less than half.
func (a *Admit) probeSlow() {
	for _, m := range a.asks.slow(time.Now().Add(-a.cfg.ProbeAfter)) {
		a.goWork(func(ctx context.Context) {
			defer a.asks.probed(m.VM)
			a.probe(ctx, m)
		})
	}
}

// asks are the calls of Acquire that wait at other entry VMs.
type asks struct {
	mu      sync.Mutex
	open    map[steering.VM]map[*openAsk]bool
	probing map[steering.VM]bool
}

type openAsk struct {
	to    seam.Member
	since time.Time
	stop  context.CancelFunc
}

// take returns nil when MaxAsks calls wait there already.
func (s *asks) take(to seam.Member, stop context.CancelFunc) *openAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open[to.VM]) >= MaxAsks {
		return nil
	}
	if s.open == nil {
		s.open = map[steering.VM]map[*openAsk]bool{}
		s.probing = map[steering.VM]bool{}
	}
	if s.open[to.VM] == nil {
		s.open[to.VM] = map[*openAsk]bool{}
	}
	ask := &openAsk{to: to, since: time.Now(), stop: stop}
	s.open[to.VM][ask] = true
	return ask
}

func (s *asks) give(ask *openAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[ask.to.VM], ask)
	if len(s.open[ask.to.VM]) == 0 {
		delete(s.open, ask.to.VM)
	}
}

func (s *asks) giveUp(vm steering.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ask := range s.open[vm] {
		ask.stop()
	}
}

// slow returns the entry VMs at which a call waits since before the given time,
// and which are not being probed already.
func (s *asks) slow(before time.Time) (to []seam.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, open := range s.open {
		if s.probing[vm] {
			continue
		}
		for ask := range open {
			if ask.since.Before(before) {
				s.probing[vm] = true
				to = append(to, ask.to)
				break
			}
		}
	}
	return to
}

func (s *asks) probed(vm steering.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, vm)
}
