package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

// network carries datagrams between fleets in memory and counts them.
type network struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
	count int
	bytes int
}

// memoryConn is the socket of one fleet.
type memoryConn struct {
	network *network
	address *net.UDPAddr
	in      chan packet
	once    sync.Once
	closed  chan struct{}
}

type packet struct {
	raw  []byte
	from net.Addr
}

func (w *network) listen(address string) *memoryConn {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		panic(err)
	}
	e := &memoryConn{network: w, address: udp, in: make(chan packet, 1<<14), closed: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[address] = e
	return e
}

// takeCounts returns the number of datagrams and bytes sent since its last call.
func (w *network) takeCounts() (count, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, bytes = w.count, w.bytes
	w.count, w.bytes = 0, 0
	return count, bytes
}

func (e *memoryConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-e.in:
		return copy(b, p.raw), p.from, nil
	case <-e.closed:
		return 0, nil, net.ErrClosed
	}
}

func (e *memoryConn) WriteTo(b []byte, to net.Addr) (int, error) {
	w := e.network
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.bytes += len(b)
	other := w.conns[to.String()]
	if other == nil {
		return len(b), nil
	}
	select {
	case other.in <- packet{raw: append([]byte(nil), b...), from: e.address}:
	default: // dropped if the queue is full
	}
	return len(b), nil
}

func (e *memoryConn) Close() error                     { e.once.Do(func() { close(e.closed) }); return nil }
func (e *memoryConn) LocalAddr() net.Addr              { return e.address }
func (e *memoryConn) SetDeadline(time.Time) error      { return e.Close() }
func (e *memoryConn) SetReadDeadline(time.Time) error  { return e.Close() }
func (e *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// testFleet is a deployment of entry VMs that do nothing but exchange heartbeats.
type testFleet struct {
	network *network
	fleets  []*Fleet
	stops   []context.CancelFunc
	// demand is the request rate of each VM's callers.
	demand atomic.Int64
	// leaving is the name of the VM that leaves, and waiting are those for which it has requests.
	leaving atomic.Value // steering.VM
	waiting []steering.VM
}

// newTestFleet starts size VMs within 0.3 s. As at the start of a deployment, each VM has read the
// records of those that wrote theirs before it.
func newTestFleet(ctx context.Context, size, zones int) *testFleet {
	c := &testFleet{network: &network{conns: make(map[string]*memoryConn)}, waiting: []steering.VM{"vm-3", "vm-4", "vm-29"}}
	var records []Member
	for i := range size {
		self := Member{Name: steering.VM(fmt.Sprintf("vm-%d", i)), Zone: steering.Zone(fmt.Sprintf("zone-%d", i%zones)), Region: "here",
			Peer: fmt.Sprintf("10.0.%d.%d:7620", i/250, i%250+1), Control: fmt.Sprintf("10.0.%d.%d:8649", i/250, i%250+1), Callers: fmt.Sprintf("10.0.%d.%d:8641", i/250, i%250+1)}
		f := New(Config{Self: self, Log: log.NewNopLogger(), FillBeat: c.fillBeat, HandleBeat: func(Beat) {}, OnMembersChange: func() {},
			RequestPeers: func() []steering.VM { return c.waiting },
			Suspects:     func(bool) []poison.Fact { return nil }}, c.network.listen(self.Peer))
		f.Add(records)
		records = append(records, self)
		running, stop := context.WithCancel(ctx)
		c.fleets, c.stops = append(c.fleets, f), append(c.stops, stop)
		go func() {
			time.Sleep(time.Duration(i%300) * time.Millisecond)
			f.Run(running)
		}()
	}
	return c
}

// members returns the members of all VMs.
func (c *testFleet) members() []Member {
	var all []Member
	for _, f := range c.fleets {
		all = append(all, f.cfg.Self)
	}
	return all
}

func (c *testFleet) fillBeat(b *Beat) {
	b.Leaving = c.leaving.Load() == b.From.Name
	b.Serving = !b.Leaving
	b.ConfigContent = 0xfedcba98
	b.Demand = placement.DemandOf{"s": {Rate: float32(c.demand.Load()), RunMs: 110, Runs: 100}}
}

// waitForLive waits until every running VM lists exactly want live VMs, itself included, and
// returns how long that took. skip is the index of a VM that has been stopped, or -1.
func (c *testFleet) waitForLive(within time.Duration, want int, skip int) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		all := true
		for i, f := range c.fleets {
			all = all && (i == skip || len(f.Live()) == want)
		}
		if all {
			return time.Since(began), true
		}
	}
	return within, false
}

// TestHeartbeatsStayFewAsTheFleetGrows guards against a deployment of 300 VMs that spends its CPU
// time on heartbeats while it starts. All VMs start at nearly the same time and are new to each
// other. If each VM that receives a heartbeat of a new one introduced all members it knows, whether
// the new one lacks them or not, introductions would grow with the cube of the fleet.
func TestHeartbeatsStayFewAsTheFleetGrows(t *testing.T) {
	const (
		startBytes  = 128 << 10 // per VM, in the first 10 s
		steadyBytes = 5 << 10   // per VM and second: the limit of all control traffic
	)
	for _, shape := range []struct{ size, zones int }{{12, 6}, {72, 6}, {64, 1}, {70, 2}, {150, 6}, {300, 15}, {650, 30}, {150, 2}, {300, 6}, {986, 9}} {
		size := shape.size
		if size > 72 && os.Getenv("HEATHERLOCK_LARGE") == "" {
			continue
		}
		t.Run(fmt.Sprintf("%d in %d zones", size, shape.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newTestFleet(ctx, size, shape.zones)
				met, ok := c.waitForLive(10*time.Second, size, -1)
				assert.Assert(t, ok, "not all VMs list each other as live after %s", met)
				time.Sleep(10*time.Second - met)
				_, atStart := c.network.takeCounts()
				for range 40 {
					time.Sleep(500 * time.Millisecond)
					synctest.Wait()
					for _, f := range c.fleets {
						assert.Equal(t, len(f.Live()), size, "%s does not list a live VM", f.cfg.Self.Name)
						assert.Equal(t, f.LiveCount(), size, "%s counts a different number of VMs than it lists", f.cfg.Self.Name)
					}
				}
				count, steady := c.network.takeCounts()
				c.stops[0]()
				gone, ok := c.waitForLive(10*time.Second, size-1, 0)
				assert.Assert(t, ok, "a VM that ended still counts as live after %s", gone)
				t.Logf("%d VMs: all live after %s, %d B per VM in the first 10 s, then %d datagrams and %d B per VM and second; one gone for all after %s",
					size, met, atStart/size, count/size/20, steady/size/20, gone)
				assert.Assert(t, atStart/size <= startBytes, "%d B per VM at the start", atStart/size)
				assert.Assert(t, steady/size/20 <= steadyBytes, "%d B per VM and second", steady/size/20)
			})
		})
	}
}

// Guards against a VM that names only a few others to callers for as long as it runs. It starts
// while the store is unavailable, reaches one VM, and the reply that introduces the others is lost;
// so a VM must query not only while it receives no heartbeats at all.
func TestVMWithFewMembersQueriesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestFleet(ctx, 12, 6)
		_, ok := c.waitForLive(5*time.Second, 12, -1)
		assert.Assert(t, ok)
		late := Member{Name: "late", Zone: "zone-0", Region: "here", Peer: "10.0.9.9:7620", Control: "10.0.9.9:8649", Callers: "10.0.9.9:8641"}
		f := New(Config{Self: late, Log: log.NewNopLogger(), FillBeat: func(b *Beat) { b.Serving = true }, HandleBeat: func(Beat) {}, OnMembersChange: func() {},
			Suspects: func(bool) []poison.Fact { return nil }}, c.network.listen(late.Peer))
		f.Add([]Member{c.fleets[1].cfg.Self})
		go f.Run(ctx)
		c.fleets = append(c.fleets, f)
		met, ok := c.waitForLive(5*time.Second, 13, -1)
		assert.Assert(t, ok, "not all are live after %s", met)
	})
}

// Guards against heartbeats that take more of the links than requests do during a network partition
// that affects only some VMs, caused by queries repeated at a constant rate although the replies
// introduce no new member.
func TestQueryIntervalGrows(t *testing.T) {
	var q queryBackoff
	asked, start := 0, time.Unix(1000, 0)
	for ms := 0; ms < 60_000; ms += 50 {
		if q.noteBeat(start.Add(time.Duration(ms)*time.Millisecond), false) {
			asked++
		}
	}
	assert.Assert(t, asked >= 3 && asked <= 7, "asked %d times in a minute", asked)
	q.reset()
	assert.Assert(t, q.noteBeat(start.Add(61*time.Second), false), "a new member: there may be more")
	assert.Assert(t, !q.noteBeat(start.Add(62*time.Second), true), "a peer considers the same VMs live")
	assert.Assert(t, !q.noteBeat(start.Add(63*time.Second), false), "not all have noticed a change yet")
}

// Guards against a region that continues to offload or keep its keys based on the demand of minutes
// ago.
// Demand grows in a zone of many VMs, and those of its VMs that do not send to a VM of another zone
// never report theirs to it, unless the senders report the demand of the whole zone.
func TestDemandOfLargeZonesIsKnownElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 72
		c := newTestFleet(ctx, size, 6)
		for _, each := range []int64{1, 5, 2} {
			c.demand.Store(each)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			for _, f := range c.fleets {
				got, want := f.Demand()["here"]["s"].Rate, float32(each*(size-1))
				assert.Assert(t, got == want, "%s assumes a demand of %v requests per second, it is %v", f.cfg.Self.Name, got, want)
			}
		}
	})
}

// Guards against a region that takes the demand of another zone for a fraction of what it is. A VM
// of a large zone replies to one that has just started, and if the reply held the demand of the
// sender's callers, it would count as that of its whole zone.
func TestReplyOmitsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 24
		c := newTestFleet(ctx, size, 2)
		c.demand.Store(5)
		time.Sleep(5 * time.Second)
		for n := range 40 { // VMs of another zone that start one after the other
			late := Member{Name: steering.VM(fmt.Sprint("late-", n)), Zone: "zone-late", Region: "there", Peer: fmt.Sprintf("10.0.8.%d:7620", n+1)}
			f := New(Config{Self: late, Log: log.NewNopLogger(), FillBeat: func(b *Beat) { b.Serving = true }, HandleBeat: func(Beat) {}, OnMembersChange: func() {},
				Suspects: func(bool) []poison.Fact { return nil }}, c.network.listen(late.Peer))
			f.Add([]Member{c.fleets[0].cfg.Self, c.fleets[3].cfg.Self})
			go f.Run(ctx)
			for range 30 {
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				for _, g := range []*Fleet{c.fleets[0], c.fleets[1], f} {
					rate := g.Demand()["here"]["s"].Rate
					assert.Assert(t, g == f && rate == 0 || rate >= 5*(size/2), "%s assumes a demand of %v", g.cfg.Self.Name, rate)
				}
			}
		}
	})
}
