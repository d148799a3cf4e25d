package member

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
)

// oneWay is the delay of a message in tests.
const oneWay = 5 * time.Millisecond

var errNoRoute = errors.New("connection timed out")

// node is one entry VM in a test.
type node struct {
	*Members
	fleet  *fleet
	vm     steering.VM
	zone   steering.Zone
	cancel context.CancelFunc
	pauses []time.Duration
	// frozen holds the process still while it is open.
	frozen chan struct{}
	config int64
}

// fleet is a set of entry VMs over a network that can be cut, with virtual time.
type fleet struct {
	t     *testing.T
	store *standin.Store

	mu        sync.Mutex
	byAddress map[string]*node
	cut       map[[2]steering.Zone]bool // from, to
	cutVM     map[[2]steering.VM]bool
	calls     int
	bytes     int
	started   int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: standin.NewStore(standin.Options{}), byAddress: map[string]*node{},
		cut: map[[2]steering.Zone]bool{}, cutVM: map[[2]steering.VM]bool{}}
}

// peers is the network as one node sees it.
type peers struct{ from *node }

type route struct {
	peerpb.Peer
	from    *node
	address string
}

func (p peers) To(address string) peerpb.Peer { return route{from: p.from, address: address} }

// Beat carries one call, or fails like a network would: at once for a closed
// port, after the timeout for a cut.
func (r route) Beat(ctx context.Context, request *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	f := r.from.fleet
	defer r.from.thaw(context.Background()) // a frozen process sees no timeout pass
	time.Sleep(oneWay)
	to, ok := f.route(r.from, r.address)
	if to == nil && ok {
		return nil, errors.New("connection refused")
	}
	if !ok || !to.thaw(ctx) {
		<-ctx.Done()
		return nil, errNoRoute
	}
	reply, err := to.Beat(ctx, proto.CloneOf(request))
	time.Sleep(oneWay)
	if _, ok := f.route(to, r.from.Self().PeerAddress); !ok || !r.from.thaw(ctx) {
		<-ctx.Done()
		return nil, errNoRoute
	}
	f.count(request, reply)
	return reply, err
}

func (f *fleet) count(messages ...proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	for _, m := range messages {
		f.bytes += proto.Size(m)
	}
}

// route returns the node at an address, nil for a closed port, and false when
// messages from a node do not get there.
func (f *fleet) route(from *node, address string) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byAddress[address]
	if to == nil {
		return nil, true
	}
	return to, !f.cut[[2]steering.Zone{from.zone, to.zone}] && !f.cutVM[[2]steering.VM{from.vm, to.vm}]
}

// thaw waits while the process is frozen; false when ctx ends first.
func (n *node) thaw(ctx context.Context) bool {
	n.fleet.mu.Lock()
	frozen := n.frozen
	n.fleet.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return true
	case <-ctx.Done():
		return false
	}
}

// freeze stops the process for a time, as a paused VM would.
func (n *node) freeze(d time.Duration) {
	frozen := make(chan struct{})
	n.fleet.mu.Lock()
	n.frozen = frozen
	n.fleet.mu.Unlock()
	time.Sleep(d)
	n.fleet.mu.Lock()
	n.frozen = nil
	n.fleet.mu.Unlock()
	close(frozen)
}

// start runs an entry VM; its address is new each time.
func (f *fleet) start(vm steering.VM, zone steering.Zone, seeds ...string) *node {
	f.started++
	address := fmt.Sprintf("10.0.0.%d:1", f.started)
	n := &node{fleet: f, vm: vm, zone: zone}
	random := rand.New(rand.NewPCG(1, uint64(f.started)))
	var mu sync.Mutex
	n.Members = New(Config{
		Self: seam.Member{VM: vm, Zone: zone, Region: steering.Region(zone[:1]), PeerAddress: address,
			Incarnation: steering.Incarnation(fmt.Sprint("i", f.started))},
		Seeds: seeds, Platform: f.store.As(string(vm), string(zone)), Peers: peers{n},
		Random: func(limit int) int {
			if limit == jitterChoices || limit >= 1<<20 { // a loop's pause, drawn without a lock held
				n.thaw(context.Background())
			}
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(limit)
		},
		Hooks: Hooks{
			ConfigVersion: func() int64 { n.thaw(context.Background()); return n.config },
			OnPause:       func(d time.Duration) { n.pauses = append(n.pauses, d) },
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.byAddress[address] = n
	f.mu.Unlock()
	f.store.SetVM(objects.VM{Name: string(vm), Zone: string(zone), Region: string(zone[:1]), PeerAddress: address, State: objects.VMLive})
	go func() { _ = n.Run(ctx) }()
	return n
}

// kill ends a process without notice.
func (n *node) kill() {
	n.cancel()
	n.fleet.mu.Lock()
	delete(n.fleet.byAddress, n.Self().PeerAddress)
	n.fleet.mu.Unlock()
}

// isolate cuts a zone off from the other zones and the platform, or heals it.
func (f *fleet) isolate(zone steering.Zone, on bool) {
	f.store.CutOff(string(zone), on)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.byAddress {
		if n.zone != zone {
			f.cut[[2]steering.Zone{zone, n.zone}] = on
			f.cut[[2]steering.Zone{n.zone, zone}] = on
		}
	}
}

// see returns how a node sees a VM now.
func (n *node) see(vm steering.VM) seam.Member {
	for _, m := range n.All() {
		if m.VM == vm {
			return m
		}
	}
	return seam.Member{State: seam.MemberGone}
}

// within waits until a condition holds for all nodes and fails after a limit.
func (f *fleet) within(limit time.Duration, what string, nodes []*node, holds func(*node) bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for {
		missing := ""
		for _, n := range nodes {
			if !holds(n) {
				missing = string(n.vm)
			}
		}
		if missing == "" {
			return time.Since(begun)
		}
		assert.Assert(f.t, time.Since(begun) < limit, "not within %s at %s: %s", limit, missing, what)
		time.Sleep(50 * time.Millisecond)
	}
}

// sees is the condition that a node sees a VM's incarnation in a state.
func sees(target *node, state seam.MemberState) func(*node) bool {
	return func(n *node) bool {
		m := n.see(target.vm)
		return m.State == state && m.Incarnation == target.Self().Incarnation
	}
}

// run starts perZone entry VMs in each zone, waits until all know all, runs a
// test and ends every process.
func run(t *testing.T, perZone int, zones []steering.Zone, test func(*fleet, []*node)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		var nodes []*node
		for _, zone := range zones {
			for i := range perZone {
				nodes = append(nodes, f.start(steering.VM(fmt.Sprintf("%s-%d", zone, i)), zone))
			}
		}
		f.within(15*time.Second, "everybody is live to everybody", nodes, func(n *node) bool {
			for _, target := range nodes {
				if !sees(target, seam.MemberLive)(n) {
					return false
				}
			}
			return true
		})
		test(f, nodes)
	})
}

// stop ends every process.
func (f *fleet) stop() {
	f.mu.Lock()
	running := slices.Collect(maps.Values(f.byAddress))
	f.mu.Unlock()
	for _, n := range running {
		n.kill()
	}
	time.Sleep(time.Minute)
}

// without leaves one node out.
func without(nodes []*node, out *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != out {
			rest = append(rest, n)
		}
	}
	return rest
}

var threeZones = []steering.Zone{"norte-a", "norte-b", "sur-a"}
