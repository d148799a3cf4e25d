package admit

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

const (
	testZone      = steering.Zone("norte-a")
	testPlace     = steering.Place("norte-1")
	testService   = steering.Service("tickets")
	oneWayLatency = time.Millisecond
)

// endpoint is a fake target that counts its requests and sheds those beyond its
// slots.
type endpoint struct {
	mu                   sync.Mutex
	slots                int
	inFlight             int
	peak                 int
	ran                  int
	sheds                int
	down                 bool
	answersLoadWhileDown bool // the load endpoint responds while the target is down
	attemptsWhileDown    int  // attempts while the target is down
}

func (e *endpoint) start() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight >= e.slots {
		e.sheds++
		return false
	}
	e.inFlight++
	e.ran++
	e.peak = max(e.peak, e.inFlight)
	return true
}

func (e *endpoint) refuses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.attemptsWhileDown++
	}
	return e.down
}

func (e *endpoint) setDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// setAnswersLoadWhileDown makes the load endpoint respond while the target is down.
func (e *endpoint) setAnswersLoadWhileDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersLoadWhileDown = true
}

// counts returns the number of requests that ran, and of attempts while the target
// was down.
func (e *endpoint) counts() (ran, attemptsWhileDown int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran, e.attemptsWhileDown
}

func (e *endpoint) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// zoneView is the membership view of one entry VM. Tests change it with set.
type zoneView struct {
	mu      sync.Mutex
	self    seam.Member
	all     []seam.Member
	resumed chan struct{} // if not nil, the process is paused: reads block until it is closed
}

func (v *zoneView) read() []seam.Member {
	v.mu.Lock()
	resumed := v.resumed
	v.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.all)
}

func (v *zoneView) set(vm steering.VM, state seam.MemberState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.all {
		if v.all[i].VM == vm {
			v.all[i].State = state
		}
	}
}

func (v *zoneView) Self() seam.Member                    { return v.self }
func (v *zoneView) All() []seam.Member                   { return v.read() }
func (v *zoneView) RecordReachability(steering.VM, bool) {}
func (v *zoneView) ByIncarnation(steering.Incarnation) (seam.Member, bool) {
	return seam.Member{}, false
}
func (v *zoneView) InZone(steering.Zone) []seam.Member {
	return slices.DeleteFunc(v.read(), func(m seam.Member) bool { return m.State != seam.MemberLive })
}

// staticConfig serves one snapshot and collects subscribers for zone.publish.
type staticConfig struct {
	snapshot    *routing.Snapshot
	subscribers *[]func(*routing.Snapshot)
}

func (c staticConfig) Snapshot() *routing.Snapshot { return c.snapshot }
func (c staticConfig) Subscribe(f func(*routing.Snapshot)) {
	*c.subscribers = append(*c.subscribers, f)
}

// entryVM is one entry VM of the zone under test.
type entryVM struct {
	name    steering.VM
	admit   *Controller
	view    *zoneView
	metrics tally.TestScope
	stop    context.CancelFunc
	ctx     context.Context
}

func (e *entryVM) count(name string) int64 {
	counter, ok := e.metrics.Snapshot().Counters()["admit."+name+"+"]
	if !ok {
		return 0
	}
	return counter.Value()
}

// zone is a set of entry VMs that share targets, connected by a network into which
// tests inject faults.
type zone struct {
	t       testing.TB
	vms     []*entryVM
	targets map[string]*endpoint // by address
	configs staticConfig

	mu           sync.Mutex
	partitioned  map[[2]steering.VM]bool
	paused       map[steering.VM]chan struct{}
	loseReleases bool

	served  int
	refused map[steering.Reason]int
	work    sync.WaitGroup
}

var errPartitioned = errors.New("connection refused")

func newZone(t testing.TB, vms, targets, slots int) *zone {
	z := &zone{
		t: t, targets: map[string]*endpoint{}, partitioned: map[[2]steering.VM]bool{},
		paused: map[steering.VM]chan struct{}{}, refused: map[steering.Reason]int{},
	}
	place := &routing.Place{Name: testPlace, Zone: testZone}
	s := &routing.Snapshot{
		Version:  1,
		Services: map[steering.Service]*routing.Service{testService: {Name: testService}},
		Places:   map[steering.Place]*routing.Place{testPlace: place},
		Targets:  map[steering.Target]*routing.Target{},
	}
	for i := range targets {
		address := fmt.Sprint("target-", i)
		target := routing.Target{Name: steering.Target(address), Service: testService, Place: testPlace, Address: address, Slots: slots}
		place.Targets = append(place.Targets, target)
		s.Targets[target.Name] = &target
		z.targets[address] = &endpoint{slots: slots}
	}
	z.configs = staticConfig{s, &[]func(*routing.Snapshot){}}
	for i := range vms {
		z.add(steering.VM(fmt.Sprint("vm-", i)), z.configs, vms)
	}
	for _, e := range z.vms {
		z.work.Go(func() { _ = e.admit.Run(e.ctx) })
	}
	return z
}

func (z *zone) add(name steering.VM, configs seam.Configs, vms int) {
	view := &zoneView{}
	for i := range vms {
		vm := steering.VM(fmt.Sprint("vm-", i))
		view.all = append(view.all, seam.Member{
			VM: vm, Incarnation: steering.Incarnation("life-" + vm), Zone: testZone, PeerAddress: string(vm),
		})
		if vm == name {
			view.self = view.all[i]
		}
	}
	e := &entryVM{name: name, view: view, metrics: tally.NewTestScope("", nil)}
	e.ctx, e.stop = context.WithCancel(z.t.Context())
	e.admit = New(Config{Members: view, Configs: configs, Peers: &network{z, name}, Loads: z, Scope: e.metrics})
	z.vms = append(z.vms, e)
}

// publish sends a changed copy of the snapshot to every entry VM.
func (z *zone) publish(change func(*routing.Snapshot)) {
	next := *z.configs.snapshot
	next.Version++
	change(&next)
	for _, f := range *z.configs.subscribers {
		f(&next)
	}
}

func (z *zone) close() {
	for _, e := range z.vms {
		e.stop()
	}
	z.work.Wait()
}

// ReadLoad implements LoadReader.
func (z *zone) ReadLoad(_ context.Context, address string) (Load, error) {
	time.Sleep(2 * oneWayLatency)
	e := z.targets[address]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down && !e.answersLoadWhileDown {
		return Load{}, errPartitioned
	}
	return Load{InFlight: e.inFlight, Slots: e.slots}, nil
}

func (z *zone) owner() *entryVM {
	m, _ := z.vms[0].admit.Owner(testPlace, testService)
	return z.vm(m.VM)
}

func (z *zone) vm(name steering.VM) *entryVM {
	i := slices.IndexFunc(z.vms, func(e *entryVM) bool { return e.name == name })
	return z.vms[i]
}

func (z *zone) others(e *entryVM) []*entryVM {
	return slices.DeleteFunc(slices.Clone(z.vms), func(o *entryVM) bool { return o == e })
}

// setState changes the state of a member in every view but its own.
func (z *zone) setState(vm steering.VM, state seam.MemberState) {
	for _, e := range z.vms {
		if e.name != vm {
			e.view.set(vm, state)
		}
	}
}

func (z *zone) isolate(vm steering.VM, partitioned bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, e := range z.vms {
		z.partitioned[[2]steering.VM{vm, e.name}] = partitioned
		z.partitioned[[2]steering.VM{e.name, vm}] = partitioned
	}
}

// callers runs n closed-loop callers at an entry VM for d, or until the entry VM
// crashes. Requests that run at a target always run to completion.
func (z *zone) callers(e *entryVM, n int, service, d time.Duration) {
	until := time.Now().Add(d)
	for range n {
		z.work.Go(func() {
			for time.Now().Before(until) && e.ctx.Err() == nil {
				z.call(e, service)
			}
		})
	}
}

func (z *zone) call(e *entryVM, service time.Duration) {
	ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
	defer cancel()
	grant, err := e.admit.Acquire(ctx, seam.AdmitRequest{
		ID: "r", Service: testService, Place: testPlace, Deadline: time.Now().Add(2 * time.Second),
	})
	if err != nil {
		var refusal *steering.Refusal
		assert.Assert(z.t, errors.As(err, &refusal))
		z.mu.Lock()
		z.refused[refusal.Reason]++
		z.mu.Unlock()
		time.Sleep(max(refusal.RetryAfter, oneWayLatency))
		return
	}
	target := z.targets[grant.Target().Address]
	time.Sleep(oneWayLatency)
	if target.refuses() {
		grant.Done(seam.Outcome{Kind: seam.OutcomeUnreachable, ReportedInFlight: -1, ReportedSlots: -1})
		return
	}
	if !target.start() {
		time.Sleep(oneWayLatency)
		grant.Done(seam.Outcome{Kind: seam.OutcomeShed, ReportedInFlight: -1, ReportedSlots: -1})
		return
	}
	time.Sleep(service)
	target.finish()
	time.Sleep(oneWayLatency)
	if e.ctx.Err() != nil {
		return // the entry VM crashed with the request in flight
	}
	z.mu.Lock()
	z.served++
	z.mu.Unlock()
	grant.Done(seam.Outcome{Kind: seam.OutcomeOK, Latency: service, ReportedInFlight: -1, ReportedSlots: -1})
}

func (z *zone) sheds() (n int) {
	for _, target := range z.targets {
		target.mu.Lock()
		n += target.sheds
		target.mu.Unlock()
	}
	return n
}

func (z *zone) refusedFor(reason steering.Reason) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.refused[reason]
}

func (z *zone) servedSoFar() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.served
}

// free returns the owner's free slots.
func (z *zone) free(owner *entryVM) int {
	free, age := owner.admit.Headroom(testPlace, testService)
	assert.Equal(z.t, age, time.Duration(0), "%s does not own the pool", owner.name)
	return free
}

// network returns clients for calls from one entry VM to the others of the zone.
type network struct {
	zone *zone
	from steering.VM
}

func (n *network) To(address string) peerpb.Peer {
	return &conn{zone: n.zone, from: n.from, to: steering.VM(address)}
}

// conn is a connection that transmits calls from one entry VM to another.
type conn struct {
	peerpb.Peer // methods that pools don't use
	zone        *zone
	from, to    steering.VM
}

// transmit simulates the transmission of one message in one direction.
func (w *conn) transmit(ctx context.Context) error {
	time.Sleep(oneWayLatency)
	w.zone.mu.Lock()
	partitioned := w.zone.partitioned[[2]steering.VM{w.from, w.to}]
	paused := w.zone.paused[w.to]
	w.zone.mu.Unlock()
	if partitioned {
		return errPartitioned
	}
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *conn) server() *Server { return w.zone.vm(w.to).admit.Server() }

func roundTrip[Q, R any](ctx context.Context, w *conn, q Q, serve func(context.Context, Q) (R, error)) (R, error) {
	var none R
	if err := w.transmit(ctx); err != nil {
		return none, err
	}
	reply, err := serve(ctx, q)
	if err != nil {
		return none, err
	}
	if err := w.transmit(ctx); err != nil {
		return none, err
	}
	return reply, ctx.Err()
}

func (w *conn) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return roundTrip(ctx, w, r, w.server().Acquire)
}

func (w *conn) Holdings(ctx context.Context, r *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	return roundTrip(ctx, w, r, w.server().Holdings)
}

func (w *conn) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	w.zone.mu.Lock()
	lose := w.zone.loseReleases
	w.zone.mu.Unlock()
	if lose {
		return &peerpb.ReleaseReply{}, nil
	}
	return roundTrip(ctx, w, r, w.server().Release)
}
