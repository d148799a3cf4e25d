package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/relay"
	"heatherlock/standin/endpoint"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	g := newRig(t, 1, nil)
	got := g.ask("POST", "/buy/a%2Fb?x=1&y=%20", "paid", 2*time.Second)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, g.targets[0].Body())
	assert.Equal(t, got.header.Get("X-Response-Signature"), "proof-target-0")
	run := g.runs()[0]
	assert.Equal(t, run.Path, "/buy/a%2Fb?x=1&y=%20")
	assert.Equal(t, run.Body, "paid")
	assert.Equal(t, g.ask("GET", "/nowhere/", "", time.Second).status, 404)
}

// Guards against a purchase that is charged twice: the target runs it, its response is lost,
// corrupted, truncated or swapped, and the entry VM sends the request to the next target as if it
// had not run. The caller's response must not promise that it has not run either.
func TestPurchaseRunsOnceWhenItsResponseIsLost(t *testing.T) {
	for name, fault := range map[string]endpoint.Fault{"crash": endpoint.Crash, "lost": endpoint.LoseAnswer, "cut": endpoint.Cut,
		"garbage": endpoint.Garbage, "unproven 503": endpoint.Unproven, "unframed reset": endpoint.UnframedReset, "dark": endpoint.Dark} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 3, nil)
			g.faults(func(int) endpoint.Fault { return fault })
			got := g.ask("POST", "/buy/1", "paid", 2*time.Second)
			assert.Equal(t, len(g.runs()), 1)
			assert.Assert(t, got.status == 502 || got.status == 504, "status %d", got.status)
			assert.Assert(t, got.took < 1500*time.Millisecond, "took %v", got.took)
		})
	}
}

// Guards against a read that fails although two targets are healthy: the first target spoils its
// response in one of many ways. An idempotent request has to be retried instead of passing the
// failure on.
func TestReadIsRetriedAtAnotherTarget(t *testing.T) {
	for name, fault := range map[string]endpoint.Fault{"crash": endpoint.Crash, "lost": endpoint.LoseAnswer, "cut": endpoint.Cut,
		"garbage": endpoint.Garbage, "shed": endpoint.Shed, "fail": endpoint.Fail, "unframed reset": endpoint.UnframedReset, "dark": endpoint.Dark} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 3, nil)
			g.faults(func(n int) endpoint.Fault {
				if n == 1 {
					return fault
				}
				return endpoint.None
			})
			got := g.ask("GET", "/read/1", "", 2*time.Second)
			assert.Equal(t, got.status, 200)
			assert.NilError(t, got.err)
			assert.Assert(t, strings.HasPrefix(got.body, "the whole answer"), got.body)
		})
	}
}

// Guards against refusing a purchase although another target has capacity: the first target proves
// that it did not run the request, which differs from a lost response.
func TestPurchaseIsRetriedAfterProofThatItDidNotRun(t *testing.T) {
	g := newRig(t, 3, nil)
	g.faults(func(n int) endpoint.Fault {
		if n == 1 {
			return endpoint.Shed
		}
		return endpoint.None
	})
	assert.Equal(t, g.ask("POST", "/buy/1", "paid", 2*time.Second).status, 200)
	assert.Equal(t, len(g.runs()), 1)
}

// Guards against a request that runs at a target of another service, which took over the address of
// a target that ended. A request names the target it is meant for; another target refuses it with
// 421, which proves that nothing ran.
func TestTargetWithReusedAddressGetsNoRequests(t *testing.T) {
	g := newRig(t, 2, nil)
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
		b.SetTargets([]placement.Target{
			{Name: "gone", Service: service, Address: g.targets[0].Address(), Region: "centro", Slots: 3},
			{Name: "target-1", Service: service, Address: g.targets[1].Address(), Region: "centro", Slots: 3}})
	})
	for range 20 {
		assert.Equal(t, g.ask("POST", "/buy/1", "paid", 2*time.Second).status, 200)
	}
	assert.Equal(t, len(g.targets[0].Runs()), 0)
}

// Guards against callers that wait until their deadline only to learn that nothing ran, because
// requests are queued that cannot finish in time. Load beyond the slots has to be refused at once,
// truly without running, and with a Retry-After.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work, c.Slots = 200*time.Millisecond, 1 })
	g.ask("POST", "/buy/0", "", 2*time.Second) // lets the entry VM learn the service time
	const asked = 12
	replies := make(chan reply, asked)
	for range asked {
		go func() { replies <- g.ask("POST", "/buy/1", "paid", 2*time.Second) }()
	}
	served, refused := 0, 0
	for range asked {
		got := <-replies
		switch got.status {
		case 200:
			served++
		case 503:
			refused++
			assert.Assert(t, got.took < 150*time.Millisecond, "refused after %v", got.took)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		default:
			t.Errorf("status %d", got.status)
		}
	}
	assert.Assert(t, refused > 0 && served > 0, "%d served, %d refused", served, refused)
	assert.Equal(t, len(g.runs()), served+1)
}

// Guards against targets that work for callers that have disconnected. The caller has pipelined a
// second read, so the connection has to be read while the first one runs, or its close goes
// unnoticed.
func TestCallerDisconnectCancelsWorkOfTarget(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 700 * time.Millisecond })
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	for n := range 2 {
		_, err = fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 5000\r\n\r\n", n, n)
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return len(g.runs()) == 2 })
	assert.NilError(t, conn.Close())
	waitFor(t, func() bool {
		runs := g.runs()
		return runs[0].Left && runs[1].Left
	})
	assert.Assert(t, time.Since(g.runs()[0].At) < 500*time.Millisecond)
}

// Guards against a purchase that is cancelled half way, with an unknown outcome, because its caller
// disconnects while the target runs it.
func TestPurchaseFinishesWhenItsCallerDisconnects(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 300 * time.Millisecond })
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return len(g.runs()) == 1 })
	assert.NilError(t, conn.Close())
	time.Sleep(400 * time.Millisecond)
	assert.Assert(t, !g.runs()[0].Left)
}

// Guards against a 404 from an entry VM that has just started and knows no configuration yet.
func TestNo404BeforeAConfigurationIsKnown(t *testing.T) {
	g := &rig{t: t, relay: relay.New(relay.Config{Region: "centro", Log: log.NewNopLogger()})}
	g.listen(100)
	got := g.ask("GET", "/read/1", "", time.Second)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Guards against a 404, which callers do not retry, for a route that was acknowledged seconds
// before: the entry VM knows that a newer configuration exists, but does not have it yet.
func TestNo404WhileANewerConfigurationIsPending(t *testing.T) {
	behind := true
	g := &rig{t: t, relay: relay.New(relay.Config{Region: "centro", Log: log.NewNopLogger(), Behind: func() bool { return behind }})}
	g.relay.SetTable(routes.NewTable(1, nil, nil, routes.Limits{}))
	g.relay.SetTargetsKnown()
	g.listen(100)
	got := g.ask("GET", "/added/1", "", time.Second)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	behind = false
	assert.Equal(t, g.ask("GET", "/added/1", "", time.Second).status, 404)
}

// Guards against serving by a configuration that the operator replaced seconds before: the entry
// VM's link is almost unusable, so it knows of the newer configuration for a long time before it
// has it.
func TestOutdatedConfigurationIsNotUsed(t *testing.T) {
	g := newRig(t, 1, nil)
	assert.Equal(t, g.ask("GET", "/read/1", "", time.Second).status, 200)
	g.outdated.Store(true)
	got := g.ask("GET", "/read/1", "", time.Second)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(g.runs()), 1)
}

// Guards against callers that wait three seconds although the route's timeout is one second,
// because a target slower than the timeout is awaited until the caller's deadline.
func TestRouteTimeoutIsFinal(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 3 * time.Second })
	for _, path := range []string{"/read/1", "/buy/1"} {
		got := g.ask("GET", path, "", 5*time.Second)
		assert.Equal(t, got.status, 504)
		assert.Assert(t, got.took > 900*time.Millisecond && got.took < 1400*time.Millisecond, "%s after %v", path, got.took)
	}
}

// Guards against a rollback when a slow peer sends an older configuration.
func TestOlderConfigurationIsRejected(t *testing.T) {
	g := newRig(t, 1, nil)
	assert.Assert(t, !g.relay.SetTable(routes.NewTable(1, nil, nil, routes.Limits{})))
	assert.Assert(t, g.relay.SetTable(routes.NewTable(3, nil, nil, routes.Limits{})))
	assert.Assert(t, !g.relay.SetTable(routes.NewTable(2, nil, nil, routes.Limits{})))
	assert.Equal(t, g.relay.Table().Version, uint64(3))
}

// Guards against a request that takes down one target after another: it crashes each target that
// runs it, and its caller sends it again. After two crashes it is refused, here and on an entry VM
// that received the facts; other requests of the same route are served.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	g := newRig(t, 6, nil)
	var crashed atomic.Int64
	for _, e := range g.targets {
		e.SetFault(func(r *http.Request) endpoint.Fault {
			if r.URL.Path != "/buy/culprit" {
				return endpoint.None
			}
			crashed.Add(1)
			return endpoint.Die
		})
	}
	refused := 0
	const copies = 10
	for range copies {
		if g.ask("POST", "/buy/culprit", "x", time.Second).status == 503 {
			refused++
		}
		for n := range 4 { // other requests detect the crash
			g.ask("GET", fmt.Sprint("/read/", n), "", time.Second)
		}
	}
	assert.Assert(t, crashed.Load() <= 3, "%d targets lost", crashed.Load())
	assert.Assert(t, refused >= copies-3, "%d of %d refused", refused, copies)
	assert.Equal(t, g.ask("POST", "/buy/other", "y", time.Second).status, 200)
	peer := newRig(t, 1, nil)
	peer.relay.MergePoisonFacts(time.Now(), g.relay.TakePoisonFacts(time.Now(), true))
	assert.Equal(t, peer.ask("POST", "/buy/culprit", "x", time.Second).status, 503)
	assert.Equal(t, len(peer.runs()), 0)
}

// Guards against a read that is refused for 15 minutes because targets that did not crash lost many
// responses.
func TestLostResponsesDoNotCountAsCrashes(t *testing.T) {
	g := newRig(t, 3, nil)
	g.faults(func(n int) endpoint.Fault {
		if n%2 == 0 {
			return endpoint.LoseAnswer
		}
		return endpoint.None
	})
	for range 30 {
		g.ask("GET", "/read/1", "", time.Second)
	}
	g.faults(func(int) endpoint.Fault { return endpoint.None })
	assert.Equal(t, g.ask("GET", "/read/1", "", time.Second).status, 200)
}
