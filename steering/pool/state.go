package pool

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// advance sets the pool's time, which never goes back, and returns it.
func (p *Pool) advance(now time.Time) instant {
	p.now = max(p.now, now.Sub(p.epoch))
	return p.now
}

// beginCall starts a call that returns Effects.
func (p *Pool) beginCall(now time.Time) instant {
	p.effects.Served = p.effects.Served[:0]
	p.effects.Dropped = append(p.effects.Dropped[:0], p.effects.pending...)
	p.effects.pending = p.effects.pending[:0]
	return p.advance(now)
}

// ensureTarget returns the index of a declared target and adds the target if it is new.
func (p *Pool) ensureTarget(declared routing.Target) int {
	i, ok := p.byName[declared.Name]
	if !ok {
		i = p.newTarget()
		p.targets[i] = target{Target: declared, share: 1, limit: declared.Slots, ready: noIndex, regrowAt: never, serviceTime: p.times.mean}
		p.byName[declared.Name] = i
		return i
	}
	t := &p.targets[i]
	if t.Slots != declared.Slots {
		t.limit = declared.Slots // the limit learned for another number of slots does not apply
	}
	t.Target = declared
	return i
}

func (p *Pool) newTarget() int {
	if n := len(p.vacantTargets); n > 0 {
		i := p.vacantTargets[n-1]
		p.vacantTargets = p.vacantTargets[:n-1]
		return i
	}
	p.targets = append(p.targets, target{})
	return len(p.targets) - 1
}

// removeIfIdle removes a target that is not declared any more once it has no requests in flight.
func (p *Pool) removeIfIdle(i int) {
	t := &p.targets[i]
	if t.declared || t.inFlight > 0 || t.Name == "" {
		return
	}
	delete(p.byName, t.Name)
	p.targets[i] = target{ready: noIndex, regrowAt: never}
	p.vacantTargets = append(p.vacantTargets, i)
}

// Stats returns the current state of the pool.
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

// Free returns the number of slots that requests could get now.
func (p *Pool) Free() int { return max(0, min(p.free, p.ceiling-p.inFlight)) }

// InFlight returns the number of requests that are granted and not released on a target.
func (p *Pool) InFlight(name steering.Target) int {
	i, ok := p.byName[name]
	if !ok {
		return 0
	}
	return p.targets[i].inFlight
}

// Limit returns the learned limit of a target, or 0 if the target is unknown.
func (p *Pool) Limit(name steering.Target) int {
	i, ok := p.byName[name]
	if !ok {
		return 0
	}
	return p.targets[i].limit
}

// Draining appends to the slice the targets that get no new requests, because of a planned stop or
// because they are not declared any more, and still run some.
func (p *Pool) Draining(to []Draining) []Draining {
	for i := range p.targets {
		t := &p.targets[i]
		if t.inFlight > 0 && (t.stopped || !t.declared) {
			to = append(to, Draining{Target: t.Name, InFlight: t.inFlight})
		}
	}
	return to
}

// Targets appends the declared targets to the slice.
func (p *Pool) Targets(to []routing.Target) []routing.Target {
	for i := range p.targets {
		if p.targets[i].declared {
			to = append(to, p.targets[i].Target)
		}
	}
	return to
}

// Unverified appends to the slice the targets whose state only their own reports can show: those
// that may still run requests with an uncertain end, and ejected ones.
func (p *Pool) Unverified(to []routing.Target) []routing.Target {
	for i := range p.targets {
		t := &p.targets[i]
		if t.lingering > 0 || t.ejected && t.declared {
			to = append(to, t.Target)
		}
	}
	return to
}
