package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"heatherlock/standin/endpoint"
	"heatherlock/standin/metastore"
	"heatherlock/standin/witness"
)

// Parameters of the deployment. Targets are fast, so that each second of a run has many
// requests.
const (
	targetRunTime     = 15 * time.Millisecond
	targetSlots       = 4
	heartbeatInterval = 500 * time.Millisecond
	host              = "soak.example"
	serviceName       = "svc"
	otherServiceName  = "other"
	// drainOverrun is how long a draining target still serves requests after drainBound, so
	// that the check can see requests that reach it too late.
	drainOverrun = 3 * time.Second
)

// system is the deployment under test.
type system struct {
	findings   *findings
	store      *metastore.Store
	server     *httptest.Server
	storeProxy *proxy
	daemons    []*daemon
	ports      [8]int

	mu         sync.Mutex
	targets    map[string]*target
	allTargets []*target // including stopped ones
	// partTargets are those of services that only one part of the soak uses. The plans of other parts do
	// not disturb them, but entry VMs are cut off from them as from all targets.
	partTargets  []*target
	partServices []string
	nextTarget   int
	version      int
	config       any // as written last
	routes       []map[string]any
	// extraKeys are the temporary API keys of each workspace; loweredWorkspace names the
	// workspace whose allowance is reduced at present, or is empty.
	extraKeys        map[string][]string
	loweredWorkspace string
	// storeDisturbedAt are the times at which a fault of the store or of the
	// connections to it began or ended.
	storeDisturbedAt []time.Time
	thawSent         sync.Map  // thawed, by the ID of the request
	storeAwayUntil   time.Time // until when it is silent whatever else disturbs it
	closing          chan struct{}
	// linkCuts are the times in which entry VMs reached no target, and linksCut tells which do now.
	linkCuts []*linkCut
	linksCut []bool
	// goroutinesBefore is the most that an entry VM had before the first caller came.
	goroutinesBefore float64
	// versions and changing are nil without the part that uses them.
	versions *witness.Versions
	changing *changing
	plain    bool // as in Options
}

// target is a target that entry VMs reach through a proxy.
type target struct {
	*endpoint.Endpoint
	name              string
	service           string
	proxy             *proxy
	seq               int
	drainingSince     time.Time // when its entry in the store became draining; zero before
	heartbeatsStopped bool      // its entry in the store is not renewed
	disturbedAt       time.Time
	rest              time.Duration // asked for while it sheds; zero if it never did
	naming            int           // how many limits it has named
	limited           bool          // it names one now
}

func newSystem(o Options, dir string, f *findings) (*system, error) {
	s := &system{findings: f, store: metastore.New(), targets: make(map[string]*target), extraKeys: make(map[string][]string), closing: make(chan struct{}), plain: o.Plain}
	s.linksCut = make([]bool, o.Daemons)
	s.server = httptest.NewServer(s.store)
	var err error
	if s.storeProxy, err = newProxy(strings.TrimPrefix(s.server.URL, "http://")); err != nil {
		return nil, err
	}
	for i := range s.ports {
		s.ports[i] = o.BasePort + i
	}
	for range o.Targets {
		if err := s.addTarget(); err != nil {
			return nil, err
		}
	}
	s.addRoute("read", "safe")
	s.addRoute("buy", "unsafe")
	for _, p := range o.parts() {
		if p.prepare == nil {
			continue
		}
		if err := p.prepare(s); err != nil {
			return nil, err
		}
	}
	s.writeConfig()
	for n := range o.Daemons {
		if err := s.addDaemon(n, dir, o); err != nil {
			return nil, err
		}
	}
	go s.writeHeartbeats()
	return s, nil
}

func (s *system) addDaemon(n int, dir string, o Options) error {
	ip := fmt.Sprintf("127.0.%d.%d", 1+n/200, 10+n%200)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, s.ports[i]) }
	d := &daemon{name: fmt.Sprint("vm-", n), ip: ip, targetsIP: linkIP(n), dir: dir, binary: filepath.Join(o.Binary), ended: make(chan struct{}),
		settings: map[string]any{"vm": fmt.Sprint("vm-", n), "zone": zoneOf(n), "region": "r-" + zoneOf(n),
			"zones": map[string]string{"a": "r-a", "b": "r-b"}, "ip": ip,
			"listen":    map[string]string{"callers": at(0), "ready": at(1), "directory": at(2), "control": at(3)},
			"peerPorts": []int{s.ports[4], s.ports[6]}, "metricsPort": s.ports[7],
			"seeds": []string{fmt.Sprintf("127.0.1.10:%d", s.ports[3]), fmt.Sprintf("127.0.1.11:%d", s.ports[3])},
			"store": s.storeProxy.address(), "memoryMB": 200, "cpuShare": 0.3, "linkMbps": 1000, "heartbeatMs": heartbeatInterval.Milliseconds(),
			"bounds": map[string]any{"graceS": 6, "retryBudgetRatio": 0.2, "retrySlack": 60, "budgetWindowS": 10, "maxShift": 0.15}}}
	if err := d.writeSettings(); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	go d.run(s.findings.add)
	return nil
}

func zoneOf(n int) string { return string(rune('a' + n%2)) }

// addTarget starts a target under a new name.
func (s *system) addTarget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("target-", s.nextTarget)
	e, err := endpoint.Start(endpoint.Config{ID: name, Slots: targetSlots, Queue: 12, Work: targetRunTime, WarmShare: 0.5, Keeps: 30})
	if err != nil {
		return err
	}
	p, err := newProxy(e.Address())
	if err != nil {
		return err
	}
	for vm, cut := range s.linksCut {
		if err := p.addLink(vm, cut); err != nil {
			return err
		}
	}
	t := &target{Endpoint: e, name: name, service: serviceName, proxy: p}
	s.nextTarget++
	s.targets[name] = t
	s.allTargets = append(s.allTargets, t)
	s.writeEntry(t)
	return nil
}

// writeEntry writes the entry of a target to the store. The caller holds s.mu.
func (s *system) writeEntry(t *target) {
	state := "ready"
	if !t.drainingSince.IsZero() {
		state = "draining"
	}
	t.seq++
	s.store.Put("servers", t.name, map[string]any{"service": t.service, "address": t.proxy.address(), "zone": zoneOf(len(t.name) + int(t.name[len(t.name)-1])),
		"slots": targetSlots, "state": state, "coldRemainingMs": t.ColdLeft().Milliseconds(), "version": "v1", "seq": t.seq})
}

// writeHeartbeats renews the entries of all running targets every heartbeatInterval.
func (s *system) writeHeartbeats() {
	for {
		select {
		case <-s.closing:
			return
		case <-time.After(heartbeatInterval):
		}
		s.mu.Lock()
		for _, t := range s.targets {
			if !t.heartbeatsStopped {
				s.writeEntry(t)
			}
		}
		for _, t := range s.partTargets {
			s.writeEntry(t)
		}
		s.mu.Unlock()
	}
}

// drain marks a target as draining, and stops it drainOverrun after drainBound.
func (s *system) drain(t *target) {
	s.mu.Lock()
	t.drainingSince = time.Now()
	s.writeEntry(t)
	s.mu.Unlock()
	time.AfterFunc(drainBound+drainOverrun, func() { s.remove(t, true) })
}

// remove stops a target. With entryToo set its entry in the store is removed at once,
// otherwise after three heartbeat intervals, as after a crash.
func (s *system) remove(t *target, entryToo bool) {
	s.mu.Lock()
	t.heartbeatsStopped = true
	delete(s.targets, t.name)
	s.mu.Unlock()
	t.Stop()
	removeEntry := func() { s.store.Remove("servers", t.name) }
	if entryToo {
		removeEntry()
		return
	}
	time.AfterFunc(3*heartbeatInterval, removeEntry)
}

// reuseAddress stops a target and starts one of another service at its address. No
// request of the service under test may run there.
func (s *system) reuseAddress(t *target) error {
	other, err := endpoint.Start(endpoint.Config{ID: otherServiceName + "-" + t.name, Slots: 1, Queue: 1, Work: targetRunTime, WarmShare: 1, Keeps: 1})
	if err != nil {
		return err
	}
	s.remove(t, false)
	t.proxy.resetAll()
	t.proxy.upstream.Store(other.Address())
	s.mu.Lock()
	s.allTargets = append(s.allTargets, &target{Endpoint: other, name: otherServiceName, proxy: t.proxy})
	s.mu.Unlock()
	return nil
}

func (s *system) addRoute(name, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = append(s.routes, map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 1500,
		"targetLatencyMs": 500, "service": serviceName, "maxAttempts": 2, "sticky": true})
}

// addIdleRoutes adds routes that get no requests.
func (s *system) addIdleRoutes(count int) {
	s.mu.Lock()
	first := len(s.routes)
	s.mu.Unlock()
	for n := range count {
		s.addRoute(fmt.Sprint("idle-", first+n), "safe")
	}
}

// writeConfig writes a new version of the configuration to the store and returns it.
func (s *system) writeConfig() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	config := map[string]any{"version": fmt.Sprint("r", s.version), "routes": s.routes, "tenants": s.tenants(),
		"services": s.services(),
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": 5000}}
	s.config = s.addChanging(config)
	s.putConfig()
	return s.version
}

// putConfig writes the newest configuration. The caller holds s.mu.
func (s *system) putConfig() {
	s.store.Put("config", "main", s.config)
	if s.versions != nil {
		s.versions.Confirmed(s.version, time.Now())
	}
}

// encode returns the JSON text of a value that has one.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}

// disturbStore injects faults into the store and the connections to it for a span.
func (s *system) disturbStore(f metastore.Faults, m Mode, span time.Duration) {
	if s.setStoreFaults(f, m) {
		time.AfterFunc(span, func() { s.setStoreFaults(metastore.Faults{}, Pass) })
	}
}

// keepStoreAway makes the store silent for a span, whatever else disturbs it meanwhile.
func (s *system) keepStoreAway(span time.Duration) {
	s.setStoreFaults(metastore.Faults{Silent: metastore.All}, Pass)
	s.mu.Lock()
	s.storeAwayUntil = time.Now().Add(span)
	s.mu.Unlock()
	time.AfterFunc(span, func() { s.setStoreFaults(metastore.Faults{}, Pass) })
	for at := time.Second; at < span; at += time.Second { // it is not healthy in between
		time.AfterFunc(at, s.recordStoreDisturbance)
	}
}

// setStoreFaults reports false if it changed nothing, as the store is kept away.
func (s *system) setStoreFaults(f metastore.Faults, m Mode) bool {
	s.mu.Lock()
	away := time.Now().Before(s.storeAwayUntil)
	s.mu.Unlock()
	if away {
		return false
	}
	s.recordStoreDisturbance()
	s.store.SetFaults(f)
	s.storeProxy.set(m)
	return true
}

func (s *system) recordStoreDisturbance() {
	s.mu.Lock()
	s.storeDisturbedAt = append(s.storeDisturbedAt, time.Now())
	s.mu.Unlock()
}

// storeHealthy reports whether no fault of the store began or ended within a span.
func (s *system) storeHealthy(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.storeDisturbedAt) == 0 || time.Since(s.storeDisturbedAt[len(s.storeDisturbedAt)-1]) > span
}

// live returns the running targets that are not draining.
func (s *system) live() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*target
	for _, t := range s.targets {
		if t.drainingSince.IsZero() {
			all = append(all, t)
		}
	}
	return all
}

// close stops everything that the run started.
func (s *system) close() {
	close(s.closing)
	for _, d := range s.daemons {
		d.stop()
	}
	for _, t := range s.allTargets {
		t.Stop()
		t.proxy.close()
	}
	s.storeProxy.close()
	s.server.CloseClientConnections()
	go s.server.Close() // Close blocks until hanging requests end, which they do on their own
}

// injectFault makes a target apply a fault to one of every so many requests for a span.
func (t *target) injectFault(f endpoint.Fault, every int, span time.Duration) {
	var n int
	var mu sync.Mutex
	t.SetFault(func(*http.Request) endpoint.Fault {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%every == 0 {
			return f
		}
		return endpoint.None
	})
	time.AfterFunc(span, func() { t.SetFault(nil) })
}
