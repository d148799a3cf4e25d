package pool

import (
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// ranks is the number of queues: two for each class, the zone's own requests before those from
// other zones.
const ranks = 2 * (int(routing.Sheddable) + 1)

// noWaiter stands for no position in a queue.
const noWaiter = -1

// waiter is one waiting request.
type waiter struct {
	generation uint32
	rank       int
	position   int
	expiresAt  instant // when it can no longer be served in time, or has waited too long
	avoid      []steering.Target
}

func rankOf(r *Request) int {
	rank := 2 * int(min(r.Class, routing.Sheddable))
	if r.CrossZone {
		rank++
	}
	return rank
}

func (p *Pool) queueLess(q []uint32, a, b int) bool {
	return p.waiters[q[a]].expiresAt < p.waiters[q[b]].expiresAt
}

func (p *Pool) queueSwap(q []uint32, a, b int) {
	q[a], q[b] = q[b], q[a]
	p.waiters[q[a]].position = a
	p.waiters[q[b]].position = b
}

func (p *Pool) queueUp(q []uint32, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !p.queueLess(q, i, parent) {
			return
		}
		p.queueSwap(q, i, parent)
		i = parent
	}
}

func (p *Pool) queueDown(q []uint32, i int) {
	for {
		child := 2*i + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && p.queueLess(q, child+1, child) {
			child++
		}
		if !p.queueLess(q, child, i) {
			return
		}
		p.queueSwap(q, i, child)
		i = child
	}
}

// enqueue adds a waiting request and returns its ticket.
func (p *Pool) enqueue(rank int, expiresAt instant, avoid []steering.Target) Ticket {
	if p.queued == 0 {
		p.lastEmptyAt = p.now
	}
	w := p.newWaiter()
	p.waiters[w].rank = rank
	p.waiters[w].expiresAt = expiresAt
	p.waiters[w].avoid = avoid
	p.queues[rank] = append(p.queues[rank], w)
	last := len(p.queues[rank]) - 1
	p.waiters[w].position = last
	p.queueUp(p.queues[rank], last)
	p.queued++
	return Ticket(packID(p.waiters[w].generation, w))
}

func (p *Pool) newWaiter() uint32 {
	if n := len(p.freeWaiters); n > 0 {
		w := p.freeWaiters[n-1]
		p.freeWaiters = p.freeWaiters[:n-1]
		return w
	}
	p.waiters = append(p.waiters, waiter{generation: 1})
	return uint32(len(p.waiters) - 1)
}

// dequeue removes the waiter at a position of a queue and returns its ticket.
func (p *Pool) dequeue(rank, position int) Ticket {
	q := p.queues[rank]
	w := q[position]
	last := len(q) - 1
	if position != last {
		q[position] = q[last]
		p.waiters[q[position]].position = position
	}
	q = q[:last]
	p.queues[rank] = q
	if position != last {
		p.queueDown(q, position)
		p.queueUp(q, position)
	}
	ticket := Ticket(packID(p.waiters[w].generation, w))
	p.waiters[w].generation++
	p.waiters[w].avoid = nil
	p.freeWaiters = append(p.freeWaiters, w)
	p.queued--
	return ticket
}

// findWaiter returns the rank and position of the waiter that a ticket identifies, if it still
// waits.
func (p *Pool) findWaiter(ticket Ticket) (rank, position int, ok bool) {
	generation, w := unpackID(uint64(ticket))
	if int(w) >= len(p.waiters) || p.waiters[w].generation != generation {
		return 0, 0, false
	}
	return p.waiters[w].rank, p.waiters[w].position, true
}

// firstServable returns the position of the first waiter in the order of the queue that a target
// with free slots may serve, or noWaiter. It searches the heap q from index i down, and passes over
// a waiter only if it avoids all those targets.
func (p *Pool) firstServable(q []uint32, i int) int {
	if i >= len(q) {
		return noWaiter
	}
	if p.bestReady(0, p.waiters[q[i]].avoid) != noIndex {
		return i
	}
	left := p.firstServable(q, 2*i+1)
	right := p.firstServable(q, 2*i+2)
	if left == noWaiter {
		return right
	}
	if right != noWaiter && p.queueLess(q, right, left) {
		return right
	}
	return left
}

// worstBelow returns the waiter that a request of the given rank may replace in a full queue: the
// one that expires last in the lowest rank below the given one.
func (p *Pool) worstBelow(rank int) (worstRank, position int) {
	for r := ranks - 1; r > rank; r-- {
		q := p.queues[r]
		if len(q) == 0 {
			continue
		}
		worst := len(q) / 2
		for i := worst + 1; i < len(q); i++ {
			if p.queueLess(q, worst, i) {
				worst = i
			}
		}
		return r, worst
	}
	return 0, noWaiter
}

// packID combines a generation and an index into an identifier that is not reused.
func packID(generation, index uint32) uint64 {
	return uint64(generation)<<32 | uint64(index)
}

func unpackID(id uint64) (generation, index uint32) {
	return uint32(id >> 32), uint32(id)
}
