package allowances_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/allowances"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
)

// limitFleet is a fleet of services in virtual time, whose VMs send requests to one target that names a limit
// from named until ended.
type limitFleet struct {
	t            *testing.T
	rng          *rand.Rand
	began        time.Time
	limit        float64 // requests per second
	named, ended time.Duration
	vms          []*limitedVM
	peers        []allowances.Peer
	boxes        map[string]chan packet
	target       placement.Target

	running  sync.WaitGroup
	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	at       time.Duration
	told     bool // the VM had passed on a response with the limit toldBefore before
	credited bool
}

// limitedVM is a VM as far as limits of targets concern it.
type limitedVM struct {
	service *allowances.Service
	helper  *limitedVM // passes on its requests; nil while it reaches the target
	toldAt  time.Time

	mu            sync.Mutex
	known         placement.StatedLimits
	notices       *placement.Balancer
	noCreditUntil time.Time
}

const (
	// demandFactor is how many times its limit the target would get.
	demandFactor = 8
	runTime      = 600 * time.Millisecond
	zoneDelay    = time.Millisecond
	toldBefore   = 500 * time.Millisecond
	// The target may get in any limitWindow limitFactor times its limit and limitSlack requests, from
	// limitStable after it has named it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitStable = 4 * time.Second
)

type packet struct {
	raw  []byte
	from net.Addr
}

// memConn is a net.PacketConn of a limitFleet.
type memConn struct {
	net.PacketConn
	fleet   *limitFleet
	address *net.UDPAddr
	stop    chan struct{}
}

func (c *memConn) WriteTo(raw []byte, to net.Addr) (int, error) {
	sent := packet{slices.Clone(raw), c.address}
	time.AfterFunc(zoneDelay, func() {
		select {
		case c.fleet.boxes[to.String()] <- sent:
		default: // lost
		}
	})
	return len(raw), nil
}

func (c *memConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case p := <-c.fleet.boxes[c.address.String()]:
		return copy(buffer, p.raw), p.from, nil
	case <-c.stop:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

func (c *memConn) SetReadDeadline(time.Time) error { close(c.stop); return nil }
func (c *memConn) Close() error                    { return nil }

func newLimitFleet(t *testing.T, ctx context.Context, size int) *limitFleet {
	f := &limitFleet{t: t, rng: rand.New(rand.NewPCG(uint64(size), 1)), began: time.Now(), limit: 2.6, named: 3 * time.Second, ended: time.Hour,
		boxes: make(map[string]chan packet), target: placement.Target{Name: "t1", Service: "svc", Region: "r"}}
	for n := range size {
		address := addressOf(n)
		f.peers = append(f.peers, allowances.Peer{Name: steering.VM(fmt.Sprint("vm-", n)), Region: "r", Address: address.String(), Weight: 1})
		f.boxes[address.String()] = make(chan packet, 256)
	}
	for n, p := range f.peers {
		s := allowances.New(allowances.Config{Self: p.Name, Log: log.NewNopLogger(), Scope: tally.NoopScope}, &memConn{fleet: f, address: addressOf(n), stop: make(chan struct{})})
		f.vms = append(f.vms, &limitedVM{service: s, notices: placement.NewBalancer(p.Name, p.Region)})
		s.SetFleet(allowances.Fleet{Live: f.peers, Members: size})
		go s.Run(ctx)
	}
	return f
}

func addressOf(n int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(10, 0, byte(n>>8), byte(n)), Port: 1}
}

func (f *limitFleet) now() time.Duration { return time.Since(f.began) }

// said returns what the target says of its limit in the response to a request that it takes now.
func (f *limitFleet) said() placement.NamedLimit {
	if at := f.now(); at < f.named || at >= f.ended {
		return placement.NamedLimit{}
	}
	return placement.NamedLimit{InForce: true, PerSecond: f.limit}
}

// request sends a request from a caller of v to the target, unless its limit rules that out.
func (f *limitFleet) request(v *limitedVM, run time.Duration) {
	sender := v
	if helper := v.throughHelper(); helper != nil {
		sender = helper
		sender.apply(v.limit().Tell(time.Now()).Limit(time.Now()))
		defer func() { v.apply(sender.limit().Tell(time.Now()).Limit(time.Now())) }()
	}
	credited, ok := f.admit(sender)
	if !ok {
		return
	}
	asked := time.Now()
	time.Sleep(zoneDelay)
	said := f.said()
	f.mu.Lock()
	f.arrivals = append(f.arrivals, arrival{f.now(), !v.toldAt.IsZero() && time.Since(v.toldAt) > toldBefore, credited})
	f.mu.Unlock()
	time.Sleep(run + zoneDelay)
	said.AskedAt, said.HeardAt = asked, time.Now()
	if sender.heard(f.target, said) {
		sender.apply(sender.service.LimitHeard(f.target, said))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if said.InForce && v.toldAt.IsZero() {
		v.toldAt = time.Now()
	}
}

// admit decides whether a request may be sent to the target, and whether it has a credit.
func (f *limitFleet) admit(v *limitedVM) (credited, ok bool) {
	known := v.limit()
	if !known.InForce {
		return false, true
	}
	if time.Now().Before(v.closedUntil()) {
		return false, false
	}
	newest, wait, ok := v.service.AdmitToTarget(f.t.Context(), f.target, known)
	v.apply(newest)
	if !ok {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.noCreditUntil = time.Now().Add(wait)
		return false, false
	}
	return newest.InForce, newest.InForce || !v.limit().InForce
}

func (v *limitedVM) closedUntil() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.noCreditUntil
}

// throughHelper returns the VM that sends the requests of this one, or nil.
func (v *limitedVM) throughHelper() *limitedVM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.helper
}

func (v *limitedVM) setHelper(helper *limitedVM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.helper = helper
}

func (v *limitedVM) limit() placement.NamedLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known.Current()
}

// heard records what the target said in a response to this VM, and reports whether the service is to be told.
func (v *limitedVM) heard(t placement.Target, said placement.NamedLimit) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.notices.Heard(said.HeardAt, t, placement.Notice{Limited: said.InForce, Limit: said.PerSecond, AskedAt: said.AskedAt, Complete: true})
	v.known.Add(said)
	return changed.Limit || changed.LimitEnded
}

// apply records what the target said to another VM.
func (v *limitedVM) apply(said placement.NamedLimit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known.Add(said)
	v.notices.ApplyLimit(time.Now(), placement.Target{Name: "t1"}, said)
}

// tellAll lets each VM send a request as soon as the target names its limit.
func (f *limitFleet) tellAll() {
	for _, v := range f.vms {
		time.AfterFunc(f.named+time.Millisecond, func() { f.request(v, runTime) })
	}
}

// callUntil sends requests of callers of random VMs until a time.
func (f *limitFleet) callUntil(end time.Duration) {
	for f.now() < end {
		v := f.vms[f.rng.IntN(len(f.vms))]
		f.running.Go(func() { f.request(v, runTime) })
		time.Sleep(time.Duration(f.rng.ExpFloat64() / (demandFactor * f.limit) * float64(time.Second)))
	}
}

// arrived returns the requests that have reached the target.
func (f *limitFleet) arrived() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.arrivals)
}

// check checks what the target got from VMs that were told, and how much of its limit was used until end.
func (f *limitFleet) check(end time.Duration, leastUsed float64) {
	f.t.Helper()
	first, most, told, used := 0, 0, []time.Duration(nil), 0
	for _, a := range f.arrived() {
		if a.at > f.named+limitStable && a.at < end {
			if a.credited {
				used++
			}
			if a.told {
				told = append(told, a.at)
			}
		}
	}
	for last, at := range told {
		for at-told[first] > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	allowed := f.limit*limitFactor*limitWindow.Seconds() + limitSlack
	share := float64(used) / (f.limit * (end - f.named - limitStable).Seconds())
	f.t.Logf("%d VMs: at most %d in %v, allowed %.0f; %.2f of the limit used", len(f.vms), most, limitWindow, allowed, share)
	assert.Check(f.t, float64(most) <= allowed, "%d requests in %v from VMs that were told, allowed %.0f", most, limitWindow, allowed)
	assert.Check(f.t, share >= leastUsed, "%.2f of the limit used", share)
}

// playLimits plays a scenario at several sizes of the fleet.
func playLimits(t *testing.T, scenario func(f *limitFleet)) {
	for _, size := range []int{12, 84, 986} {
		t.Run(fmt.Sprint(size, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				f := newLimitFleet(t, ctx, size)
				f.tellAll()
				scenario(f)
				f.running.Wait()
			})
		})
	}
}

// Guards against a limit that ends for the whole fleet with late responses, or that is hardly used because they
// are taken for something else, or whose end is not noticed.
func TestFleetKeepsALimitWithLateResponses(t *testing.T) {
	playLimits(t, func(f *limitFleet) {
		f.ended = 20 * time.Second
		for n := range max(60, 5*len(f.vms)) {
			time.AfterFunc(f.named-time.Duration(n%500+1)*time.Millisecond, func() { f.request(f.vms[n%len(f.vms)], 3*time.Second+time.Duration(n%400)*10*time.Millisecond) })
		}
		f.callUntil(20 * time.Second)
		f.check(20*time.Second, 0.9)
		f.callUntil(23 * time.Second)
		before := len(f.arrived())
		f.callUntil(26 * time.Second)
		served := float64(len(f.arrived())-before) / (3 * demandFactor * f.limit)
		assert.Check(f.t, served >= 0.75, "%.2f of the requests from 3 s after the limit's end on", served)
	})
}

// Guards against VMs that send without credits after a cut, since they got the target's responses through
// another VM.
func TestFleetKeepsALimitHeardThroughHelpers(t *testing.T) {
	playLimits(t, func(f *limitFleet) {
		cut := len(f.vms) * 5 / 6
		for _, v := range f.vms[:cut] {
			v.setHelper(f.vms[cut+f.rng.IntN(len(f.vms)-cut)])
		}
		f.callUntil(9 * time.Second)
		for _, v := range f.vms {
			v.setHelper(nil)
		}
		f.callUntil(20 * time.Second)
		f.check(20*time.Second, 0.9)
	})
}

// Guards against two VMs that each lend the whole limit while a part of the fleet does not see one of them.
func TestFleetKeepsALimitWhileViewsDiffer(t *testing.T) {
	playLimits(t, func(f *limitFleet) {
		f.limit = 50
		f.callUntil(8 * time.Second)
		f.hideOwner(0.5)
		f.callUntil(16 * time.Second)
		f.check(16*time.Second, 0)
	})
}

// hideOwner makes every second VM lose sight of the limit's owner. What VMs lend follows share after
// viewsCompared.
func (f *limitFleet) hideOwner(share float64) {
	const viewsCompared = 1400 * time.Millisecond
	var candidates []allowance.Candidate
	for _, p := range f.peers {
		candidates = append(candidates, allowance.Candidate{VM: p.Name, Hash: allowance.HashOf(p.Name), Weight: p.Weight})
	}
	owner, _ := allowance.OwnerOf(allowance.TargetID(f.target.Name, f.target.Generation), candidates)
	without := slices.DeleteFunc(slices.Clone(f.peers), func(p allowances.Peer) bool { return p.Name == owner })
	for n, v := range f.vms {
		if n%2 == 0 && f.peers[n].Name != owner {
			v.service.SetFleet(allowances.Fleet{Live: without, Members: len(f.peers)})
		}
		time.AfterFunc(viewsCompared, func() { v.service.SetAgreeingShare(share) })
	}
}
