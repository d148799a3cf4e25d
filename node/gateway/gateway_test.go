package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway"
	"heatherlock/platform"
	"heatherlock/standin/endpoint"
	"heatherlock/standin/metastore"
	"heatherlock/standin/targetlinks"
	"heatherlock/steering"
)

// testCluster is a small deployment on loopback addresses: entry VMs as the daemon assembles
// them, targets and a store.
type testCluster struct {
	t       *testing.T
	store   *metastore.Store
	address string
	ports   [8]int
	targets map[string]*endpoint.Endpoint
	version int
	routes  []map[string]any
	number  atomic.Int64
	// workspaces are part of the configuration; without any, requests need no API key.
	workspaces []map[string]any
	// apiKey is sent with each request unless it is empty.
	apiKey string
	// logs, if set, receives the log lines of the VMs.
	logs *safeBuffer
	// zones is the number of availability zones that VMs are spread over; 0 and 1 mean one.
	zones int
	// largeVMs is how many VMs, counted from the first, have a larger CPU share and a wider link.
	// With 0, no VM states its CPU share or link rate.
	largeVMs int
	// links, if set, are the simulated links for traffic between VMs and with the store.
	links *links
	// targetLinks are the links of VMs to targets, in the order in which VMs were started.
	targetLinks []*targetlinks.Links
}

// vm is a running entry VM.
type vm struct {
	settings *platform.Settings
	gateway  *gateway.Gateway
	stop     context.CancelFunc
	done     chan error
}

var nextNet atomic.Int64

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	s := &testCluster{t: t, store: metastore.New(), targets: make(map[string]*endpoint.Endpoint)}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.address = strings.TrimPrefix(server.URL, "http://")
	base := 21000 + int(nextNet.Add(1))*20
	for i := range s.ports {
		s.ports[i] = base + i
	}
	s.addTarget("t1")
	s.addTarget("t2")
	s.route("read", "safe")
	s.route("buy", "unsafe")
	s.configure()
	return s
}

func (s *testCluster) addTarget(name string) {
	e, err := endpoint.Start(endpoint.Config{ID: name, Slots: 3, Queue: 9, Work: 20 * time.Millisecond, WarmShare: 1, Keeps: 20})
	assert.NilError(s.t, err)
	s.t.Cleanup(e.Stop)
	s.targets[name] = e
	s.register(name, "ready", 1)
}

func (s *testCluster) register(name, state string, seq int) {
	s.store.Put("servers", name, map[string]any{"service": "svc", "address": s.targets[name].Address(), "zone": "a", "slots": 3, "state": state, "coldRemainingMs": 0, "version": "v1", "seq": seq})
}

func (s *testCluster) route(name, kind string) {
	s.routes = append(s.routes, map[string]any{"name": name, "host": "shop.example", "pathPrefix": "/" + name + "/", "kind": kind,
		"timeoutMs": 2000, "targetLatencyMs": 1000, "service": "svc", "maxAttempts": 2, "sticky": true})
}

// configure writes a new version of the configuration to the store.
func (s *testCluster) configure() {
	s.version += 3
	config := map[string]any{"version": fmt.Sprint("r", s.version), "routes": s.routes,
		"services": []any{map[string]any{"name": "svc", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": 5000}}
	if len(s.workspaces) > 0 {
		config["tenants"] = s.workspaces
	}
	s.store.Put("config", "main", config)
}

func (s *testCluster) zoneOf(n int) steering.Zone {
	if s.zones == 2 && n%2 == 0 {
		return "b"
	}
	return "a"
}

// start starts the entry VM number n, with VM 1 as its seed.
func (s *testCluster) start(n int) *vm {
	s.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", n+1)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, s.ports[port]) }
	settings := &platform.Settings{VM: steering.VM(fmt.Sprint("vm-", n)), Zone: s.zoneOf(n), Region: "r", Zones: map[steering.Zone]steering.Region{"a": "r", "b": "r"},
		IP: ip, Listen: platform.Listen{Callers: at(0), Ready: at(1), Directory: at(2), Control: at(3)},
		PeerPorts: []int{s.ports[4], s.ports[6]}, MetricsPort: s.ports[7], Seeds: []string{fmt.Sprintf("127.0.0.2:%d", s.ports[3])},
		Store: s.address, MemoryMB: 200, HeartbeatMs: 1500,
		Bounds: platform.Bounds{TerminationGrace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, MaxRegionShift: 0.15}}
	if s.largeVMs > 0 {
		settings.CPUShare, settings.LinkMbps = 0.16, 10
	}
	if n <= s.largeVMs {
		settings.CPUShare, settings.LinkMbps = 0.8, 200
	}
	if s.links != nil {
		settings.Store = s.links.proxyStore(s.t, ip, s.store)
	}
	logger := log.NewNopLogger()
	if s.logs != nil {
		logger = log.NewJSONLogger(s.logs)
	}
	g, err := gateway.New(settings, logger)
	assert.NilError(s.t, err)
	if s.links != nil {
		g.DialPeersBy(s.links.dial(ip))
	}
	toTargets := targetlinks.New()
	s.targetLinks = append(s.targetLinks, toTargets)
	g.DialTargetsBy(toTargets.Dial)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: settings, gateway: g, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- g.Run(ctx) }()
	s.t.Cleanup(func() { stop() })
	return v
}

func (s *testCluster) get(url string) (int, string) {
	response, err := (&http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (s *testCluster) ready(v *vm) bool {
	status, _ := s.get("http://" + v.settings.Listen.Ready + platform.PathReady)
	return status == http.StatusOK
}

func (s *testCluster) listed(v *vm) []string {
	_, body := s.get("http://" + v.settings.Listen.Directory + platform.PathDirectory + "?name=shop.example&region=r&zone=a")
	var answer struct{ Addresses []string }
	_ = json.Unmarshal([]byte(body), &answer) // an invalid response lists none
	return answer.Addresses
}

func (s *testCluster) request(v *vm, path string) int {
	return s.requestWithin(v, path, 3*time.Second)
}

func (s *testCluster) requestWithin(v *vm, path string, deadline time.Duration) int {
	status, _ := s.requestNamed(v, fmt.Sprint("q", s.number.Add(1)), path, deadline)
	return status
}

// requestNamed sends a request with an ID, and returns the status and the header of the response; status 0 means
// that there was none.
func (s *testCluster) requestNamed(v *vm, id, path string, deadline time.Duration) (int, http.Header) {
	r, err := http.NewRequest(http.MethodGet, "http://"+v.settings.Listen.Callers+path, nil)
	assert.NilError(s.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	if s.apiKey != "" {
		r.Header.Set("Api-Key", s.apiKey)
	}
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

func within(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

func (s *testCluster) startAll(n int) []*vm {
	s.t.Helper()
	var all []*vm
	for i := range n {
		all = append(all, s.start(i+1))
	}
	for _, v := range all {
		within(s.t, 5*time.Second, "ready", func() bool { return s.ready(v) })
		within(s.t, 5*time.Second, "all listed", func() bool { return len(s.listed(v)) == n })
	}
	return all
}

// Guards against a configuration that becomes active on an entry VM later than its bound, and
// against more than one VM that reads the store each time.
func TestConfigurationIsInForceEverywhereWithFewCalls(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(4)
	for _, v := range all {
		assert.Equal(t, s.request(v, "/read/1"), 200)
		assert.Equal(t, s.request(v, "/new/1"), 404)
	}
	s.route("new", "safe")
	s.configure()
	for _, v := range all {
		within(t, 2500*time.Millisecond, "new route", func() bool { return s.request(v, "/new/1") == 200 })
	}
	before := s.store.Calls()
	time.Sleep(4 * time.Second)
	// A read takes three calls and happens every 1.1 s; the limit allows for one duplicate read.
	assert.Assert(t, s.store.Calls()-before <= 15, "%d calls in 4 s", s.store.Calls()-before)
}

// Guards against requests to a leaving target: no entry VM may send it one later than the bound
// after it has reported that it leaves. The target must not be treated as removed, and other
// targets must serve the requests.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	s.register("t1", "draining", 2)
	time.Sleep(2500 * time.Millisecond)
	before := s.targets["t1"].Arrivals()
	for n := range 60 {
		assert.Equal(t, s.request(all[n%3], fmt.Sprint("/read/", n)), 200)
	}
	assert.Equal(t, s.targets["t1"].Arrivals(), before)
}

// Guards against requests that break off when an entry VM is replaced. Callers use cached
// directory responses for a while after its SIGTERM, so it has to be removed from the directory
// at once and go on serving instead of exiting.
func TestLeavingEntryVMFinishesRunningRequests(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	s.targets["t1"].SetFault(func(*http.Request) endpoint.Fault { time.Sleep(800 * time.Millisecond); return endpoint.None })
	s.targets["t2"].SetFault(func(*http.Request) endpoint.Fault { time.Sleep(800 * time.Millisecond); return endpoint.None })
	const running = 5
	statuses := make(chan int, running)
	for n := range running {
		go func() { statuses <- s.request(all[0], fmt.Sprint("/buy/", n)) }()
	}
	time.Sleep(100 * time.Millisecond)
	all[0].stop()
	within(t, 500*time.Millisecond, "removed from the directory", func() bool { return len(s.listed(all[1])) == 2 && len(s.listed(all[0])) == 2 })
	assert.Assert(t, !s.ready(all[0]))
	assert.Equal(t, s.request(all[0], "/read/late"), 200, "callers with a cached directory response are served")
	for range running {
		assert.Equal(t, <-statuses, 200)
	}
	select {
	case err := <-all[0].done:
		assert.NilError(t, err)
	case <-time.After(6 * time.Second):
		t.Fatal("the VM did not stop")
	}
	assert.Assert(t, len(s.store.Names("heatherlock-entry-vms")) == 2)
}

// Guards against a non-idempotent request that is cut off although the stopping entry VM had
// seconds left. A caller with a directory response cached long ago connects shortly before the
// process is killed. The port has to be closed before that, so that the caller tries another VM
// at once.
func TestLeavingEntryVMAcceptsNothingThatItCannotFinish(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	for _, e := range s.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { time.Sleep(1500 * time.Millisecond); return endpoint.None })
	}
	all[0].stop()
	began := time.Now()
	var running sync.WaitGroup
	for n := 0; time.Since(began) < 5*time.Second; n++ {
		running.Go(func() {
			ran := func() int { return s.targets["t1"].Arrivals() + s.targets["t2"].Arrivals() }
			before := ran()
			status := s.request(all[0], fmt.Sprint("/buy/", n))
			if status == 0 && time.Since(began) < 3*time.Second && ran() > before {
				t.Errorf("request %d was cut off", n)
			}
			if late := time.Since(began); status == 0 && late > 3500*time.Millisecond && ran() > before {
				t.Errorf("request %d was accepted and cut off %v after the stop", n, late)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	conn, err := net.DialTimeout("tcp4", all[0].settings.Listen.Callers, time.Second)
	if err == nil {
		_ = conn.Close()
	}
	assert.Assert(t, err != nil, "the port is still open")
}

// Guards against an entry VM that never serves when it restarts while the store is down, because
// it learns only from the store. Its peers have to send it all they know.
func TestEntryVMStartsFromPeersWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	s.store.SetFaults(metastore.Faults{Busy: metastore.All})
	late := s.start(3)
	within(t, 3*time.Second, "ready", func() bool { return s.ready(late) })
	assert.Equal(t, s.request(late, "/read/1"), 200)
	within(t, 3*time.Second, "listed", func() bool { return len(s.listed(all[0])) == 3 })
}

// Guards against the loss of an accepted configuration that is kept only in the memory of entry
// VMs: the store accepts it, and all of them stop at that moment.
func TestConfigurationSurvivesRestartOfAllEntryVMs(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	s.route("new", "safe")
	s.configure()
	for _, v := range all {
		v.stop()
	}
	for _, v := range all {
		<-v.done
	}
	for _, v := range s.startAll(2) {
		assert.Equal(t, s.request(v, "/new/1"), 200)
	}
}

// Guards against an entry VM that uses a configuration that is seconds old because it waits for
// its own read of the store. The store does not respond to that VM, or loses its change history,
// when a new configuration is written.
func TestConfigurationArrivesThroughPeersAndAfterHistoryLoss(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.links = newLinks(wideMegabits)
	all := s.startAll(3)
	s.links.blockStore(all[0])
	s.store.Forget()
	s.route("new", "safe")
	s.configure()
	for _, v := range all {
		within(t, 2500*time.Millisecond, "new route", func() bool { return s.request(v, "/new/1") == 200 })
	}
}
