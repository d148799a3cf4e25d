package benchfleet

import (
	"container/heap"
	"math/rand/v2"
	"net"
	"time"
)

// event is work at a point in simulated time.
type event struct {
	at    time.Time
	order int // of scheduling, for events at the same time
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// clock is simulated time with the work that is scheduled in it.
type clock struct {
	now    time.Time
	queue  eventQueue
	orders int
}

// after schedules work.
func (c *clock) after(d time.Duration, run func()) {
	c.orders++
	heap.Push(&c.queue, event{at: c.now.Add(d), order: c.orders, run: run})
}

// advance runs all work that is due within d.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// One-way delays and the loss of datagrams, as on links between and within regions.
const (
	zoneDelay   = 200 * time.Microsecond
	regionDelay = 500 * time.Microsecond
	farDelay    = 20 * time.Millisecond
	lossShare   = 0.001
	// datagramOverhead is the size of the headers of a datagram.
	datagramOverhead = 28
)

// network carries datagrams and transfers between VMs.
type network struct {
	*clock
	random *rand.Rand
	byPeer map[string]*vm
	// away holds the VMs that are cut off from all others. They reach each other.
	away map[*vm]bool
}

// reaches reports whether two VMs reach each other.
func (n *network) reaches(a, b *vm) bool { return n.away[a] == n.away[b] }

// delay returns the one-way delay between two VMs.
func (n *network) delay(a, b *vm) time.Duration {
	switch {
	case a.self.Zone == b.self.Zone:
		return zoneDelay
	case a.self.Region == b.self.Region:
		return regionDelay
	}
	return farDelay
}

// link is one direction of a VM's link.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// occupy returns how long after now a transfer over the link ends.
func (l *link) occupy(now time.Time, bytes int) time.Duration {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}

// transfer runs done once bytes were sent from one VM to another.
func (n *network) transfer(from, to *vm, bytes int, done func()) {
	sent := from.out.occupy(n.now, bytes)
	n.after(sent+n.delay(from, to), func() { n.after(to.in.occupy(n.now, bytes), done) })
}

// port is the socket of a VM's fleet.
type port struct {
	vm *vm
}

// WriteTo implements net.PacketConn.
func (p *port) WriteTo(raw []byte, address net.Addr) (int, error) {
	from := p.vm
	from.count.sent(len(raw) + datagramOverhead)
	to := from.sim.network.byPeer[address.String()]
	if to == nil || from.sim.network.random.Float64() < lossShare || !from.sim.network.reaches(from, to) {
		return len(raw), nil
	}
	data := append([]byte(nil), raw...)
	life := to.life
	from.sim.network.transfer(from, to, len(raw)+datagramOverhead, func() {
		if to.running && to.life == life {
			to.receive(data, from)
		}
	})
	return len(raw), nil
}

// ReadFrom implements net.PacketConn. Datagrams are passed to the fleet directly.
func (p *port) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, net.ErrClosed }
func (p *port) Close() error                           { return nil }
func (p *port) LocalAddr() net.Addr                    { return p.vm.address }
func (p *port) SetDeadline(time.Time) error            { return nil }
func (p *port) SetReadDeadline(time.Time) error        { return nil }
func (p *port) SetWriteDeadline(time.Time) error       { return nil }
