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

// system is a set of nodes with the real view of the members, joined by
// function calls, for counting what they ask of the platform and each other.
type system struct {
	store *standin.Store
	mu    sync.Mutex
	nodes map[string]*controlled // by peer address
	// configCalls and configBytes count what configuration moves between nodes.
	configCalls atomic.Int64
	configBytes atomic.Int64
	stop        context.CancelFunc
	group       sync.WaitGroup
}

// controlled is a node with its control parts only.
type controlled struct {
	members *member.Members
	spread  *Spread
}

func startSystem(t *testing.T, zones, perZone int) *system {
	s := &system{store: standin.NewStore(standin.Options{}), nodes: map[string]*controlled{}}
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

func (s *system) startNode(t *testing.T, ctx context.Context, zone steering.Zone, region steering.Region, vm string) {
	address := vm + ":1"
	s.store.SetVM(objects.VM{Name: vm, Zone: string(zone), Region: string(region), PeerAddress: address, CallerAddress: vm + ":2", State: objects.VMLive})
	api := objects.NewBudget(s.store.As(vm, string(zone)), objects.BudgetConfig{})
	node := &controlled{}
	node.members = member.New(member.Config{
		Self:     seam.Member{VM: steering.VM(vm), Incarnation: steering.Incarnation("i-" + vm), Zone: zone, Region: region, PeerAddress: address, CallerAddress: vm + ":2"},
		Seeds:    []string{"vm-0-0:1", "vm-1-0:1"},
		Platform: api,
		Peers:    joined{s},
		Hooks: member.Hooks{
			ConfigVersion:   func() int64 { return node.spread.Version() },
			OnConfigVersion: func(address string, version int64) { node.spread.OnConfigVersion(address, version) },
		},
	})
	var err error
	node.spread, err = New(Config{Platform: api, Members: node.members, Peer: joined{s}.To, Seeds: []string{"vm-0-0:1", "vm-1-0:1"}})
	assert.NilError(t, err)
	s.mu.Lock()
	s.nodes[address] = node
	s.mu.Unlock()
	s.group.Go(func() { _ = node.members.Run(ctx) })
	s.group.Go(func() { _ = node.spread.Run(ctx) })
}

func (s *system) close() {
	s.stop()
	s.group.Wait()
}

// joined gives peers of a system.
type joined struct{ system *system }

func (j joined) To(address string) peerpb.Peer { return &wire{system: j.system, to: address} }

// wire is a client that calls the other node's parts.
type wire struct {
	peerpb.Peer
	system *system
	to     string
}

func (w *wire) node() (*controlled, error) {
	w.system.mu.Lock()
	defer w.system.mu.Unlock()
	if node, ok := w.system.nodes[w.to]; ok {
		return node, nil
	}
	return nil, errors.New("unreachable")
}

func (w *wire) count(messages ...proto.Message) {
	w.system.configCalls.Add(1)
	for _, m := range messages {
		w.system.configBytes.Add(int64(proto.Size(m)))
	}
}

func (w *wire) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	return node.members.Beat(ctx, in)
}

func (w *wire) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	reply, err := node.spread.Announce(ctx, in)
	w.count(in, reply)
	return reply, err
}

func (w *wire) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
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

// rates are calls a second over a span.
type rates struct {
	byOp  map[string]float64
	total float64
	peak  int64 // most in one second
}

func (s *system) ratesOver(span time.Duration) rates {
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
	return fmt.Sprintf("total %.2f/s, most in a second %d (%s)", r.total, r.peak, strings.Join(parts, ", "))
}

// full adds fleets of 150 and 300 nodes, which take minutes.
var full = flag.Bool("full", false, "also count the calls of fleets of 150 and 300 nodes")

// size is a fleet's size.
type size struct{ zones, perZone int }

// span is the time that steady calls, and those in an outage, are counted over.
const span = 40 * time.Second

// callsPerZone bounds a zone's platform calls a second: lease, its candidates,
// the watch, the status and the list of VMs.
const callsPerZone = 2.5

// Symptom: the platform throttles, or stops answering, when the fleet grows or
// when an outage ends. Sequence: a fleet starts together, runs, and goes
// through an outage. Cause: a call that every node makes, or
// that every node makes at the same moment.
func TestPlatformCallsFollowZonesNotNodes(t *testing.T) {
	steady := map[int]rates{}
	sizes := []size{{6, 2}, {6, 4}, {6, 8}}
	if *full {
		sizes = append(sizes, size{30, 5}, size{30, 10})
	}
	for _, size := range sizes {
		nodes := size.zones * size.perZone
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSystem(t, size.zones, size.perZone)
				defer s.close()
				started := s.ratesOver(10 * time.Second)
				time.Sleep(settled / 2)
				steady[nodes] = s.ratesOver(span)
				s.changeReachesAll(t, nodes)
				s.store.Down(true)
				down := s.ratesOver(span)
				s.store.Down(false)
				healed := s.ratesOver(15 * time.Second)
				t.Logf("%d nodes, %d zones", nodes, size.zones)
				t.Logf("  start:  %s", started)
				t.Logf("  steady: %s", steady[nodes])
				t.Logf("  outage: %s", down)
				t.Logf("  after:  %s", healed)
				bound := callsPerZone * float64(size.zones)
				assert.Assert(t, steady[nodes].total <= bound, "steady %.1f/s, bound %.1f", steady[nodes].total, bound)
				assert.Assert(t, down.total <= bound, "outage %.1f/s, bound %.1f", down.total, bound)
				assert.Assert(t, float64(healed.peak) <= 4*bound, "%d calls in a second after the outage", healed.peak)
			})
		})
	}
	checkSlope(t, "6 zones", steady[48].total-steady[24].total, 48-24)
	if *full {
		checkSlope(t, "30 zones", steady[300].total-steady[150].total, 300-150)
	}
}

// slopeMost bounds the platform calls a second that one more node adds in a
// zone that is there already. Forty nodes that each polled once in ten seconds
// would already pass it.
const slopeMost = 0.03

func checkSlope(t *testing.T, what string, growth float64, nodes int) {
	slope := growth / float64(nodes)
	t.Logf("slope at %s: %.4f calls/s per node", what, slope)
	assert.Assert(t, slope < slopeMost, "calls grow by %.4f/s per node", slope)
}

// changeReachesAll checks the promised time and logs what one change costs.
func (s *system) changeReachesAll(t *testing.T, nodes int) {
	calls, bytes := s.configCalls.Load(), s.configBytes.Load()
	api := s.store.As("operator", "operator")
	stored, err := api.Get(t.Context(), KindService, "tickets")
	assert.NilError(t, err)
	stored, err = api.Update(t.Context(), KindService, "tickets", stored.Version, []byte(serviceValue(2000)))
	assert.NilError(t, err)
	begun := time.Now()
	for !s.allAt(stored.Version) {
		assert.Assert(t, time.Since(begun) < limit, "not everywhere after %s", limit)
		time.Sleep(time.Millisecond)
	}
	took := time.Since(begun)
	time.Sleep(limit)
	t.Logf("change everywhere after %s of virtual time without delays on the way; %.1f calls and %.0f bytes per node",
		took, float64(s.configCalls.Load()-calls)/float64(nodes), float64(s.configBytes.Load()-bytes)/float64(nodes))
}

func (s *system) allAt(version int64) bool {
	for _, node := range s.nodes {
		if node.spread.Version() < version {
			return false
		}
	}
	return true
}
