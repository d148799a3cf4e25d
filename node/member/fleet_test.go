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

// oneWayDelay is the simulated network delay of a message.
const oneWayDelay = 5 * time.Millisecond

var errTimeout = errors.New("connection timed out")

// node is one simulated entry VM.
type node struct {
	*Members
	fleet  *fleet
	vm     steering.VM
	zone   steering.Zone
	cancel context.CancelFunc
	pauses []time.Duration
	// resumed is non-nil while the process is paused and is closed when it resumes.
	resumed chan struct{}
	config  int64
}

// fleet is a set of entry VMs in virtual time, connected by a network that can be partitioned.
type fleet struct {
	t     *testing.T
	store *standin.Store

	mu               sync.Mutex
	byAddress        map[string]*node
	droppedZonePairs map[[2]steering.Zone]bool // from, to
	droppedVMPairs   map[[2]steering.VM]bool
	calls            int
	bytes            int
	started          int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: standin.NewStore(standin.Options{}), byAddress: map[string]*node{},
		droppedZonePairs: map[[2]steering.Zone]bool{}, droppedVMPairs: map[[2]steering.VM]bool{}}
}

// peerNetwork is the network as one node sees it.
type peerNetwork struct{ from *node }

// route is the connection from one node to an address.
type route struct {
	peerpb.Peer
	from    *node
	address string
}

func (p peerNetwork) To(address string) peerpb.Peer { return route{from: p.from, address: address} }

// Beat delivers one call or fails as a network does: immediately for a closed port, after the
// timeout for a partition.
func (r route) Beat(ctx context.Context, request *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	f := r.from.fleet
	defer r.from.waitUntilResumed(context.Background()) // a paused process does not run its timeouts
	time.Sleep(oneWayDelay)
	to, ok := f.route(r.from, r.address)
	if to == nil && ok {
		return nil, errors.New("connection refused")
	}
	if !ok || !to.waitUntilResumed(ctx) {
		<-ctx.Done()
		return nil, errTimeout
	}
	reply, err := to.Beat(ctx, proto.CloneOf(request))
	time.Sleep(oneWayDelay)
	if _, ok := f.route(to, r.from.Self().PeerAddress); !ok || !r.from.waitUntilResumed(ctx) {
		<-ctx.Done()
		return nil, errTimeout
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

// route returns the node at an address, or nil for a closed port. It returns false if messages
// from the node do not arrive there.
func (f *fleet) route(from *node, address string) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byAddress[address]
	if to == nil {
		return nil, true
	}
	return to, !f.droppedZonePairs[[2]steering.Zone{from.zone, to.zone}] && !f.droppedVMPairs[[2]steering.VM{from.vm, to.vm}]
}

// waitUntilResumed waits while the process is paused. It returns false if ctx ends first.
func (n *node) waitUntilResumed(ctx context.Context) bool {
	n.fleet.mu.Lock()
	resumed := n.resumed
	n.fleet.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// pauseFor stops the process for the given time, like a paused VM.
func (n *node) pauseFor(d time.Duration) {
	resumed := make(chan struct{})
	n.fleet.mu.Lock()
	n.resumed = resumed
	n.fleet.mu.Unlock()
	time.Sleep(d)
	n.fleet.mu.Lock()
	n.resumed = nil
	n.fleet.mu.Unlock()
	close(resumed)
}

// start runs an entry VM at a new address.
func (f *fleet) start(vm steering.VM, zone steering.Zone, seeds ...string) *node {
	f.started++
	address := fmt.Sprintf("10.0.0.%d:1", f.started)
	n := &node{fleet: f, vm: vm, zone: zone}
	random := rand.New(rand.NewPCG(1, uint64(f.started)))
	var mu sync.Mutex
	n.Members = New(Config{
		Self: seam.Member{VM: vm, Zone: zone, Region: steering.Region(zone[:1]), PeerAddress: address,
			Incarnation: steering.Incarnation(fmt.Sprint("i", f.started))},
		Seeds: seeds, Platform: f.store.As(string(vm), string(zone)), Peers: peerNetwork{n},
		Random: func(limit int) int {
			if limit == jitterChoices || limit >= 1<<20 { // a loop's interval, drawn without a lock held
				n.waitUntilResumed(context.Background())
			}
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(limit)
		},
		Hooks: Hooks{
			ConfigVersion: func() int64 { n.waitUntilResumed(context.Background()); return n.config },
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

// kill stops a process without notice.
func (n *node) kill() {
	n.cancel()
	n.fleet.mu.Lock()
	delete(n.fleet.byAddress, n.Self().PeerAddress)
	n.fleet.mu.Unlock()
}

// setPartitioned partitions a zone from the other zones and the platform, or heals the partition.
func (f *fleet) setPartitioned(zone steering.Zone, on bool) {
	f.store.CutOff(string(zone), on)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.byAddress {
		if n.zone != zone {
			f.droppedZonePairs[[2]steering.Zone{zone, n.zone}] = on
			f.droppedZonePairs[[2]steering.Zone{n.zone, zone}] = on
		}
	}
}

// viewOf returns a VM as the node's view shows it now.
func (n *node) viewOf(vm steering.VM) seam.Member {
	for _, m := range n.All() {
		if m.VM == vm {
			return m
		}
	}
	return seam.Member{State: seam.MemberGone}
}

// waitFor waits until a condition holds at all nodes and returns the time that took. It fails the
// test after the limit.
func (f *fleet) waitFor(limit time.Duration, what string, nodes []*node, holds func(*node) bool) time.Duration {
	f.t.Helper()
	startedAt := time.Now()
	for {
		missing := ""
		for _, n := range nodes {
			if !holds(n) {
				missing = string(n.vm)
			}
		}
		if missing == "" {
			return time.Since(startedAt)
		}
		assert.Assert(f.t, time.Since(startedAt) < limit, "condition does not hold within %s at %s: %s", limit, missing, what)
		time.Sleep(50 * time.Millisecond)
	}
}

// seesState returns the condition that a node sees the incarnation of target in the given state.
func seesState(target *node, state seam.MemberState) func(*node) bool {
	return func(n *node) bool {
		m := n.viewOf(target.vm)
		return m.State == state && m.Incarnation == target.Self().Incarnation
	}
}

// run starts perZone entry VMs in each zone, waits until all of them see each other as live, runs
// the test and stops every process.
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
		f.waitFor(15*time.Second, "all members see each other as live", nodes, func(n *node) bool {
			for _, target := range nodes {
				if !seesState(target, seam.MemberLive)(n) {
					return false
				}
			}
			return true
		})
		test(f, nodes)
	})
}

// stop stops every process.
func (f *fleet) stop() {
	f.mu.Lock()
	running := slices.Collect(maps.Values(f.byAddress))
	f.mu.Unlock()
	for _, n := range running {
		n.kill()
	}
	time.Sleep(time.Minute)
}

// without returns the nodes except one.
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
