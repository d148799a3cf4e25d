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

// fleet is a set of nodes in one process, joined by function calls, with the
// stand-in as their platform. It runs under synctest.
type fleet struct {
	t      testing.TB
	store  *standin.Store
	mu     sync.Mutex
	nodes  map[string]*life // by peer address
	cut    map[[2]steering.Zone]bool
	lives  int
	tamper func(*peerpb.FetchConfigReply)
	facts  func() runtime.ZoneFacts
	// announced is told of each announcement that arrived.
	announced func(from *life)
}

// life is one process life of a node.
type life struct {
	fleet  *fleet
	self   seam.Member
	spread *Spread
	stop   context.CancelFunc
	done   chan struct{}
	high   int64 // highest version that this life had in force
	gate   gate
}

// gate holds up everything a process does towards the outside while it is
// shut, before and after each call: the process is paused.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while open
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut == nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// gated is the platform as a process that may be paused sees it.
type gated struct {
	objects.API
	gate *gate
}

func (g gated) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Get(ctx, kind, name)
}

func (g gated) Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (objects.Object, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Update(ctx, kind, name, version, value)
}

func (g gated) Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]objects.Event, int64, error) {
	g.gate.pass()
	defer g.gate.pass()
	return g.API.Watch(ctx, since, wait, kinds...)
}

func newFleet(t testing.TB, zones, perZone int) *fleet {
	f := &fleet{t: t, store: standin.NewStore(standin.Options{}), nodes: map[string]*life{}, cut: map[[2]steering.Zone]bool{}}
	for z := range zones {
		for n := range perZone {
			f.add(fmt.Sprintf("zone-%d", z), fmt.Sprintf("vm-%d-%d", z, n))
		}
	}
	return f
}

// add registers a node without starting it.
func (f *fleet) add(zone, vm string) *life {
	m := &life{fleet: f}
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
func (m *life) start() {
	f := m.fleet
	f.mu.Lock()
	f.lives++
	m.self.Incarnation = steering.Incarnation(fmt.Sprintf("life%d", f.lives))
	f.mu.Unlock()
	spread, err := New(Config{
		Platform: gated{f.store.As(string(m.self.VM), string(m.self.Zone)), &m.gate},
		Members:  m,
		Facts:    f.facts,
		Peer:     func(address string) peerpb.Peer { return &link{from: m, to: address} },
	})
	assert.NilError(f.t, err)
	spread.Subscribe(func(snapshot *routing.Snapshot) {
		if snapshot.Version < m.high && m.spread == spread {
			f.t.Errorf("%s went back from version %d to %d", m.self.VM, m.high, snapshot.Version)
		}
		m.high = snapshot.Version
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	m.spread, m.stop, m.done = spread, cancel, make(chan struct{})
	m.high = 0
	done := m.done
	f.mu.Unlock()
	go func() {
		defer close(done)
		go m.beat(ctx, spread)
		assert.Check(f.t, spread.Run(ctx))
	}()
}

// kill ends the process life.
func (m *life) kill() {
	m.stop()
	<-m.done
}

// killAll ends every node; a paused one has to run on to notice.
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

// beat stands for package member: once a second each node exchanges versions
// with one of its zone, and the zone's first node with one of each other zone.
func (m *life) beat(ctx context.Context, spread *Spread) {
	for pause(ctx, time.Second) == nil {
		byZone := map[steering.Zone][]seam.Member{}
		for _, o := range m.All() {
			byZone[o.Zone] = append(byZone[o.Zone], o)
		}
		own := byZone[m.self.Zone]
		for _, members := range byZone {
			if members[0].Zone == m.self.Zone || own[0].VM == m.self.VM {
				m.exchange(spread, members[rand.IntN(len(members))].PeerAddress)
			}
		}
	}
}

func (m *life) exchange(spread *Spread, address string) {
	m.gate.pass()
	peer, err := m.fleet.reach(m, address)
	if err != nil || !m.fleet.nodes[address].gate.isOpen() {
		return
	}
	spread.OnConfigVersion(address, peer.set.Load().Version())
	peer.OnConfigVersion(m.self.PeerAddress, spread.set.Load().Version())
}

func (f *fleet) reach(from *life, address string) (*Spread, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to, ok := f.nodes[address]
	if !ok || to.spread == nil || f.cut[[2]steering.Zone{from.self.Zone, to.self.Zone}] {
		return nil, errors.New("unreachable")
	}
	return to.spread, nil
}

// cutZones cuts two zones off from each other, or heals them.
func (f *fleet) cutZones(a, b steering.Zone, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]steering.Zone{a, b}] = on
	f.cut[[2]steering.Zone{b, a}] = on
}

// Members as package member would give them.

func (m *life) Self() seam.Member { return m.self }

func (m *life) All() []seam.Member { return m.where(func(seam.Member) bool { return true }) }

func (m *life) InZone(zone steering.Zone) []seam.Member {
	return m.where(func(o seam.Member) bool { return o.Zone == zone })
}

func (m *life) where(match func(seam.Member) bool) []seam.Member {
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

func (m *life) ByIncarnation(steering.Incarnation) (seam.Member, bool) { return seam.Member{}, false }
func (m *life) Evidence(steering.VM, bool)                             {}

// arrive waits while the process at an address is paused, as a call to it does.
func (f *fleet) arrive(ctx context.Context, address string) error {
	f.mu.Lock()
	gate := &f.nodes[address].gate
	f.mu.Unlock()
	gate.mu.Lock()
	shut := gate.shut
	gate.mu.Unlock()
	if shut == nil {
		return nil
	}
	select {
	case <-shut:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link is a peer client.
type link struct {
	peerpb.Peer
	from *life
	to   string
}

func (l *link) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	l.from.gate.pass()
	peer, err := l.from.fleet.reach(l.from, l.to)
	if err != nil {
		return nil, err
	}
	if err := l.from.fleet.arrive(ctx, l.to); err != nil {
		return nil, err
	}
	reply, err := peer.Announce(ctx, in)
	if l.from.fleet.announced != nil {
		l.from.fleet.announced(l.from)
	}
	return reply, err
}

func (l *link) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	l.from.gate.pass()
	peer, err := l.from.fleet.reach(l.from, l.to)
	if err != nil {
		return nil, err
	}
	if err := l.from.fleet.arrive(ctx, l.to); err != nil {
		return nil, err
	}
	reply, err := peer.FetchConfig(ctx, in)
	if err == nil && l.from.fleet.tamper != nil {
		l.from.fleet.tamper(reply)
	}
	return reply, err
}

// operator writes as an operator's client would, past every fault.
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

// inForce fails unless every node has at least the version.
func (f *fleet) inForce(version int64) {
	f.t.Helper()
	for _, m := range f.nodes {
		assert.Assert(f.t, m.spread.Version() >= version, "%s has version %d, want %d", m.self.VM, m.spread.Version(), version)
	}
}

// agree fails unless all nodes hold the same set.
func (f *fleet) agree() {
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

// readers returns the nodes that hold a lease.
func (f *fleet) readers() []*life {
	var found []*life
	for _, m := range f.nodes {
		if _, leading := m.spread.Leader(); leading {
			found = append(found, m)
		}
	}
	return found
}

// readerOf returns the node that reads for a zone.
func (f *fleet) readerOf(zone steering.Zone) *life {
	for _, m := range f.readers() {
		if m.self.Zone == zone {
			return m
		}
	}
	f.t.Fatalf("no reader in %s", zone)
	return nil
}

// running starts a fleet with one service and waits until it has settled.
func running(t testing.TB, zones, perZone int) *fleet {
	f := newFleet(t, zones, perZone)
	f.put(KindService, "tickets", serviceValue(1000))
	f.startAll()
	time.Sleep(settled)
	assert.Equal(t, len(f.readers()), zones)
	return f
}

// settled is the time in which a reader is found after any fault ends: a term,
// a few polls and the longest pause after failures.
const settled = 30 * time.Second
