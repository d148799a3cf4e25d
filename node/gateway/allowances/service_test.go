package allowances_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/allowances"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/identity"
)

// group is a number of entry VMs that exchange datagrams over loopback.
type group struct {
	all   []*allowances.Service
	peers []allowances.Peer
	stops []context.CancelFunc
	low   atomic.Int64
}

func newGroup(t *testing.T, size int, w ...*identity.Workspace) *group {
	t.Helper()
	g := &group{}
	var conns []net.PacketConn
	for n := range size {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		conns = append(conns, conn)
		g.peers = append(g.peers, allowances.Peer{Name: steering.VM(fmt.Sprint("vm-", n)), Address: conn.LocalAddr().String(), Weight: 1})
	}
	for n, conn := range conns {
		s := allowances.New(allowances.Config{Self: g.peers[n].Name, Log: log.NewNopLogger(), Scope: tally.NoopScope,
			Slack: allowance.Slack{Window: 5 * time.Second, Share: 0.1, Requests: 20}, OnLowBucket: func() { g.low.Add(1) }}, conn)
		s.SetFleet(allowances.Fleet{Live: g.peers, Members: size})
		s.Configure(identity.NewDirectory(w))
		ctx, stop := context.WithCancel(t.Context())
		g.stops = append(g.stops, stop)
		go s.Run(ctx)
		g.all = append(g.all, s)
	}
	return g
}

func limited(name string, rate, burst float64) *identity.Workspace {
	return &identity.Workspace{Name: steering.Workspace(name), Rate: rate, Burst: burst}
}

// flood sends requests to all VMs for d, one at a time on each, and returns how many were admitted.
func (g *group) flood(t *testing.T, w *identity.Workspace, d time.Duration) int {
	var ran atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for _, s := range g.all {
		all.Go(func() {
			for time.Now().Before(end) {
				if _, ok := s.Admit(t.Context(), w, 0.5); ok {
					ran.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	all.Wait()
	return int(ran.Load())
}

// Guards against applying the limit on each VM instead of across all VMs.
func TestOneLimitHoldsOverAllVMs(t *testing.T) {
	w := limited("flooding", 200, 40)
	g := newGroup(t, 6, w)
	ran := g.flood(t, w, 1500*time.Millisecond)
	assert.Assert(t, ran <= 40+300+30, "%d ran, 340 may", ran)
	assert.Assert(t, ran >= 250, "%d ran, 340 may", ran)
	assert.Assert(t, g.low.Load() >= 1)
}

func TestWorkspaceWithoutALimitIsNotCounted(t *testing.T) {
	g := newGroup(t, 1)
	for range 1000 {
		_, ok := g.all[0].Admit(t.Context(), &identity.Workspace{Name: "free"}, 0)
		assert.Assert(t, ok)
	}
	_, ok := g.all[0].Admit(t.Context(), nil, 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(g.all[0].WorkspaceStatus()), 0)
}

// Guards against a workspace that uses up its allowance with requests that targets refused.
func TestCreditIsReturnedForRequestsThatDidNotRun(t *testing.T) {
	w := limited("refused", 1, 5)
	g := newGroup(t, 2, w)
	for n := range 40 {
		_, ok := g.all[0].Admit(t.Context(), w, 0)
		assert.Assert(t, ok, "request %d", n)
		g.all[0].ReturnCredit(w, steering.ReasonShed)
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against refusing all requests of a workspace whose owner has crashed while this is not
// detected yet, and against admitting the whole limit on each VM in that time.
func TestVMWithUnresponsiveOwnerAdmitsItsShare(t *testing.T) {
	w := limited("orphan", 100, 100)
	g := newGroup(t, 5, w)
	for n, stop := range g.stops {
		if n > 0 {
			stop()
		}
	}
	time.Sleep(50 * time.Millisecond)
	ran, took := 0, time.Duration(0)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		started := time.Now()
		if _, ok := g.all[0].Admit(t.Context(), w, 0); ok {
			ran++
		}
		took = max(took, time.Since(started))
	}
	owner, _ := allowance.OwnerOf(allowance.IDOf(w.Name), candidates(g.peers))
	if owner == g.peers[0].Name {
		t.Skip("this VM owns the workspace")
	}
	assert.Assert(t, ran >= 15 && ran <= 65, "%d ran", ran)
	assert.Assert(t, took < 400*time.Millisecond, "a request waited for %v", took)
}

func candidates(peers []allowances.Peer) []allowance.Candidate {
	var all []allowance.Candidate
	for _, p := range peers {
		all = append(all, allowance.Candidate{VM: p.Name, Hash: allowance.HashOf(p.Name), Weight: p.Weight})
	}
	return all
}

// Guards against refused callers that all receive the same Retry-After, retry at the same time and
// are therefore refused again.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	w := limited("flooding", 20, 2)
	g := newGroup(t, 1, w)
	times := map[time.Duration]int{}
	for n := range 60 {
		if after, ok := g.all[0].Admit(t.Context(), w, float64(n%10)/10); !ok {
			assert.Assert(t, after >= 75*time.Millisecond && after <= 2500*time.Millisecond, "%v", after)
			times[after.Round(50*time.Millisecond)]++
		}
	}
	assert.Assert(t, len(times) > 10, "all Retry-After values are among %d", len(times))
}

// Guards against a VM that decodes a malformed datagram as credits.
func TestMalformedDatagramsAreCounted(t *testing.T) {
	w := limited("any", 1, 1)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	scope := tally.NewTestScope("", nil)
	s := allowances.New(allowances.Config{Self: "vm", Log: log.NewNopLogger(), Scope: scope}, conn)
	s.Configure(identity.NewDirectory([]*identity.Workspace{w}))
	go s.Run(t.Context())
	out, err := net.Dial("udp4", conn.LocalAddr().String())
	assert.NilError(t, err)
	defer out.Close()
	_, err = out.Write([]byte("no datagram of ours"))
	assert.NilError(t, err)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for name, c := range scope.Snapshot().Counters() {
			if strings.HasPrefix(name, "gateway_allowance_bad_datagrams") && c.Value() == 1 {
				return
			}
		}
	}
	t.Fatal("the malformed datagram was not counted")
}
