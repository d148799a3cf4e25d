package dynamic

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherlock/node/member"
	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
)

// testbed is a set of nodes with real membership, connected by function calls. It
// counts their calls to the platform and to each other.
type testbed struct {
	store *standin.Store
	mu    sync.Mutex
	nodes map[string]*testbedNode // by peer address
	// configCalls and configBytes count the calls between nodes that announce
	// or fetch configuration, and the size of their messages.
	configCalls atomic.Int64
	configBytes atomic.Int64
	stop        context.CancelFunc
	group       sync.WaitGroup
}

// testbedNode is a node with membership and configuration only.
type testbedNode struct {
	members *member.Members
	spread  *Syncer
}

func startTestbed(t *testing.T, zones, perZone int) *testbed {
	s := &testbed{store: standin.NewStore(standin.Options{}), nodes: map[string]*testbedNode{}}
	_, err := s.store.As("operator", "operator").Create(context.Background(), KindService, "tickets", []byte(serviceValue(1000)))
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for z := range zones {
		for n := range perZone {
			s.startNode(t, ctx, steering.Zone(fmt.Sprintf("zone-%d", z)), steering.Region(fmt.Sprintf("region-%d", z/4)), fmt.Sprintf("vm-%d-%d", z, n))
		}
	}
	return s
}

func (s *testbed) startNode(t *testing.T, ctx context.Context, zone steering.Zone, region steering.Region, vm string) {
	address := vm + ":1"
	s.store.SetVM(objects.VM{Name: vm, Zone: string(zone), Region: string(region), PeerAddress: address, CallerAddress: vm + ":2", State: objects.VMLive})
	api := objects.NewBudget(s.store.As(vm, string(zone)), objects.BudgetConfig{})
	node := &testbedNode{}
	node.members = member.New(member.Config{
		Self:     seam.Member{VM: steering.VM(vm), Incarnation: steering.Incarnation("i-" + vm), Zone: zone, Region: region, PeerAddress: address, CallerAddress: vm + ":2"},
		Seeds:    []string{"vm-0-0:1", "vm-1-0:1"},
		Platform: api,
		Peers:    testbedPeers{s},
		Hooks: member.Hooks{
			ConfigVersion:   func() int64 { return node.spread.Version() },
			OnConfigVersion: func(address string, version int64) { node.spread.OnConfigVersion(address, version) },
		},
	})
	var err error
	node.spread, err = New(Config{Platform: api, Members: node.members, Peer: testbedPeers{s}.To, Seeds: []string{"vm-0-0:1", "vm-1-0:1"}})
	assert.NilError(t, err)
	s.mu.Lock()
	s.nodes[address] = node
	s.mu.Unlock()
	s.group.Go(func() { _ = node.members.Run(ctx) })
	s.group.Go(func() { _ = node.spread.Run(ctx) })
}

func (s *testbed) close() {
	s.stop()
	s.group.Wait()
}

// testbedPeers makes clients for the nodes of a testbed.
type testbedPeers struct{ testbed *testbed }

func (j testbedPeers) To(address string) peerpb.Peer {
	return &testbedPeer{testbed: j.testbed, to: address}
}

// testbedPeer is a peer client that calls the other node directly.
type testbedPeer struct {
	peerpb.Peer
	testbed *testbed
	to      string
}

func (w *testbedPeer) node() (*testbedNode, error) {
	w.testbed.mu.Lock()
	defer w.testbed.mu.Unlock()
	if node, ok := w.testbed.nodes[w.to]; ok {
		return node, nil
	}
	return nil, errors.New("unreachable")
}

func (w *testbedPeer) count(messages ...proto.Message) {
	w.testbed.configCalls.Add(1)
	for _, m := range messages {
		w.testbed.configBytes.Add(int64(proto.Size(m)))
	}
}

func (w *testbedPeer) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	return node.members.Beat(ctx, in)
}

func (w *testbedPeer) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	reply, err := node.spread.Announce(ctx, in)
	w.count(in, reply)
	return reply, err
}

func (w *testbedPeer) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	reply, err := node.spread.FetchConfig(ctx, in)
	if err == nil {
		w.count(in, reply)
	}
	return reply, err
}

// rates are platform calls per second over a period.
type rates struct {
	byOp  map[string]float64
	total float64
	peak  int64 // highest number of calls in one second
}

func (s *testbed) ratesOver(span time.Duration) rates {
	before, from := s.store.Counts(), time.Now()
	time.Sleep(span)
	after := s.store.Counts()
	r := rates{byOp: map[string]float64{}, total: float64(after.Total-before.Total) / span.Seconds()}
	for op, n := range after.ByOp {
		r.byOp[op] = float64(n-before.ByOp[op]) / span.Seconds()
	}
	for _, second := range s.store.Seconds() {
		if second.At.After(from) {
			r.peak = max(r.peak, second.Total)
		}
	}
	return r
}

func (r rates) String() string {
	var parts []string
	for _, op := range slices.Sorted(maps.Keys(r.byOp)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", op, r.byOp[op]))
	}
	return fmt.Sprintf("total %.2f/s, peak second %d (%s)", r.total, r.peak, strings.Join(parts, ", "))
}

// fullFleets adds fleets of 150 and 300 nodes, whose tests take minutes.
var fullFleets = flag.Bool("full", false, "also count the calls of fleets of 150 and 300 nodes")

// size is the size of a fleet.
type size struct{ zones, perZone int }

// measureTime is the time over which calls are counted in normal operation and
// during an outage.
const measureTime = 40 * time.Second

// maxCallsPerZone limits a zone's platform calls per second: renewals of the lease,
// reads by its candidates, the watch, the status and the list of VMs.
const maxCallsPerZone = 2.5

// Guards against calls that every entry VM makes, or that all make at the same
// moment: when the fleet grows, starts together or recovers from an outage, the
// platform would throttle them or stop answering.
func TestPlatformCallsScaleWithZonesNotNodes(t *testing.T) {
	steady := map[int]rates{}
	sizes := []size{{6, 2}, {6, 4}, {6, 8}}
	if *fullFleets {
		sizes = append(sizes, size{30, 5}, size{30, 10})
	}
	for _, size := range sizes {
		nodes := size.zones * size.perZone
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startTestbed(t, size.zones, size.perZone)
				defer s.close()
				started := s.ratesOver(10 * time.Second)
				time.Sleep(settleTime / 2)
				steady[nodes] = s.ratesOver(measureTime)
				s.changeReachesAll(t, nodes)
				s.store.Down(true)
				down := s.ratesOver(measureTime)
				s.store.Down(false)
				healed := s.ratesOver(15 * time.Second)
				t.Logf("%d nodes, %d zones", nodes, size.zones)
				t.Logf("  start:  %s", started)
				t.Logf("  steady: %s", steady[nodes])
				t.Logf("  outage: %s", down)
				t.Logf("  after:  %s", healed)
				bound := maxCallsPerZone * float64(size.zones)
				assert.Assert(t, steady[nodes].total <= bound, "steady %.1f/s, bound %.1f", steady[nodes].total, bound)
				assert.Assert(t, down.total <= bound, "outage %.1f/s, bound %.1f", down.total, bound)
				assert.Assert(t, float64(healed.peak) <= 4*bound, "%d calls in a second after the outage", healed.peak)
			})
		})
	}
	checkSlope(t, "6 zones", steady[48].total-steady[24].total, 48-24)
	if *fullFleets {
		checkSlope(t, "30 zones", steady[300].total-steady[150].total, 300-150)
	}
}

// maxSlope limits the platform calls per second that one more node adds to an
// existing zone. Forty nodes that each polled once in 10 s would exceed it.
const maxSlope = 0.03

func checkSlope(t *testing.T, what string, growth float64, nodes int) {
	slope := growth / float64(nodes)
	t.Logf("slope at %s: %.4f calls/s per node", what, slope)
	assert.Assert(t, slope < maxSlope, "calls grow by %.4f/s per node", slope)
}

// changeReachesAll checks that a change reaches all nodes within propagationLimit,
// and logs the calls and bytes it takes.
func (s *testbed) changeReachesAll(t *testing.T, nodes int) {
	calls, bytes := s.configCalls.Load(), s.configBytes.Load()
	api := s.store.As("operator", "operator")
	stored, err := api.Get(t.Context(), KindService, "tickets")
	assert.NilError(t, err)
	stored, err = api.Update(t.Context(), KindService, "tickets", stored.Version, []byte(serviceValue(2000)))
	assert.NilError(t, err)
	begun := time.Now()
	for !s.allAtVersion(stored.Version) {
		assert.Assert(t, time.Since(begun) < propagationLimit, "change not in force everywhere after %s", propagationLimit)
		time.Sleep(time.Millisecond)
	}
	took := time.Since(begun)
	time.Sleep(propagationLimit)
	t.Logf("change in force everywhere after %s of virtual time without network delays; %.1f calls and %.0f bytes per node",
		took, float64(s.configCalls.Load()-calls)/float64(nodes), float64(s.configBytes.Load()-bytes)/float64(nodes))
}

func (s *testbed) allAtVersion(version int64) bool {
	for _, node := range s.nodes {
		if node.spread.Version() < version {
			return false
		}
	}
	return true
}
