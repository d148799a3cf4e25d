package capshare

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

const (
	capName       = "evening"
	home          = steering.Place("centro")
	service       = steering.Service("tickets")
	snapshotDelay = 300 * time.Millisecond // delay until a snapshot is distributed
)

// fleet is a set of entry VMs connected by function calls, with a simulated platform. It runs
// under synctest.
type fleet struct {
	t     testing.TB
	store *standin.Store
	ctx   context.Context

	running sync.WaitGroup

	mu           sync.Mutex
	nodes        []*entryVM
	cap          routing.Cap
	incarnations int
	loseEvery    int // every loseEvery-th message between peers is lost; 0 loses none
	messages     int
	sentAt       []time.Time
}

// entryVM is one incarnation of an entry VM. It is its own seam.Configs and seam.Members.
type entryVM struct {
	fleet       *fleet
	self        seam.Member
	caps        *Caps
	stop        context.CancelFunc
	stopped     bool
	noSnapshots bool // receives no snapshots
	// paused is set from the end of a pause until the first message from another entry VM.
	paused atomic.Bool

	subscribers []func(*routing.Snapshot)
	snapshot    *routing.Snapshot
}

func newFleet(t testing.TB, requests int, vms ...string) *fleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{t: t, store: standin.NewStore(standin.Options{}), ctx: ctx}
	t.Cleanup(func() { stop(); f.running.Wait() })
	f.setCap(requests)
	for _, vm := range vms {
		f.start(vm)
	}
	f.running.Go(f.distributeLoop)
	return f
}

func (f *fleet) setCap(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	api := f.store.As("operator", "")
	stored, err := api.Get(f.ctx, "Cap", capName)
	if objects.KindOf(err) == objects.NotFound {
		stored, err = api.Create(f.ctx, "Cap", capName, []byte("{}"))
	} else {
		stored, err = api.Update(f.ctx, "Cap", capName, stored.Version, []byte("{}"))
	}
	assert.NilError(f.t, err)
	f.cap = routing.Cap{Name: capName, Version: stored.Version, Shift: "move", Requests: requests, Window: time.Second}
}

// zoneOf returns the zone of a VM, whose name is the zone followed by a number.
func zoneOf(vm string) steering.Zone { return steering.Zone(vm[:len(vm)-2]) }

func (f *fleet) start(vm string) *entryVM {
	f.mu.Lock()
	f.incarnations++
	inc := fmt.Sprintf("life-%d", f.incarnations)
	n := &entryVM{fleet: f, self: seam.Member{
		VM: steering.VM(vm), Incarnation: steering.Incarnation(inc), Zone: zoneOf(vm), Region: "sur",
		PeerAddress: inc, State: seam.MemberLive,
	}}
	n.snapshot = f.currentSnapshot()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.store.SetVM(objects.VM{Name: vm, State: objects.VMLive})
	var err error
	n.caps, err = New(Config{
		Configs: n, Members: n, Platform: f.store.As(vm, string(n.self.Zone)), Peer: f.peer,
		IsZoneReader: func() bool { return f.isZoneReader(n) }, ConfirmedSincePause: func() bool { return !n.paused.Load() }, Random: rand.New(rand.NewPCG(1, uint64(f.incarnations))).Float64,
	})
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.running.Go(func() { _ = n.caps.Run(ctx) })
	return n
}

// kill stops a process. The platform's list shows its VM as live until the test changes that.
func (f *fleet) kill(n *entryVM) {
	f.mu.Lock()
	n.stopped = true
	f.mu.Unlock()
	n.stop()
}

// isZoneReader makes the first running VM of each zone the zone's reader.
func (f *fleet) isZoneReader(n *entryVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.nodes {
		if !other.stopped && other.self.Zone == n.self.Zone {
			return other == n
		}
	}
	return false
}

// currentSnapshot builds the snapshot from the platform's current objects. The caller holds f.mu.
func (f *fleet) currentSnapshot() *routing.Snapshot {
	limit := f.cap
	s := &routing.Snapshot{
		Version: f.store.Revision(),
		Places: map[steering.Place]*routing.Place{
			home:    {Name: home, Zone: "centro-a", Region: "centro"},
			"sur-1": {Name: "sur-1", Zone: "sur-a", Region: "sur"},
			"sur-2": {Name: "sur-2", Zone: "sur-b", Region: "sur"},
		},
		Shifts: map[string]*routing.Shift{"move": {Name: "move", From: []steering.Place{home}, To: []steering.Place{"sur-1", "sur-2"}}},
		Caps:   map[string]*routing.Cap{capName: &limit},
		Seats:  map[string]*routing.CapSeats{},
	}
	if seats := f.seats(); seats != nil {
		s.Seats[capName] = seats
	}
	return s
}

// seats returns the stored record, or nil if there is none.
func (f *fleet) seats() *routing.CapSeats {
	stored, err := f.store.As("test", "").Get(context.WithoutCancel(f.ctx), routing.KindCapSeats, capName)
	if err != nil {
		return nil
	}
	var seats routing.CapSeats
	assert.NilError(f.t, json.Unmarshal(stored.Value, &seats))
	seats.Version = stored.Version
	return &seats
}

// distributeLoop delivers the newest snapshot to every node that receives snapshots.
func (f *fleet) distributeLoop() {
	for f.ctx.Err() == nil {
		time.Sleep(snapshotDelay)
		f.mu.Lock()
		s := f.currentSnapshot()
		nodes := slices.Clone(f.nodes)
		f.mu.Unlock()
		for _, n := range nodes {
			n.deliver(s)
		}
	}
}

func (n *entryVM) deliver(s *routing.Snapshot) {
	n.fleet.mu.Lock()
	if n.stopped || n.noSnapshots || s.Version < n.snapshot.Version {
		n.fleet.mu.Unlock()
		return
	}
	n.snapshot = s
	subscribers := slices.Clone(n.subscribers)
	n.fleet.mu.Unlock()
	for _, notify := range subscribers {
		notify(s)
	}
}

func (n *entryVM) Snapshot() *routing.Snapshot {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.snapshot
}

func (n *entryVM) Subscribe(f func(*routing.Snapshot)) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.subscribers = append(n.subscribers, f)
}

func (n *entryVM) Self() seam.Member { return n.self }

func (n *entryVM) All() []seam.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var all []seam.Member
	for _, other := range n.fleet.nodes {
		m := other.self
		if other.stopped {
			m.State = seam.MemberGone
		}
		all = append(all, m)
	}
	return all
}

func (n *entryVM) InZone(zone steering.Zone) []seam.Member {
	return slices.DeleteFunc(n.All(), func(m seam.Member) bool { return m.Zone != zone || m.State != seam.MemberLive })
}

func (n *entryVM) ByIncarnation(incarnation steering.Incarnation) (seam.Member, bool) {
	all := n.All()
	i := slices.IndexFunc(all, func(m seam.Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return seam.Member{}, false
	}
	return all[i], true
}

func (n *entryVM) RecordReachability(steering.VM, bool) {}

// peerClient is the client for one entry VM.
type peerClient struct {
	peerpb.Peer
	fleet   *fleet
	address string
}

func (f *fleet) peer(address string) peerpb.Peer { return peerClient{fleet: f, address: address} }

var errLost = errors.New("message lost")

// Borrow loses some requests and some replies.
func (p peerClient) Borrow(ctx context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	time.Sleep(time.Millisecond)
	to, lost := p.route()
	if to == nil || lost {
		return nil, errLost
	}
	reply, err := to.caps.Borrow(ctx, in)
	time.Sleep(time.Millisecond)
	if _, lost := p.route(); lost {
		return nil, errLost
	}
	return reply, err
}

func (p peerClient) route() (to *entryVM, lost bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.messages++
	for _, n := range p.fleet.nodes {
		if string(n.self.Incarnation) == p.address && !n.stopped {
			to = n
		}
	}
	return to, p.fleet.loseEvery > 0 && p.fleet.messages%p.fleet.loseEvery == 0
}

// sendRequests sends requests through a node for the given time, with a pause after each. It
// returns the number of admitted requests.
func (f *fleet) sendRequests(n *entryVM, pause, duration time.Duration) int {
	place := steering.Place("sur-1")
	if n.self.Zone == "sur-b" {
		place = "sur-2"
	}
	admitted := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		permit, err := n.caps.Admit(f.ctx, service, home, place)
		if err != nil {
			var refusal *steering.Refusal
			assert.Assert(f.t, errors.As(err, &refusal))
			assert.Equal(f.t, refusal.Reason, steering.ReasonCapReached)
			continue
		}
		permit.Done(true)
		f.mu.Lock()
		if !n.stopped {
			f.sentAt = append(f.sentAt, time.Now())
			admitted++
		}
		f.mu.Unlock()
	}
	return admitted
}

// peak returns the largest number of requests sent in any window that ends between from
// and to.
func (f *fleet) peak(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.sentAt, time.Time.Compare)
	peak, first := 0, 0
	for i, at := range f.sentAt {
		for !f.sentAt[first].After(at.Add(-time.Second)) {
			first++
		}
		if !at.Before(from) && !at.After(to) {
			peak = max(peak, i-first+1)
		}
	}
	return peak
}

func (f *fleet) permitsInSeats() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	seats := f.seats()
	if seats == nil {
		return 0
	}
	n := 0
	for _, s := range seats.Seats {
		n += s.Permits
	}
	return n
}
