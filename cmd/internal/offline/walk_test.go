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

// walk is an entry VM's callers' side before targets of its own, which writes its
// log to a file.
type walk struct {
	t       *testing.T
	log     string
	address string
	targets []*endpoint.Endpoint
}

const (
	walkService = steering.Service("tickets")
	usualWork   = 120 * time.Millisecond
)

func newWalk(t *testing.T, targets, slots int, work time.Duration) *walk {
	t.Helper()
	w := &walk{t: t, log: filepath.Join(t.TempDir(), "vm-1.log")}
	file, err := os.Create(w.log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = file.Close() }) // read before
	balancer := placement.NewBalancer("vm-1", "centro")
	var placed []placement.Target
	for n := range targets {
		e, err := endpoint.Start(endpoint.Config{ID: fmt.Sprint("target-", n), Slots: slots, Queue: 9, Work: work, WarmShare: 1, Keeps: 20})
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		w.targets = append(w.targets, e)
		placed = append(placed, placement.Target{Name: steering.Target(fmt.Sprint("target-", n)), Service: walkService, Address: e.Address(), Zone: "a", Region: "centro", Slots: slots})
	}
	balancer.SetTargets(placed)
	r := relay.New(relay.Config{Region: "centro", Pool: upstream.NewPool(upstream.Dial, platform.RequestIDOf), Balancer: balancer,
		Retry: retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}),
		Log:   telemetry.NewLogger(file, "info"), Members: func() int { return 1 }})
	route := func(name string, kind routes.Kind) *routes.Route {
		return &routes.Route{Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 400 * time.Millisecond,
			Aim: 200 * time.Millisecond, MaxAttempts: 2, KeyAffinity: true, Parts: []routes.Part{{Service: walkService, Weight: 1}}}
	}
	r.SetTable(routes.NewTable(7, []*routes.Route{route("read", routes.Idempotent), route("buy", routes.Once)},
		[]*routes.Service{{Name: walkService, MaxConnections: 50}}, routes.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}))
	r.SetReady()
	w.listen(r)
	return w
}

func (w *walk) listen(r *relay.Relay) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = callers.NewServer(r, r.Limits, 100).Serve(ctx, listener) }() // ends with the listener
	w.address = listener.Addr().String()
}

// ask sends a request with an id and returns the answer's status, 0 without one.
func (w *walk) ask(method, path, id string) int {
	r, err := http.NewRequest(method, "http://"+w.address+path, nil)
	assert.NilError(w.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Affinity-Key", "17")
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status tells enough
	return response.StatusCode
}

// flood sends n reads and returns once one of them is in the target's hands.
func (w *walk) flood(n int) (wait func()) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { w.ask(http.MethodGet, "/read/x", fmt.Sprint("flood-", i)) })
	}
	for end := time.Now().Add(3 * time.Second); w.targets[0].Arrivals() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(w.t, time.Now().Before(end), "no read reached the target")
	}
	return all.Wait
}

func (w *walk) fault(f endpoint.Fault) {
	for _, e := range w.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { return f })
	}
}

// The walks of the operators' page, replayed: each begins with a caller's id and
// ends with the cause, from the log of a running entry VM alone.
func TestWalksOfTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, c := range []struct {
		name           string
		targets, slots int
		work           time.Duration
		play           func(w *walk) int
		status         int
		cause          []string // also on the page
	}{
		{"refused under overload", 1, 1, time.Second, func(w *walk) int {
			defer w.flood(12)()
			return w.ask(http.MethodGet, "/read/x", "it")
		}, 503, []string{"refused at once, not run: the target of its key had a queue of", "too long for its aim; overload of service"}},
		{"outcome unknown after its target died", 2, 3, usualWork, func(w *walk) int {
			w.fault(endpoint.LoseAnswer)
			return w.ask(http.MethodPost, "/buy/x", "it")
		}, 502, []string{"broke off with the request in its hands", "not tried again: it may have run, and must not run twice"}},
		{"held to its timeout", 2, 3, usualWork, func(w *walk) int {
			w.fault(endpoint.Dark)
			return w.ask(http.MethodPost, "/buy/x", "it")
		}, 504, []string{"no answer of", "ms that the route allows"}},
		{"no connection, and no room elsewhere", 1, 3, usualWork, func(w *walk) int {
			w.targets[0].Stop()
			return w.ask(http.MethodGet, "/read/x", "it")
		}, 503, []string{"not tried again: no other target has room in time"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWalk(t, c.targets, c.slots, c.work)
			assert.Equal(t, c.play(w), c.status)
			var out bytes.Buffer
			assert.NilError(t, runWhyLog([]string{w.log}, "it", command.IO{Out: &out}))
			for _, part := range c.cause {
				assert.Assert(t, strings.Contains(out.String(), part), "no %q in:\n%s", part, out.String())
				assert.Assert(t, strings.Contains(strings.Join(strings.Fields(string(page)), " "), part), "%q is not on the operators' page", part)
			}
		})
	}
}
