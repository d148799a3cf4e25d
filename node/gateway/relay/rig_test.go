package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/standin/endpoint"
	"heatherlock/steering"
	"heatherlock/steering/buffers"
	"heatherlock/steering/identity"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

// rig is an entry VM's listener for callers, with real targets on loopback.
type rig struct {
	t       *testing.T
	relay   *relay.Relay
	server  *callers.Server
	address string
	targets []*endpoint.Endpoint
	number  atomic.Int64
	lines   sentBytes // of the log
	// outdated is returned by relay.Config.ConfigOutdated.
	outdated atomic.Bool
	// behind is returned by relay.Config.Behind.
	behind atomic.Bool
	// remaining is how many more requests of workspaces may run; refused counts those beyond.
	remaining, refused atomic.Int64
	shares             *relay.Shares
	// storeAge, if set, is called for the age of the store's copy. It must be set before the first request.
	storeAge func() time.Duration
}

// Admit implements relay.Allowances.
func (g *rig) Admit(_ context.Context, w *identity.Workspace, _ float64) (time.Duration, bool) {
	if !w.Limited() || g.remaining.Add(-1) >= 0 {
		return 0, true
	}
	g.remaining.Add(1)
	g.refused.Add(1)
	return 700 * time.Millisecond, false
}

// ReturnCredit implements relay.Allowances.
func (g *rig) ReturnCredit(w *identity.Workspace, _ steering.Reason) {
	if w.Limited() {
		g.remaining.Add(1)
	}
}

// RecordExtraRun implements relay.Allowances.
func (g *rig) RecordExtraRun(w *identity.Workspace) {
	if w.Limited() {
		g.remaining.Add(-1)
	}
}

const (
	// stopTime is how long a VM that stops still waits for responses.
	stopTime = 3 * time.Second

	service = steering.Service("tickets")
	work    = 30 * time.Millisecond
)

func newRig(t *testing.T, targets int, change func(*endpoint.Config)) *rig {
	t.Helper()
	return newRigDialing(t, targets, change, upstream.Dial)
}

// newRigDialing returns a rig whose connections to targets are opened by dial.
func newRigDialing(t *testing.T, targets int, change func(*endpoint.Config), dial upstream.DialFunc) *rig {
	t.Helper()
	var started []*endpoint.Endpoint
	for n := range targets {
		cfg := endpoint.Config{ID: fmt.Sprint("target-", n), Slots: 3, Queue: 9, Work: work, WarmShare: 1, Keeps: 20}
		if change != nil {
			change(&cfg)
		}
		e, err := endpoint.Start(cfg)
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		started = append(started, e)
	}
	return newRigOf(t, started, dial, upstream.Dial)
}

// newRigOf returns a rig with targets that run already, and with the function that opens its connections to
// other entry VMs.
func newRigOf(t *testing.T, targets []*endpoint.Endpoint, dial, dialPeers upstream.DialFunc) *rig {
	t.Helper()
	g := &rig{t: t, targets: targets, shares: relay.NewShares(1, log.NewNopLogger(), tally.NoopScope)}
	balancer := placement.NewBalancer("vm", "centro")
	balancer.SetPeers(map[steering.Region][]steering.VM{"centro": {"vm"}})
	var placed []placement.Target
	for n, e := range targets {
		placed = append(placed, placement.Target{Name: steering.Target(fmt.Sprint("target-", n)), Service: service, Address: e.Address(), Zone: "a", Region: "centro", Slots: e.Slots()})
	}
	balancer.SetTargets(placed)
	g.relay = relay.New(relay.Config{Region: "centro", VM: "vm", Pool: upstream.NewPool(dial, platform.RequestIDOf), Balancer: balancer, Peers: upstream.NewPool(dialPeers, platform.RequestIDOf),
		Retry: retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}),
		Log:   log.NewJSONLogger(&g.lines), MemberCount: func() int { return 1 }, ConfigOutdated: g.outdated.Load, Behind: g.behind.Load, Allowances: g, Shares: g.shares,
		StoreAge: func() time.Duration {
			if g.storeAge == nil {
				return 0
			}
			return g.storeAge()
		}})
	route := func(name string, kind routes.Kind) *routes.Route {
		return &routes.Route{Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second,
			Aim: 400 * time.Millisecond, MaxAttempts: 3, KeyAffinity: true, Parts: []routes.WeightedService{{Service: service, Weight: 1}}}
	}
	t.Cleanup(g.relay.Close)
	g.relay.SetTable(routes.NewTable(1, []*routes.Route{route("read", routes.Idempotent), route("buy", routes.AtMostOnce), route("upload", routes.Upload)},
		[]*routes.Service{{Name: service, MaxConnections: 50}},
		routes.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 2 * time.Second}))
	g.relay.SetTargetsKnown()
	g.listen(100)
	return g
}

// listen starts a listener for callers, which replaces that before, and keeps at most maxConns connections open.
func (g *rig) listen(maxConns int) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(g.t, err)
	server := callers.NewServer(g.relay, g.relay.Limits, maxConns)
	server.Buffers = buffering.NewVM(buffers.NewConfig(136, math.MaxInt64), log.NewNopLogger(), tally.NoopScope)
	g.server = server
	ctx, cancel := context.WithCancel(context.Background())
	g.t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = server.Serve(ctx, listener) }() // returns when the listener is closed
	g.address = listener.Addr().String()
}

// faults sets the fault with which all targets handle requests; n counts the requests from 1.
func (g *rig) faults(f func(n int) endpoint.Fault) {
	var n atomic.Int64
	for _, e := range g.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { return f(int(n.Add(1))) })
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
	took   time.Duration
}

// ask sends a request on a new connection.
func (g *rig) ask(method, path, body string, deadline time.Duration) reply {
	g.t.Helper()
	return g.askWithKey("17", method, path, body, deadline)
}

// askFor sends a read of an object on a new connection.
func (g *rig) askFor(key string) reply {
	g.t.Helper()
	return g.askWithKey(key, "GET", "/read/1", "", 2*time.Second)
}

func (g *rig) askWithKey(key, method, path, body string, deadline time.Duration) reply {
	g.t.Helper()
	r, err := http.NewRequest(method, "http://"+g.address+path, strings.NewReader(body))
	assert.NilError(g.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("req-", g.number.Add(1)))
	r.Header.Set("X-Affinity-Key", key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	started := time.Now()
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(r)
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(raw), err, time.Since(started)}
}

func (g *rig) runs() []endpoint.Run {
	var all []endpoint.Run
	for _, e := range g.targets {
		all = append(all, e.Runs()...)
	}
	return all
}

// raw sends text on a new connection and reads count responses.
func (g *rig) raw(text string, count int) []*http.Response {
	g.t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(g.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(g.t, err)
	return readResponses(g.t, conn, count)
}

func readResponses(t *testing.T, conn net.Conn, count int) []*http.Response {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	in := bufio.NewReader(conn)
	var all []*http.Response
	for range count {
		response, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		all = append(all, response)
	}
	return all
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("condition was not met in time")
}
