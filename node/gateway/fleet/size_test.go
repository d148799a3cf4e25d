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

// wire carries datagrams between fleets in memory and counts them.
type wire struct {
	mu    sync.Mutex
	ends  map[string]*end
	count int
	bytes int
}

// end is one fleet's socket.
type end struct {
	wire    *wire
	address *net.UDPAddr
	in      chan packet
	once    sync.Once
	closed  chan struct{}
}

type packet struct {
	raw  []byte
	from net.Addr
}

func (w *wire) listen(address string) *end {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		panic(err)
	}
	e := &end{wire: w, address: udp, in: make(chan packet, 1<<14), closed: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[address] = e
	return e
}

// taken returns what was sent since the last call.
func (w *wire) taken() (count, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, bytes = w.count, w.bytes
	w.count, w.bytes = 0, 0
	return count, bytes
}

func (e *end) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-e.in:
		return copy(b, p.raw), p.from, nil
	case <-e.closed:
		return 0, nil, net.ErrClosed
	}
}

func (e *end) WriteTo(b []byte, to net.Addr) (int, error) {
	w := e.wire
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.bytes += len(b)
	other := w.ends[to.String()]
	if other == nil {
		return len(b), nil
	}
	select {
	case other.in <- packet{raw: append([]byte(nil), b...), from: e.address}:
	default: // a full queue loses it
	}
	return len(b), nil
}

func (e *end) Close() error                     { e.once.Do(func() { close(e.closed) }); return nil }
func (e *end) LocalAddr() net.Addr              { return e.address }
func (e *end) SetDeadline(time.Time) error      { return e.Close() }
func (e *end) SetReadDeadline(time.Time) error  { return e.Close() }
func (e *end) SetWriteDeadline(time.Time) error { return nil }

// crowd is a deployment of entry VMs that only exchange heartbeats.
type crowd struct {
	wire   *wire
	fleets []*Fleet
	stops  []context.CancelFunc
	// demand is what the callers of each VM keep busy.
	demand atomic.Int64
}

// newCrowd starts size VMs within 0.3 s. As at the start of a deployment, each has
// read the records of those that wrote theirs before it.
func newCrowd(ctx context.Context, size, zones int) *crowd {
	c := &crowd{wire: &wire{ends: make(map[string]*end)}}
	var records []Member
	for i := range size {
		self := Member{Name: steering.VM(fmt.Sprintf("vm-%d", i)), Zone: steering.Zone(fmt.Sprintf("zone-%d", i%zones)), Region: "here",
			Peer: fmt.Sprintf("10.0.%d.%d:7620", i/250, i%250+1), Control: fmt.Sprintf("10.0.%d.%d:8649", i/250, i%250+1), Callers: fmt.Sprintf("10.0.%d.%d:8641", i/250, i%250+1)}
		f := New(Config{Self: self, Log: log.NewNopLogger(), Own: c.own, Heard: func(Beat) {}, Changed: func() {},
			Suspects: func(bool) []poison.Fact { return nil }}, c.wire.listen(self.Peer))
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

func (c *crowd) own(b *Beat) {
	b.Serving = true
	b.ConfigContent = 0xfedcba98
	b.Demand = placement.DemandOf{"s": {Rate: float32(c.demand.Load()), RunMs: 110, Runs: 100}}
}

// agree returns after how long every running VM hears exactly want others and
// itself.
func (c *crowd) agree(within time.Duration, want int, skip int) (time.Duration, bool) {
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

// TestHeartbeatsStayFewAsTheFleetGrows. Symptom: a deployment of 300 VMs spends its
// processors on heartbeats while it starts. Sequence: all start within a moment;
// each VM is new to each other one and is introduced to all by everyone it hears.
// Cause: introductions grow with the cube of the fleet when each VM that hears a
// new one introduces all it knows, whether that one lacks them or not.
func TestHeartbeatsStayFewAsTheFleetGrows(t *testing.T) {
	const (
		startBytes  = 128 << 10 // a VM, in the first 10 s
		steadyBytes = 5 << 10   // a VM and second: the limit of all control traffic
	)
	for _, shape := range []struct{ size, zones int }{{12, 6}, {72, 6}, {150, 6}, {300, 15}, {650, 30}} {
		size := shape.size
		if size > 72 && os.Getenv("HEATHERLOCK_LARGE") == "" {
			continue
		}
		t.Run(fmt.Sprintf("%d in %d zones", size, shape.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newCrowd(ctx, size, shape.zones)
				met, ok := c.agree(10*time.Second, size, -1)
				assert.Assert(t, ok, "not all VMs hear each other after %s", met)
				time.Sleep(10*time.Second - met)
				_, atStart := c.wire.taken()
				for range 40 {
					time.Sleep(500 * time.Millisecond)
					synctest.Wait()
					for _, f := range c.fleets {
						assert.Equal(t, len(f.Live()), size, "%s takes a live VM for gone", f.cfg.Self.Name)
						assert.Equal(t, f.Size(), size, "%s counts other VMs than it lists", f.cfg.Self.Name)
					}
				}
				count, steady := c.wire.taken()
				c.stops[0]()
				gone, ok := c.agree(10*time.Second, size-1, 0)
				assert.Assert(t, ok, "a VM that ended still counts as live after %s", gone)
				t.Logf("%d VMs: all met after %s, %d B a VM in the first 10 s, then %d datagrams and %d B a VM and second; one gone for all after %s",
					size, met, atStart/size, count/size/20, steady/size/20, gone)
				assert.Assert(t, atStart/size <= startBytes, "%d B a VM at the start", atStart/size)
				assert.Assert(t, steady/size/20 <= steadyBytes, "%d B a VM and second", steady/size/20)
			})
		})
	}
}

// Symptom: a VM names only a few others to callers for as long as it runs.
// Sequence: it starts while the store is away, meets one VM, and the answer that
// introduces the others is lost. Cause: asking only while nobody at all is heard.
func TestVMThatKnowsFewOthersAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCrowd(ctx, 12, 6)
		_, ok := c.agree(5*time.Second, 12, -1)
		assert.Assert(t, ok)
		late := Member{Name: "late", Zone: "zone-0", Region: "here", Peer: "10.0.9.9:7620", Control: "10.0.9.9:8649", Callers: "10.0.9.9:8641"}
		f := New(Config{Self: late, Log: log.NewNopLogger(), Own: func(b *Beat) { b.Serving = true }, Heard: func(Beat) {}, Changed: func() {},
			Suspects: func(bool) []poison.Fact { return nil }}, c.wire.listen(late.Peer))
		f.Add([]Member{c.fleets[1].cfg.Self})
		go f.Run(ctx)
		c.fleets = append(c.fleets, f)
		met, ok := c.agree(5*time.Second, 13, -1)
		assert.Assert(t, ok, "not all are heard after %s", met)
	})
}

// Symptom: during a cut that only some VMs feel, heartbeats take more of the links
// than requests do. Cause: asking whom others hear again and again, although the
// answers bring nobody new.
func TestInquiryGivesUpSlowly(t *testing.T) {
	var q inquiry
	asked, start := 0, time.Unix(1000, 0)
	for ms := 0; ms < 60_000; ms += 50 {
		if q.heard(start.Add(time.Duration(ms)*time.Millisecond), false) {
			asked++
		}
	}
	assert.Assert(t, asked >= 3 && asked <= 7, "asked %d times in a minute", asked)
	q.learned()
	assert.Assert(t, q.heard(start.Add(61*time.Second), false), "somebody new: there may be more")
	assert.Assert(t, !q.heard(start.Add(62*time.Second), true), "a peer hears the same")
	assert.Assert(t, !q.heard(start.Add(63*time.Second), false), "not all have noticed a change yet")
}

// Symptom: a region goes on lending or keeping its keys by the demand of minutes
// ago. Sequence: demand grows in a zone of many VMs; those of its VMs that do not
// write to a VM of another zone never tell it theirs. Cause: each VM telling only
// its own demand.
func TestDemandOfLargeZonesIsKnownElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 72
		c := newCrowd(ctx, size, 6)
		for _, each := range []int64{1, 5, 2} {
			c.demand.Store(each)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			for _, f := range c.fleets {
				got, want := f.Demand()["here"]["s"].Rate, float32(each*(size-1))
				assert.Assert(t, got == want, "%s takes demand for %v requests a second, it is %v", f.cfg.Self.Name, got, want)
			}
		}
	})
}

// Symptom: a region takes the demand of another zone for a fraction of what it is.
// Sequence: a VM of a large zone answers one that has just started. Cause: an answer
// that tells the sender's own demand, which counts as that of its zone.
func TestAnswerToOneVMTellsNoDemandOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const size = 24
		c := newCrowd(ctx, size, 2)
		c.demand.Store(5)
		time.Sleep(5 * time.Second)
		for n := range 40 { // VMs of another zone that start one after the other
			late := Member{Name: steering.VM(fmt.Sprint("late-", n)), Zone: "zone-late", Region: "there", Peer: fmt.Sprintf("10.0.8.%d:7620", n+1)}
			f := New(Config{Self: late, Log: log.NewNopLogger(), Own: func(b *Beat) { b.Serving = true }, Heard: func(Beat) {}, Changed: func() {},
				Suspects: func(bool) []poison.Fact { return nil }}, c.wire.listen(late.Peer))
			f.Add([]Member{c.fleets[0].cfg.Self, c.fleets[3].cfg.Self})
			go f.Run(ctx)
			for range 30 {
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				for _, g := range []*Fleet{c.fleets[0], c.fleets[1], f} {
					rate := g.Demand()["here"]["s"].Rate
					assert.Assert(t, g == f && rate == 0 || rate >= 5*(size/2), "%s takes the demand for %v", g.cfg.Self.Name, rate)
				}
			}
		}
	})
}
