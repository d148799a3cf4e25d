package pool

import "heatherlock/steering"

// The heap of targets with room is kept by hand: container/heap would box
// every index on the hot path.

func (p *Pool) readyLess(a, b int) bool {
	return p.targets[p.ready[a]].score < p.targets[p.ready[b]].score
}

func (p *Pool) readySwap(a, b int) {
	p.ready[a], p.ready[b] = p.ready[b], p.ready[a]
	p.targets[p.ready[a]].ready = a
	p.targets[p.ready[b]].ready = b
}

func (p *Pool) readyUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !p.readyLess(i, parent) {
			return
		}
		p.readySwap(i, parent)
		i = parent
	}
}

func (p *Pool) readyDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(p.ready) {
			return
		}
		if child+1 < len(p.ready) && p.readyLess(child+1, child) {
			child++
		}
		if !p.readyLess(child, i) {
			return
		}
		p.readySwap(i, child)
		i = child
	}
}

func (p *Pool) readyAdd(t int) {
	p.ready = append(p.ready, t)
	p.targets[t].ready = len(p.ready) - 1
	p.readyUp(len(p.ready) - 1)
}

func (p *Pool) readyRemove(i int) {
	last := len(p.ready) - 1
	p.targets[p.ready[i]].ready = notReady
	if i != last {
		p.ready[i] = p.ready[last]
		p.targets[p.ready[i]].ready = i
	}
	p.ready = p.ready[:last]
	if i != last {
		p.readyDown(i)
		p.readyUp(i)
	}
}

// next returns the target that a request gets now, or notReady.
func (p *Pool) next(avoid []steering.Target) int {
	if p.inFlight >= p.ceiling {
		return notReady
	}
	return p.bestReady(0, avoid)
}

// bestReady returns the best target with room that is not to be avoided, or
// notReady. It looks at two more targets for each avoided one.
func (p *Pool) bestReady(i int, avoid []steering.Target) int {
	if i >= len(p.ready) {
		return notReady
	}
	t := p.ready[i]
	if !avoided(p.targets[t].Name, avoid) {
		return t
	}
	left := p.bestReady(2*i+1, avoid)
	right := p.bestReady(2*i+2, avoid)
	if left == notReady {
		return right
	}
	if right != notReady && p.targets[right].score < p.targets[left].score {
		return right
	}
	return left
}

// refresh brings a target's place in the heap and its part of the totals in
// line with its state.
func (p *Pool) refresh(i int, now instant) {
	t := &p.targets[i]
	room := t.room(now)
	p.free += room - t.free
	t.free = room
	working := 0
	if t.open(now) {
		working = t.capacity()
	}
	p.slots += working - t.working
	t.working = working
	if usable := t.declared && !t.stopped; usable != t.usable {
		t.usable = usable
		p.usable += sign(usable)
	}
	t.rescore(p.cfg.Choice)
	p.wake = min(p.wake, t.nextChange(now))
	switch {
	case room == 0 && t.ready != notReady:
		p.readyRemove(t.ready)
	case room > 0 && t.ready == notReady:
		p.readyAdd(i)
	case room > 0:
		p.readyDown(t.ready)
		p.readyUp(t.ready)
	}
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}
