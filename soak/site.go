package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"heatherlock/standin/endpoint"
	"heatherlock/standin/metastore"
)

// Figures of a site. Targets are quick, so that a second holds many requests.
const (
	targetWork  = 15 * time.Millisecond
	targetSlots = 4
	beatEvery   = 500 * time.Millisecond
	host        = "soak.example"
	serviceName = "svc"
	otherName   = "other"
	// leftOver is how long a leaving target still serves after the bound.
	leftOver = 3 * time.Second
)

// site is the deployment under test.
type site struct {
	findings *findings
	store    *metastore.Store
	server   *httptest.Server
	toStore  *proxy
	daemons  []*daemon
	ports    [7]int

	mu      sync.Mutex
	targets map[string]*target
	all     []*target // also those that are gone
	next    int
	version int
	routes  []map[string]any
	// extraKeys are keys of workspaces that come and go; lowered names the workspace whose
	// allowance is low.
	extraKeys map[string][]string
	lowered   string
	// storeBad are the times at which the store or the way to it was harmed, or
	// ceased to be.
	storeBad []time.Time
	closing  chan struct{}
}

// target is a target behind a proxy.
type target struct {
	*endpoint.Endpoint
	name    string
	proxy   *proxy
	seq     int
	leaving time.Time // when the store took its leaving; zero while it stays
	silent  bool      // does not write to the store
	harmed  time.Time
}

func newSite(o Options, dir string, f *findings) (*site, error) {
	s := &site{findings: f, store: metastore.New(), targets: make(map[string]*target), extraKeys: make(map[string][]string), closing: make(chan struct{})}
	s.server = httptest.NewServer(s.store)
	var err error
	if s.toStore, err = newProxy(strings.TrimPrefix(s.server.URL, "http://")); err != nil {
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
	s.configure()
	for n := range o.Daemons {
		if err := s.addDaemon(n, dir, o); err != nil {
			return nil, err
		}
	}
	go s.beat()
	return s, nil
}

func (s *site) addDaemon(n int, dir string, o Options) error {
	ip := fmt.Sprintf("127.0.%d.%d", 1+n/200, 10+n%200)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, s.ports[i]) }
	d := &daemon{name: fmt.Sprint("vm-", n), ip: ip, dir: dir, binary: filepath.Join(o.Binary), ended: make(chan struct{}),
		settings: map[string]any{"vm": fmt.Sprint("vm-", n), "zone": zoneOf(n), "region": "r-" + zoneOf(n),
			"zones": map[string]string{"a": "r-a", "b": "r-b"}, "ip": ip,
			"listen":    map[string]string{"callers": at(0), "ready": at(1), "directory": at(2), "control": at(3)},
			"peerPorts": []int{s.ports[4], s.ports[5]}, "metricsPort": s.ports[6],
			"seeds": []string{fmt.Sprintf("127.0.1.10:%d", s.ports[3]), fmt.Sprintf("127.0.1.11:%d", s.ports[3])},
			"store": s.toStore.address(), "memoryMB": 200, "cpuShare": 0.3, "linkMbps": 1000, "heartbeatMs": beatEvery.Milliseconds(),
			"bounds": map[string]any{"graceS": 6, "retryBudgetRatio": 0.2, "retrySlack": 60, "budgetWindowS": 10, "maxShift": 0.15}}}
	if err := d.writeSettings(); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	go d.run(s.findings.add)
	return nil
}

func zoneOf(n int) string { return string(rune('a' + n%2)) }

// addTarget starts a target; its name is new.
func (s *site) addTarget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("target-", s.next)
	e, err := endpoint.Start(endpoint.Config{ID: name, Slots: targetSlots, Queue: 12, Work: targetWork, WarmShare: 0.5, Keeps: 30})
	if err != nil {
		return err
	}
	p, err := newProxy(e.Address())
	if err != nil {
		return err
	}
	t := &target{Endpoint: e, name: name, proxy: p}
	s.next++
	s.targets[name] = t
	s.all = append(s.all, t)
	s.write(t)
	return nil
}

// write puts a target's entry into the store.
func (s *site) write(t *target) {
	state := "ready"
	if !t.leaving.IsZero() {
		state = "draining"
	}
	t.seq++
	s.store.Put("servers", t.name, map[string]any{"service": serviceName, "address": t.proxy.address(), "zone": zoneOf(len(t.name) + int(t.name[len(t.name)-1])),
		"slots": targetSlots, "state": state, "coldRemainingMs": 0, "version": "v1", "seq": t.seq})
}

// beat writes the entries of all targets that live, again and again.
func (s *site) beat() {
	for {
		select {
		case <-s.closing:
			return
		case <-time.After(beatEvery):
		}
		s.mu.Lock()
		for _, t := range s.targets {
			if !t.silent {
				s.write(t)
			}
		}
		s.mu.Unlock()
	}
}

// leave lets a target drain and end.
func (s *site) leave(t *target) {
	s.mu.Lock()
	t.leaving = time.Now()
	s.write(t)
	s.mu.Unlock()
	time.AfterFunc(drainBound+leftOver, func() { s.remove(t, true) })
}

// remove ends a target; with entry set its entry goes at once.
func (s *site) remove(t *target, entry bool) {
	s.mu.Lock()
	t.silent = true
	delete(s.targets, t.name)
	s.mu.Unlock()
	t.Stop()
	drop := func() { s.store.Remove("servers", t.name) }
	if entry {
		drop()
		return
	}
	time.AfterFunc(3*beatEvery, drop)
}

// giveAddress lets a target end and another one of another service start at its
// address. Nothing of heatherlock's may ever run there.
func (s *site) giveAddress(t *target) error {
	other, err := endpoint.Start(endpoint.Config{ID: otherName + "-" + t.name, Slots: 1, Queue: 1, Work: targetWork, WarmShare: 1, Keeps: 1})
	if err != nil {
		return err
	}
	s.remove(t, false)
	t.proxy.breakAll()
	t.proxy.to.Store(other.Address())
	s.mu.Lock()
	s.all = append(s.all, &target{Endpoint: other, name: otherName, proxy: t.proxy})
	s.mu.Unlock()
	return nil
}

func (s *site) addRoute(name, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = append(s.routes, map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 1500,
		"targetLatencyMs": 500, "service": serviceName, "maxAttempts": 2, "sticky": true})
}

// grow adds routes that nobody asks for.
func (s *site) grow(by int) {
	s.mu.Lock()
	first := len(s.routes)
	s.mu.Unlock()
	for n := range by {
		s.addRoute(fmt.Sprint("idle-", first+n), "safe")
	}
}

// configure writes a configuration and returns its version.
func (s *site) configure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	s.store.Put("config", "main", map[string]any{"version": fmt.Sprint("r", s.version), "routes": s.routes, "tenants": s.tenants(),
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 200}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": 5000}})
	return s.version
}

// harmStore sets the store's faults or the way to it for a while.
func (s *site) harmStore(f metastore.Faults, m Mode, span time.Duration) {
	s.noteStoreBad()
	s.store.SetFaults(f)
	s.toStore.set(m)
	time.AfterFunc(span, func() {
		s.store.SetFaults(metastore.Faults{})
		s.toStore.set(Pass)
		s.noteStoreBad()
	})
}

func (s *site) noteStoreBad() {
	s.mu.Lock()
	s.storeBad = append(s.storeBad, time.Now())
	s.mu.Unlock()
}

// storeWell reports whether the store was not harmed within a span.
func (s *site) storeWell(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.storeBad) == 0 || time.Since(s.storeBad[len(s.storeBad)-1]) > span
}

// live returns the targets that run and stay.
func (s *site) live() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*target
	for _, t := range s.targets {
		if t.leaving.IsZero() {
			all = append(all, t)
		}
	}
	return all
}

// close ends everything that the run started.
func (s *site) close() {
	close(s.closing)
	for _, d := range s.daemons {
		d.stop()
	}
	for _, t := range s.all {
		t.Stop()
		t.proxy.close()
	}
	s.toStore.close()
	s.server.CloseClientConnections()
	go s.server.Close() // waits for hanging calls, which end by themselves
}

// spoil lets a target treat a share of its requests by a fault for a while.
func (t *target) spoil(f endpoint.Fault, every int, span time.Duration) {
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
