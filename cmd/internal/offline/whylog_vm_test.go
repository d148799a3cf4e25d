package offline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/standin/endpoint"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

// testVM is the part of an entry VM that serves callers, with its own targets. It writes its log
// to a file.
type testVM struct {
	t       *testing.T
	log     string
	address string
	targets []*endpoint.Endpoint
}

const (
	testService = steering.Service("tickets")
	defaultWork = 120 * time.Millisecond
)

func newTestVM(t *testing.T, targets, slots int, work time.Duration) *testVM {
	t.Helper()
	vm := &testVM{t: t, log: filepath.Join(t.TempDir(), "vm-1.log")}
	file, err := os.Create(vm.log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = file.Close() }) // the log has been read by then, so the error is ignored
	balancer := placement.NewBalancer("vm-1", "centro")
	var placedTargets []placement.Target
	for n := range targets {
		e, err := endpoint.Start(endpoint.Config{ID: fmt.Sprint("target-", n), Slots: slots, Queue: 9, Work: work, WarmShare: 1, Keeps: 20})
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		vm.targets = append(vm.targets, e)
		placedTargets = append(placedTargets, placement.Target{Name: steering.Target(fmt.Sprint("target-", n)), Service: testService, Address: e.Address(), Zone: "a", Region: "centro", Slots: slots})
	}
	balancer.SetTargets(placedTargets)
	r := relay.New(relay.Config{Region: "centro", Pool: upstream.NewPool(upstream.Dial, platform.RequestIDOf), Balancer: balancer,
		Retry: retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}),
		Log:   telemetry.NewLogger(file, "info"), MemberCount: func() int { return 1 }})
	route := func(name string, kind routes.Kind) *routes.Route {
		return &routes.Route{Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 400 * time.Millisecond,
			Aim: 200 * time.Millisecond, MaxAttempts: 2, KeyAffinity: true, Parts: []routes.WeightedService{{Service: testService, Weight: 1}}}
	}
	r.SetTable(routes.NewTable(7, []*routes.Route{route("read", routes.Idempotent), route("buy", routes.AtMostOnce)},
		[]*routes.Service{{Name: testService, MaxConnections: 50}}, routes.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}))
	r.SetTargetsKnown()
	vm.serveCallers(r)
	return vm
}

func (vm *testVM) serveCallers(r *relay.Relay) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(vm.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	vm.t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = callers.NewServer(r, r.Limits, 100).Serve(ctx, listener) }() // returns an error once the listener is closed
	vm.address = listener.Addr().String()
}

// sendRequest sends a request with an id and returns the status of the response, or 0 if there
// is none.
func (vm *testVM) sendRequest(method, path, id string) int {
	r, err := http.NewRequest(method, "http://"+vm.address+path, nil)
	assert.NilError(vm.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Affinity-Key", "17")
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters
	return response.StatusCode
}

// overload sends n reads concurrently and returns once one of them has reached the first target.
// The returned function waits until all have ended.
func (vm *testVM) overload(n int) (wait func()) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { vm.sendRequest(http.MethodGet, "/read/x", fmt.Sprint("flood-", i)) })
	}
	for end := time.Now().Add(3 * time.Second); vm.targets[0].Arrivals() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(vm.t, time.Now().Before(end), "no read reached the target")
	}
	return all.Wait
}

func (vm *testVM) setFault(f endpoint.Fault) {
	for _, e := range vm.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { return f })
	}
}

// Replays the walkthroughs of the operators' documentation against a running entry VM. Each
// starts with a request id and finds the cause from that VM's log alone; the documentation has
// to contain the same texts.
func TestWalksOfTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, c := range []struct {
		name           string
		targets, slots int
		work           time.Duration
		run            func(vm *testVM) int
		status         int
		want           []string // expected texts, which the documentation contains too
	}{
		{"refused under overload", 1, 1, time.Second, func(vm *testVM) int {
			defer vm.overload(12)()
			return vm.sendRequest(http.MethodGet, "/read/x", "it")
		}, 503, []string{"refused at once, not run: the target of its key had a queue of", "too long for its aim; overload of service"}},
		{"outcome unknown after its target died", 2, 3, defaultWork, func(vm *testVM) int {
			vm.setFault(endpoint.LoseAnswer)
			return vm.sendRequest(http.MethodPost, "/buy/x", "it")
		}, 502, []string{"broke off with the request in its hands", "not tried again: it may have run, and must not run twice"}},
		{"held to its timeout", 2, 3, defaultWork, func(vm *testVM) int {
			vm.setFault(endpoint.Dark)
			return vm.sendRequest(http.MethodPost, "/buy/x", "it")
		}, 504, []string{"no answer of", "ms that the route allows"}},
		{"no connection, and no room elsewhere", 1, 3, defaultWork, func(vm *testVM) int {
			vm.targets[0].Stop()
			return vm.sendRequest(http.MethodGet, "/read/x", "it")
		}, 503, []string{"not tried again: no other target has room in time"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm := newTestVM(t, c.targets, c.slots, c.work)
			assert.Equal(t, c.run(vm), c.status)
			var out bytes.Buffer
			assert.NilError(t, explainRequest([]string{vm.log}, "it", command.IO{Out: &out}))
			for _, part := range c.want {
				assert.Assert(t, strings.Contains(out.String(), part), "no %q in:\n%s", part, out.String())
				assert.Assert(t, strings.Contains(strings.Join(strings.Fields(string(page)), " "), part), "%q is not on the operators' page", part)
			}
		})
	}
}
