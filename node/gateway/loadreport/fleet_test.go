package loadreport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// simFleet is a fleet of services in virtual time with a number of targets in one region. Every second
// target is overloaded at weight 1, and its load follows its weight.
type simFleet struct {
	t       *testing.T
	vms     []*simVM
	targets []placement.TargetWeight
	lose    func(from, to int) bool
}

type simVM struct {
	net.PacketConn
	fleet   *simFleet
	n       int
	service *Service
	peers   Peers
	weights map[steering.Target]float64
	dead    bool
	old     bool // a build without load reports
	sent    int  // bytes, with the headers of packets
}

const simRegion = steering.Region("norte")

func newSimFleet(t *testing.T, size, targets int, store Store) *simFleet {
	f := &simFleet{t: t, lose: func(int, int) bool { return false }}
	for n := range targets {
		f.targets = append(f.targets, placement.TargetWeight{Name: steering.Target(fmt.Sprint("target-", n)), Service: "svc", Slots: 8, Steady: true})
	}
	var peers Peers
	for n := range size {
		peers.Live = append(peers.Live, Peer{Name: vmName(n), Region: simRegion, Address: fmt.Sprintf("10.0.%d.%d:9", n/250, n%250)})
	}
	peers.Named = peers.Live
	for n := range size {
		v := &simVM{fleet: f, n: n, peers: peers}
		v.service = New(Config{Self: vmName(n), Region: simRegion, Regions: []steering.Region{simRegion}, Log: log.NewNopLogger(), Scope: tally.NoopScope,
			Peers: func() Peers { return v.peers }, OnSend: func(_ steering.VM, bytes int) { v.sent += bytes + packetHeaderBytes }}, v)
		v.service.UseWeights(WeightsConfig{Samples: v.samples, SetWeights: func(w map[steering.Target]float64) { v.weights = w }, Store: store,
			Targets: func(time.Time, steering.Region) []placement.TargetWeight { return f.targets }})
		f.vms = append(f.vms, v)
	}
	return f
}

func vmName(n int) steering.VM { return steering.VM(fmt.Sprintf("front-norte-%03d", n)) }

// WriteTo delivers a datagram at once.
func (v *simVM) WriteTo(raw []byte, to net.Addr) (int, error) {
	ip := to.(*net.UDPAddr).IP.To4()
	n := int(ip[2])*250 + int(ip[3])
	if receiver := v.fleet.vms[n]; !receiver.dead && !receiver.old && !v.fleet.lose(v.n, n) {
		receiver.service.Receive(time.Now(), raw)
	}
	return len(raw), nil
}

// samples returns the load of up to 100 targets, which differ between VMs.
func (v *simVM) samples(time.Time) []placement.LoadSample {
	var samples []placement.LoadSample
	for n := range min(100, len(v.fleet.targets)) {
		at := (v.n*37 + n) % len(v.fleet.targets)
		name := v.fleet.targets[at].Name
		load := 0.3
		if at%2 == 0 {
			load = 1.5 * v.weight(name)
		}
		samples = append(samples, placement.LoadSample{Target: name, Service: "svc", Region: simRegion, Mean: load, Responses: 3})
	}
	slices.SortFunc(samples, func(a, b placement.LoadSample) int { return int(1000 * (b.Mean - a.Mean)) })
	return samples
}

func (v *simVM) weight(name steering.Target) float64 {
	if w, found := v.weights[name]; found {
		return w
	}
	return 1
}

// run runs the fleet for a time; one second later all VMs have what was sent.
func (f *simFleet) run(d time.Duration) {
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		for _, v := range f.vms {
			if !v.dead && !v.old {
				v.service.Tick(context.Background(), time.Now())
			}
		}
		synctest.Wait() // for calls to the store
	}
}

// see sets which VMs the VMs see as live, in the order of the store's readers.
func (f *simFleet) see(by []int, live ...int) {
	var peers Peers
	for _, n := range live {
		peers.Live = append(peers.Live, Peer{Name: vmName(n), Region: simRegion, Address: fmt.Sprintf("10.0.%d.%d:9", n/250, n%250)})
	}
	peers.Named = peers.Live
	for _, n := range by {
		f.vms[n].peers = peers
	}
}

// checkSame checks that VMs have the same weights in force, and that some are below 1.
func (f *simFleet) checkSame(vms ...int) map[steering.Target]float64 {
	f.t.Helper()
	first := f.vms[vms[0]].weights
	assert.Assert(f.t, len(first) > 0, "no weights in force")
	for _, n := range vms[1:] {
		assert.DeepEqual(f.t, f.vms[n].weights, first)
	}
	return first
}

// lowest returns the lowest weight.
func lowestOf(weights map[steering.Target]float64) float64 {
	least := 1.0
	for _, w := range weights {
		least = min(least, w)
	}
	return least
}

// Guards against keys that move back to their first targets when the balancer is killed, and against VMs
// that then use different weights.
func TestNextBalancerContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 4, 40, nil)
		f.run(60 * time.Second)
		before := f.checkSame(0, 1, 2, 3)
		f.vms[0].dead = true
		f.run(3 * time.Second) // until the others notice
		assert.DeepEqual(t, f.checkSame(1, 2, 3), before)
		f.see([]int{1, 2, 3}, 1, 2, 3)
		for range 30 {
			f.run(time.Second)
			for name, w := range f.vms[2].weights {
				assert.Assert(t, w-before[name] <= 0.25 || before[name] == 0, "%s rose from %v to %v", name, before[name], w)
			}
			assert.Assert(t, len(f.vms[2].weights) >= len(before)*3/4, "%d weights of %d are left", len(f.vms[2].weights), len(before))
		}
		f.run(4 * time.Second)
		f.checkSame(1, 2, 3)
	})
}

// Guards against weights that stay different after a time with two balancers, in which each VM follows the
// one that it sees first.
func TestTwoBalancersEndInOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 6, 40, nil)
		f.run(20 * time.Second)
		f.see([]int{3, 4, 5}, 3, 4, 5)
		f.run(30 * time.Second)
		f.checkSame(3, 4, 5)
		f.checkSame(0, 1, 2)
		f.see([]int{3, 4, 5}, 0, 1, 2, 3, 4, 5)
		f.run(6 * time.Second)
		f.checkSame(0, 1, 2, 3, 4, 5)
	})
}

// Guards against VMs that keep different weights when half of all datagrams are lost.
func TestLostDatagramsAreMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 5, 40, nil)
		random := rand.New(rand.NewPCG(1, 2))
		f.lose = func(int, int) bool { return random.IntN(2) == 0 }
		f.run(40 * time.Second)
		assert.Assert(t, lowestOf(f.vms[4].weights) <= 0.75)
		f.lose = func(int, int) bool { return false }
		f.run(6 * time.Second)
		f.checkSame(0, 1, 2, 3, 4)
	})
}

// Guards against weights that stay when nobody sends any: the balancer is cut off from a VM that sees it as
// live, or is of a build that sends none.
func TestWeightsOfASilentBalancerRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 3, 20, nil)
		f.run(30 * time.Second)
		f.checkSame(0, 1, 2)
		f.vms[0].old = true
		f.run(9 * time.Second)
		f.checkSame(1, 2)
		f.run(50 * time.Second)
		assert.Equal(t, len(f.vms[1].weights)+len(f.vms[2].weights), 0)
	})
}

// Guards against a VM that starts, sees only itself for a moment, and changes the weights of the others.
func TestStartingVMChangesNoWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 4, 40, nil)
		f.vms[0].dead = true
		f.see([]int{1, 2, 3}, 1, 2, 3)
		f.run(40 * time.Second)
		before := f.checkSame(1, 2, 3)
		f.vms[0].dead = false
		f.see([]int{0}, 0)
		f.run(time.Second)
		f.see([]int{0, 1, 2, 3}, 1, 2, 3, 0)
		f.run(2 * time.Second)
		assert.Assert(t, len(f.vms[1].weights) >= len(before)-2, "%d weights, %d before", len(f.vms[1].weights), len(before))
		f.run(4 * time.Second)
		f.checkSame(0, 1, 2, 3)
	})
}

// memStore keeps the weights of one region.
type memStore struct {
	saved        Saved
	load, save   Outcome
	loads, saves int
}

func (s *memStore) LoadWeights(context.Context, steering.Region) (Saved, Outcome) {
	s.loads++
	return s.saved, s.load
}

func (s *memStore) SaveWeights(_ context.Context, _ steering.Region, saved Saved) Outcome {
	s.saves++
	if s.save == StoreDone {
		s.saved = saved
	}
	return s.save
}

// Guards against keys that run cold because weights are lost when all VMs restart, against weights of a load
// that is long gone, and against a store that is down or overloaded by the balancer.
func TestBalancerContinuesFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memStore{load: StoreDone, save: StoreDone}
		f := newSimFleet(t, 3, 40, store)
		f.run(60 * time.Second)
		assert.Assert(t, store.saves > 0 && store.saves <= 12, "%d writes in a minute", store.saves)
		writes := store.saves
		f.run(60 * time.Second)
		assert.Assert(t, store.saves-writes <= 4, "%d writes in a minute at rest", store.saves-writes)
		kept := store.saved.Weights
		f = newSimFleet(t, 3, 40, store)
		f.run(5 * time.Second)
		assert.DeepEqual(t, f.checkSame(0, 1, 2), kept)

		time.Sleep(40 * time.Second)
		f = newSimFleet(t, 3, 40, store)
		f.run(5 * time.Second)
		assert.Equal(t, len(f.vms[0].weights), 0)

		store.load, store.save = StoreFailed, StoreFailed
		f = newSimFleet(t, 3, 40, store)
		f.run(30 * time.Second)
		f.checkSame(0, 1, 2)
	})
}

// Guards against control traffic that grows with the fleet: 986 VMs and 10,002 targets in 8 regions. The
// sections of other parts are sent as well.
func TestBytesOfLoadReports(t *testing.T) {
	for _, c := range []struct{ vms, targets int }{{4, 130}, {24, 130}, {123, 1250}} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(t, c.vms, c.targets, nil)
			for _, v := range f.vms {
				v.service.Register(Section{ID: 20, Fill: func(time.Time, steering.Region) []byte { return make([]byte, 300) }})
			}
			f.run(30 * time.Second)
			for _, v := range f.vms {
				v.sent = 0
			}
			const seconds = 120
			f.run(seconds * time.Second)
			most := 0
			for _, v := range f.vms[1:] {
				most = max(most, v.sent/seconds)
			}
			t.Logf("%d VMs and %d targets in the region: balancer %d B/s, others at most %d B/s, %d weights below 1", c.vms, c.targets, f.vms[0].sent/seconds, most, len(f.vms[0].weights))
			f.checkSame(0, 1, c.vms-1)
			assert.Assert(t, f.vms[0].sent/seconds <= 5000, "balancer")
			const round = maxReceivers * 400 // which may fall into the time or not
			assert.Assert(t, most <= 1000+round/seconds, "others")
		})
	}
}
