package pool

import "heatherlock/steering"

// The heap of the targets with free slots does not use container/heap, which would allocate an
// interface value for every index on the hot path.

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
	p.targets[p.ready[i]].ready = noIndex
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

// pickTarget returns the index of the target that a request gets now, or noIndex.
func (p *Pool) pickTarget(avoid []steering.Target) int {
	if p.inFlight >= p.ceiling {
		return noIndex
	}
	return p.bestReady(0, avoid)
}

// bestReady returns the index of the best target with free slots, in the heap from position i down,
// that is not in avoid, or noIndex. For each avoided target on the way, it searches both children.
func (p *Pool) bestReady(i int, avoid []steering.Target) int {
	if i >= len(p.ready) {
		return noIndex
	}
	t := p.ready[i]
	if !avoided(p.targets[t].Name, avoid) {
		return t
	}
	left := p.bestReady(2*i+1, avoid)
	right := p.bestReady(2*i+2, avoid)
	if left == noIndex {
		return right
	}
	if right != noIndex && p.targets[right].score < p.targets[left].score {
		return right
	}
	return left
}

// refresh updates a target's position in the heap and its contribution to the totals after its
// state has changed.
func (p *Pool) refresh(i int, now instant) {
	t := &p.targets[i]
	freeSlots := t.freeSlots(now)
	p.free += freeSlots - t.free
	t.free = freeSlots
	working := 0
	if t.accepting(now) {
		working = t.capacity()
	}
	p.slots += working - t.working
	t.working = working
	if usable := t.declared && !t.stopped; usable != t.usable {
		t.usable = usable
		p.usable += sign(usable)
	}
	t.updateScore(p.cfg.Choice)
	p.nextChangeAt = min(p.nextChangeAt, t.nextChange(now))
	switch {
	case freeSlots == 0 && t.ready != noIndex:
		p.readyRemove(t.ready)
	case freeSlots > 0 && t.ready == noIndex:
		p.readyAdd(i)
	case freeSlots > 0:
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
