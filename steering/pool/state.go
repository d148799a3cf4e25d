package pool

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// advance moves the pool's time on; it never goes back.
func (p *Pool) advance(now time.Time) instant {
	p.now = max(p.now, now.Sub(p.epoch))
	return p.now
}

// begin starts a call that reports effects.
func (p *Pool) begin(now time.Time) instant {
	p.effects.Served = p.effects.Served[:0]
	p.effects.Dropped = append(p.effects.Dropped[:0], p.effects.pending...)
	p.effects.pending = p.effects.pending[:0]
	return p.advance(now)
}

// ensureTarget returns the entry of a declared target.
func (p *Pool) ensureTarget(declared routing.Target) int {
	i, ok := p.byName[declared.Name]
	if !ok {
		i = p.newTarget()
		p.targets[i] = target{Target: declared, share: 1, limit: declared.Slots, ready: notReady, regrowAt: never, serviceTime: p.times.mean}
		p.byName[declared.Name] = i
		return i
	}
	t := &p.targets[i]
	if t.Slots != declared.Slots {
		t.limit = declared.Slots // a new declaration is tried afresh
	}
	t.Target = declared
	return i
}

func (p *Pool) newTarget() int {
	if n := len(p.vacant); n > 0 {
		i := p.vacant[n-1]
		p.vacant = p.vacant[:n-1]
		return i
	}
	p.targets = append(p.targets, target{})
	return len(p.targets) - 1
}

// forgetIfIdle drops a target that left the configuration once it holds
// nothing.
func (p *Pool) forgetIfIdle(i int) {
	t := &p.targets[i]
	if t.declared || t.inFlight > 0 || t.Name == "" {
		return
	}
	delete(p.byName, t.Name)
	p.targets[i] = target{ready: notReady, regrowAt: never}
	p.vacant = append(p.vacant, i)
}

// Stats returns the pool's state at a glance.
func (p *Pool) Stats() Stats {
	s := Stats{Slots: min(p.slots, p.ceiling), Free: p.Free(), InFlight: p.inFlight, Queued: p.queued}
	for i := range p.targets {
		t := &p.targets[i]
		if !t.declared || t.stopped {
			continue
		}
		s.Declared += t.Slots
		if t.limit < t.Slots {
			s.Lowered++
		}
	}
	return s
}

// Free returns the slots that a request could get now.
func (p *Pool) Free() int { return max(0, min(p.free, p.ceiling-p.inFlight)) }

// InFlight returns the requests granted on a target.
func (p *Pool) InFlight(name steering.Target) int {
	i, ok := p.byName[name]
	if !ok {
		return 0
	}
	return p.targets[i].inFlight
}

// Limit returns the learned limit of a target.
func (p *Pool) Limit(name steering.Target) int {
	i, ok := p.byName[name]
	if !ok {
		return 0
	}
	return p.targets[i].limit
}

// Draining appends the targets that get nothing new, by a planned stop or
// because they left the configuration, and still run something.
func (p *Pool) Draining(to []Draining) []Draining {
	for i := range p.targets {
		t := &p.targets[i]
		if t.inFlight > 0 && (t.stopped || !t.declared) {
			to = append(to, Draining{Target: t.Name, InFlight: t.inFlight})
		}
	}
	return to
}

// Targets appends the declared targets.
func (p *Pool) Targets(to []routing.Target) []routing.Target {
	for i := range p.targets {
		if p.targets[i].declared {
			to = append(to, p.targets[i].Target)
		}
	}
	return to
}

// Unsure appends the targets that only their own reports tell more about:
// those that may still run requests whose ends were uncertain, and closed ones.
func (p *Pool) Unsure(to []routing.Target) []routing.Target {
	for i := range p.targets {
		t := &p.targets[i]
		if t.lingering > 0 || t.closed && t.declared {
			to = append(to, t.Target)
		}
	}
	return to
}
