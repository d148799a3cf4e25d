package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/upstream"
	"heatherlock/standin/endpoint"
	"heatherlock/standin/targetlinks"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/presence"
	"heatherlock/steering/queueowner"
	"heatherlock/steering/retry"
)

// ownedPair is an entry VM that takes requests, and the owner of all targets.
type ownedPair struct {
	*rig
	owner   *rig
	toOwner *targetlinks.Links
	// direct counts the connections of the first VM to targets.
	direct atomic.Int64
	vms    []queueowner.VM
}

func newOwnedPair(t *testing.T, work time.Duration) *ownedPair {
	t.Helper()
	p := &ownedPair{owner: newRig(t, 2, func(c *endpoint.Config) { c.Work = work }), toOwner: targetlinks.New()}
	p.rig = newRigOf(t, p.owner.targets, func(ctx context.Context, address string) (net.Conn, error) {
		p.direct.Add(1)
		return upstream.Dial(ctx, address)
	}, p.toOwner.Dial)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() {
		_ = callers.NewServer(p.owner.relay.PeerHandler(), p.owner.relay.PeerLimits, 100).Serve(ctx, listener)
	}() // returns when the listener is closed
	p.vms = []queueowner.VM{{Name: "owner", Zone: "a", Region: "centro", Address: listener.Addr().String()}}
	p.setOwners()
	p.mixRoutes()
	return p
}

func (p *ownedPair) setOwners() {
	p.relay.SetOwners(queueowner.New("vm", p.vms))
}

// hear tells the first VM what the membership says of the owner, which is no owner any more unless it is live.
func (p *ownedPair) hear(state presence.State, incarnation presence.Incarnation) {
	if !state.TakesRequests() {
		p.vms = nil
	}
	p.setOwners()
	p.relay.GiveUpAbandoned(func(steering.VM) presence.Process { return presence.Process{State: state, Incarnation: incarnation} })
}

// mixRoutes lets routes with different latency objectives share the service, so that its targets have owners.
func (p *ownedPair) mixRoutes() {
	p.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
		for n := range 100 {
			at := time.Now().Add(time.Duration(n-100) * 40 * time.Millisecond)
			b.HasOwners(at, placement.Request{Service: service, Workspace: true, Route: fmt.Sprint(n % 2), RouteAim: time.Duration(1+n%2) * time.Second})
		}
	})
}

// Guards against requests that reach a target past its owner, which then does not know its queue.
func TestRequestsGoThroughTheOwner(t *testing.T) {
	p := newOwnedPair(t, work)
	assert.Equal(t, p.ask("GET", "/read/1", "", time.Second).status, http.StatusOK)
	assert.Equal(t, p.ask("POST", "/buy/1", "x", time.Second).status, http.StatusOK)
	assert.Equal(t, p.direct.Load(), int64(0))
	assert.Equal(t, len(p.runs()), 2)
}

// Guards against requests that fail because the owner cannot be reached, though the VM reaches the targets.
func TestVMSendsRequestsItselfWithoutTheOwner(t *testing.T) {
	p := newOwnedPair(t, work)
	p.toOwner.Set(targetlinks.Reset)
	for range 3 {
		assert.Equal(t, p.ask("POST", "/buy/1", "x", time.Second).status, http.StatusOK)
	}
	assert.Equal(t, len(p.runs()), 3)
}

// Guards against requests that wait until their deadline for an owner that has ended without closing its
// connections, and against an untrue "not run": what the owner did with them is not known.
func TestRequestsAtAnOwnerThatEnded(t *testing.T) {
	for _, c := range []struct {
		method, path    string
		status, maxRuns int // the route of reads allows three attempts
	}{{"GET", "/read/1", http.StatusOK, 3}, {"POST", "/buy/1", http.StatusBadGateway, 1}} {
		t.Run(c.method, func(t *testing.T) {
			p := newOwnedPair(t, 250*time.Millisecond)
			answered := make(chan reply, 1)
			go func() { answered <- p.ask(c.method, c.path, "", 900*time.Millisecond) }()
			waitFor(t, func() bool { return len(p.runs()) == 1 })
			p.toOwner.Set(targetlinks.Hang)
			p.hear(presence.Lost, 0)
			got := <-answered
			assert.Equal(t, got.status, c.status)
			assert.Check(t, got.took < 800*time.Millisecond, "%v", got.took)
			assert.Check(t, len(p.runs()) <= c.maxRuns, "%d runs", len(p.runs()))
		})
	}
}

// Guards against a request that reaches more targets than its route allows, since its VM counts one attempt of a lost owner that made several.
func TestAttemptsOfALostOwnerAreCounted(t *testing.T) {
	p := newOwnedPair(t, work)
	p.setPatient(50)
	p.owner.setPatient(50)
	p.faults(func(n int) endpoint.Fault { // the owner's second attempt is the one that is never answered
		if n == 2 {
			return endpoint.Dark
		}
		return endpoint.LoseAnswer
	})
	answered := make(chan reply, 1)
	go func() { answered <- p.ask("GET", "/read/1", "", patience) }()
	arrivals := func() int { return p.targets[0].Arrivals() + p.targets[1].Arrivals() }
	waitFor(t, func() bool { return arrivals() == 2 })
	time.Sleep(50 * time.Millisecond) // what the owner said arrives
	p.toOwner.Set(targetlinks.Hang)
	p.hear(presence.Lost, 0)
	assert.Equal(t, (<-answered).status, http.StatusBadGateway)
	assert.Equal(t, arrivals(), 3, "of 3 that the route allows")
}

// Guards against a retry budget that grows at both VMs with each request.
func TestRequestCountsForTheRetryBudgetOnce(t *testing.T) {
	p := newOwnedPair(t, work)
	left := func(g *rig) (n float64) {
		g.relay.WithBalancer(func(_ *placement.Balancer, budget *retry.SharedBudget) {
			for budget.TakeTry(time.Now(), service) {
			}
			n = budget.Available(time.Now())[service]
		})
		return n
	}
	first, owner := left(p.rig), left(p.owner)
	for range 4 {
		assert.Equal(t, p.ask("GET", "/read/1", "", time.Second).status, http.StatusOK)
	}
	grown := left(p.rig) - first + left(p.owner) - owner
	assert.Check(t, grown < 4*0.2+3, "the budget grew by %.2f", grown) // it also grows with time
}

// Guards against a purchase that is broken off and answered 502, while a target runs it, because the owner that has
// it announced that it leaves.
func TestRequestsAtAnOwnerThatLeaves(t *testing.T) {
	p := newOwnedPair(t, 500*time.Millisecond)
	answered := make(chan reply, 1)
	go func() { answered <- p.ask("POST", "/buy/1", "x", 900*time.Millisecond) }()
	waitFor(t, func() bool { return len(p.runs()) == 1 })
	p.owner.relay.StartDrain(time.Now().Add(stopTime))
	for range 5 {
		p.hear(presence.Leaving, 0)
	}
	assert.Equal(t, p.ask("GET", "/read/1", "", time.Second).status, http.StatusOK)
	assert.Assert(t, p.direct.Load() > 0, "the owner gets nothing new")
	assert.Equal(t, (<-answered).status, http.StatusOK)
}

// Guards against a purchase that waits until its deadline for an owner which is killed, or hangs, after it has
// announced that it leaves: from then on the list of owners does not change any more.
func TestRequestsAtAnOwnerThatIsKilledWhileItLeaves(t *testing.T) {
	for _, c := range []struct {
		method, path    string
		status, maxRuns int
	}{{"GET", "/read/1", http.StatusOK, 3}, {"POST", "/buy/1", http.StatusBadGateway, 1}} {
		t.Run(c.method, func(t *testing.T) {
			p := newOwnedPair(t, 300*time.Millisecond)
			answered := make(chan reply, 1)
			go func() { answered <- p.ask(c.method, c.path, "", 900*time.Millisecond) }()
			waitFor(t, func() bool { return len(p.runs()) == 1 })
			p.hear(presence.Leaving, 0)
			p.toOwner.Set(targetlinks.Hang)
			p.hear(presence.Ended, 0)
			got := <-answered
			assert.Equal(t, got.status, c.status)
			assert.Check(t, got.took < 800*time.Millisecond, "%v", got.took)
			assert.Check(t, len(p.runs()) <= c.maxRuns, "%d runs", len(p.runs()))
		})
	}
}

// Guards against requests that wait for an earlier process of a VM which started again under its name before
// anyone noticed its end, and against requests that the new process has and that are given up for the old one.
func TestRequestsAtAnOwnerThatStartedAgain(t *testing.T) {
	p := newOwnedPair(t, 300*time.Millisecond)
	p.vms[0].Incarnation = 1
	p.setOwners()
	assert.Equal(t, p.ask("POST", "/buy/0", "x", 900*time.Millisecond).status, http.StatusOK)
	assert.Assert(t, p.direct.Load() > 0, "the process that runs now is another one, and takes nothing that is not for it")

	p = newOwnedPair(t, 300*time.Millisecond)
	answered := make(chan reply, 1)
	go func() { answered <- p.ask("POST", "/buy/1", "x", 900*time.Millisecond) }()
	waitFor(t, func() bool { return len(p.runs()) == 1 })
	p.hear(presence.Live, 2)
	assert.Equal(t, (<-answered).status, http.StatusOK, "which process has it is not known")
}

// Guards against purchases that wait at a leaving owner for room which its own callers take, and against an untrue
// "not run" of them: they run elsewhere at once.
func TestRequestsThatWaitAtAnOwnerThatLeaves(t *testing.T) {
	p := newOwnedPair(t, 300*time.Millisecond)
	p.owner.setMixed()
	replies := buyAll([]*rig{p.rig}, 24, func() {
		p.hear(presence.Leaving, 0)
		p.owner.relay.StartDrain(time.Now().Add(stopTime))
	})
	served := checkRuns(t, p.owner, replies)
	assert.Check(t, served >= 6, "%d served", served)
	for i, r := range replies {
		assert.Check(t, r.status != http.StatusBadGateway, "purchase %d has an unknown outcome", i)
	}
}

// Guards against requests that are neither started nor refused before their VM stops, because they wait at an owner
// which goes on.
func TestRequestsOfAVMThatLeavesDoNotWaitAtTheOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// leave makes the first VM leave, before it takes the requests or while they wait.
		before bool
		leave  func(p *ownedPair)
	}{
		{"before", true, func(p *ownedPair) { p.relay.StartDrain(time.Now().Add(400 * time.Millisecond)) }},
		{"while they wait", false, func(p *ownedPair) {
			p.owner.relay.ReturnWaitingOf(func(steering.VM) presence.State { return presence.Leaving })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newOwnedPair(t, 300*time.Millisecond)
			p.owner.setMixed()
			if c.before {
				c.leave(p)
			}
			began := time.Now()
			var left time.Duration
			replies := buyAll([]*rig{p.rig}, 24, func() {
				if !c.before {
					assert.Check(t, p.owner.relay.Waiting() > 0, "no request waits")
					c.leave(p)
				}
				waitFor(t, func() bool { return p.owner.relay.Waiting() == 0 })
				left = time.Since(began)
			})
			served := checkRuns(t, p.owner, replies)
			assert.Check(t, served >= 3, "%d served", served) // what the slots of their target take at once
			assert.Check(t, left < 500*time.Millisecond, "requests waited on for %v", left)
			for i, r := range replies {
				assert.Check(t, r.status != http.StatusBadGateway, "purchase %d has an unknown outcome", i)
			}
		})
	}
}
