package dynamic

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/node/runtime"
	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
	"heatherlock/steering/config"
	"heatherlock/steering/routing"
)

// fleet is a set of nodes in one process, connected by function calls, with the
// stand-in as their platform. It runs under synctest.
type fleet struct {
	t         testing.TB
	store     *standin.Store
	mu        sync.Mutex
	nodes     map[string]*fleetNode // by peer address
	cut       map[[2]steering.Zone]bool
	starts    int
	editReply func(*peerpb.FetchConfigReply)
	facts     func() runtime.ZoneFacts
	// onAnnounce, if not nil, is called with the sender of each announcement
	// that has reached its peer.
	onAnnounce func(from *fleetNode)
}

// fleetNode is a node of a fleet. Each start begins a new process life, with a new
// Syncer and a new incarnation.
type fleetNode struct {
	fleet      *fleet
	self       seam.Member
	spread     *Syncer
	stop       context.CancelFunc
	done       chan struct{}
	maxVersion int64 // highest version in force in this process life
	gate       gate
}

// gate simulates a paused process: while it is closed, it blocks the node's calls to
// the platform and to peers, before and after each call.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) pass() {
	g.mu.Lock()
	reopened := g.reopened
	g.mu.Unlock()
	if reopened != nil {
		<-reopened
	}
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened == nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reopened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.reopened)
	g.reopened = nil
}

// pausablePlatform is the platform client of a process that may be paused.
type pausablePlatform struct {
	objects.API
	gate *gate
}

func (g pausablePlatform) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Get(ctx, kind, name)
}

func (g pausablePlatform) Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (objects.Object, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Update(ctx, kind, name, version, value)
}

func (g pausablePlatform) Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]objects.Event, int64, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Watch(ctx, since, wait, kinds...)
}

func newFleet(t testing.TB, zones, perZone int) *fleet {
	f := &fleet{t: t, store: standin.NewStore(standin.Options{}), nodes: map[string]*fleetNode{}, cut: map[[2]steering.Zone]bool{}}
	for z := range zones {
		for n := range perZone {
			f.add(fmt.Sprintf("zone-%d", z), fmt.Sprintf("vm-%d-%d", z, n))
		}
	}
	return f
}

// add registers a node without starting it.
func (f *fleet) add(zone, vm string) *fleetNode {
	m := &fleetNode{fleet: f}
	m.self = seam.Member{VM: steering.VM(vm), Zone: steering.Zone(zone), Region: "norte", PeerAddress: vm + ":1"}
	f.nodes[m.self.PeerAddress] = m
	return m
}

func (f *fleet) startAll() {
	for _, m := range f.nodes {
		m.start()
	}
}

// start begins a new process life.
func (m *fleetNode) start() {
	f := m.fleet
	f.mu.Lock()
	f.starts++
	m.self.Incarnation = steering.Incarnation(fmt.Sprintf("life%d", f.starts))
	f.mu.Unlock()
	spread, err := New(Config{
		Platform:       pausablePlatform{f.store.As(string(m.self.VM), string(m.self.Zone)), &m.gate},
		Members:        m,
		StatusContents: f.facts,
		Peer:           func(address string) peerpb.Peer { return &fleetPeer{from: m, to: address} },
	})
	assert.NilError(f.t, err)
	spread.Subscribe(func(snapshot *routing.Snapshot) {
		if snapshot.Version < m.maxVersion && m.spread == spread {
			f.t.Errorf("%s: version decreased from %d to %d", m.self.VM, m.maxVersion, snapshot.Version)
		}
		m.maxVersion = snapshot.Version
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	m.spread, m.stop, m.done = spread, cancel, make(chan struct{})
	m.maxVersion = 0
	done := m.done
	f.mu.Unlock()
	go func() {
		defer close(done)
		go m.heartbeatLoop(ctx, spread)
		assert.Check(f.t, spread.Run(ctx))
	}()
}

// kill ends the process life and waits until Run has returned.
func (m *fleetNode) kill() {
	m.stop()
	<-m.done
}

// killAll kills every node. It resumes paused nodes first, because a paused node
// does not react to the end of its context.
func (f *fleet) killAll() {
	for _, m := range f.nodes {
		if !m.gate.isOpen() {
			m.gate.open()
		}
	}
	for _, m := range f.nodes {
		m.kill()
	}
}

// heartbeatLoop replaces package member: once a second each node exchanges versions
// with a random node of its zone, and the first node of each zone also with one of
// every other zone.
func (m *fleetNode) heartbeatLoop(ctx context.Context, spread *Syncer) {
	for sleep(ctx, time.Second) == nil {
		byZone := map[steering.Zone][]seam.Member{}
		for _, o := range m.All() {
			byZone[o.Zone] = append(byZone[o.Zone], o)
		}
		own := byZone[m.self.Zone]
		for _, members := range byZone {
			if members[0].Zone == m.self.Zone || own[0].VM == m.self.VM {
				m.exchangeVersions(spread, members[rand.IntN(len(members))].PeerAddress)
			}
		}
	}
}

func (m *fleetNode) exchangeVersions(spread *Syncer, address string) {
	m.gate.pass()
	peer, err := m.fleet.connect(m, address)
	if err != nil || !m.fleet.nodes[address].gate.isOpen() {
		return
	}
	spread.OnConfigVersion(address, peer.set.Load().Version())
	peer.OnConfigVersion(m.self.PeerAddress, spread.set.Load().Version())
}

// connect returns the Syncer at a peer address, or an error if the address cannot be
// reached from a node.
func (f *fleet) connect(from *fleetNode, address string) (*Syncer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to, ok := f.nodes[address]
	if !ok || to.spread == nil || f.cut[[2]steering.Zone{from.self.Zone, to.self.Zone}] {
		return nil, errors.New("unreachable")
	}
	return to.spread, nil
}

// cutZones breaks the connection between two zones, or restores it.
func (f *fleet) cutZones(a, b steering.Zone, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]steering.Zone{a, b}] = on
	f.cut[[2]steering.Zone{b, a}] = on
}

// The methods below implement seam.Members, which package member provides otherwise.

func (m *fleetNode) Self() seam.Member { return m.self }

func (m *fleetNode) All() []seam.Member {
	return m.membersWhere(func(seam.Member) bool { return true })
}

func (m *fleetNode) InZone(zone steering.Zone) []seam.Member {
	return m.membersWhere(func(o seam.Member) bool { return o.Zone == zone })
}

func (m *fleetNode) membersWhere(match func(seam.Member) bool) []seam.Member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var found []seam.Member
	for _, o := range m.fleet.nodes {
		if match(o.self) {
			found = append(found, o.self)
		}
	}
	slices.SortFunc(found, func(a, b seam.Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return found
}

func (m *fleetNode) ByIncarnation(steering.Incarnation) (seam.Member, bool) {
	return seam.Member{}, false
}
func (m *fleetNode) RecordReachability(steering.VM, bool) {}

// waitWhilePaused blocks while the process at an address is paused, as a call to it
// would.
func (f *fleet) waitWhilePaused(ctx context.Context, address string) error {
	f.mu.Lock()
	gate := &f.nodes[address].gate
	f.mu.Unlock()
	gate.mu.Lock()
	reopened := gate.reopened
	gate.mu.Unlock()
	if reopened == nil {
		return nil
	}
	select {
	case <-reopened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fleetPeer is a peer client that calls the other node directly.
type fleetPeer struct {
	peerpb.Peer
	from *fleetNode
	to   string
}

func (l *fleetPeer) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	l.from.gate.pass()
	peer, err := l.from.fleet.connect(l.from, l.to)
	if err != nil {
		return nil, err
	}
	if err := l.from.fleet.waitWhilePaused(ctx, l.to); err != nil {
		return nil, err
	}
	reply, err := peer.Announce(ctx, in)
	if l.from.fleet.onAnnounce != nil {
		l.from.fleet.onAnnounce(l.from)
	}
	return reply, err
}

func (l *fleetPeer) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	l.from.gate.pass()
	peer, err := l.from.fleet.connect(l.from, l.to)
	if err != nil {
		return nil, err
	}
	if err := l.from.fleet.waitWhilePaused(ctx, l.to); err != nil {
		return nil, err
	}
	reply, err := peer.FetchConfig(ctx, in)
	if err == nil && l.from.fleet.editReply != nil {
		l.from.fleet.editReply(reply)
	}
	return reply, err
}

// operator returns a platform client of an operator. It belongs to no zone that is
// cut off.
func (f *fleet) operator() objects.API { return f.store.As("operator", "nowhere") }

func (f *fleet) put(kind, name, value string) int64 {
	api := f.operator()
	object, err := api.Get(context.Background(), kind, name)
	if err == nil {
		object, err = api.Update(context.Background(), kind, name, object.Version, json.RawMessage(value))
	} else {
		object, err = api.Create(context.Background(), kind, name, json.RawMessage(value))
	}
	assert.NilError(f.t, err)
	return object.Version
}

func serviceValue(timeoutMs int) string {
	return fmt.Sprintf(`{"kind":"Service","metadata":{"name":"tickets"},"spec":{"timeoutMs":%d}}`, timeoutMs)
}

// requireVersion fails unless every node has the version or a later one in force.
func (f *fleet) requireVersion(version int64) {
	f.t.Helper()
	for _, m := range f.nodes {
		assert.Assert(f.t, m.spread.Version() >= version, "%s has version %d, want %d", m.self.VM, m.spread.Version(), version)
	}
}

// requireSameSet fails unless all nodes have the same set.
func (f *fleet) requireSameSet() {
	f.t.Helper()
	var first *config.Set
	for _, m := range f.nodes {
		set := m.spread.set.Load()
		if first == nil {
			first = set
		}
		assert.Equal(f.t, set.Version(), first.Version())
		assert.Equal(f.t, set.Sum(), first.Sum())
	}
}

// readers returns the nodes that hold the reader lease of their zone.
func (f *fleet) readers() []*fleetNode {
	var found []*fleetNode
	for _, m := range f.nodes {
		if _, leading := m.spread.Leader(); leading {
			found = append(found, m)
		}
	}
	return found
}

// readerOf returns the node that holds the reader lease of a zone.
func (f *fleet) readerOf(zone steering.Zone) *fleetNode {
	for _, m := range f.readers() {
		if m.self.Zone == zone {
			return m
		}
	}
	f.t.Fatalf("no reader in %s", zone)
	return nil
}

// startedFleet starts a fleet with one service and waits until every zone has a
// reader.
func startedFleet(t testing.TB, zones, perZone int) *fleet {
	f := newFleet(t, zones, perZone)
	f.put(KindService, "tickets", serviceValue(1000))
	f.startAll()
	time.Sleep(settleTime)
	assert.Equal(t, len(f.readers()), zones)
	return f
}

// settleTime is the time within which every zone has a reader after any fault has
// ended: the TTL of a lease, a few polls and the longest backoff after failures.
const settleTime = 30 * time.Second
