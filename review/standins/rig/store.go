package main

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"heatherlock/standin/metastore"
)

// platformStore is the platform's metadata store, with the operator and the registrations of endpoints.
type platformStore struct {
	objects *metastore.Store
	server  *httptest.Server

	mu        sync.Mutex
	endpoints []*endpoint
	seq       map[string]int
	version   int
	tenants   int // how many tenants the configuration names
}

// heartbeatInterval is how often an endpoint writes its entry (heartbeatMs of the settings).
const heartbeatInterval = 1500 * time.Millisecond

func newPlatformStore() *platformStore {
	s := &platformStore{objects: metastore.New(), seq: make(map[string]int), version: 1}
	s.server = httptest.NewServer(s.objects)
	go func() {
		for range time.Tick(heartbeatInterval) {
			s.writeEntries()
		}
	}()
	return s
}

// address returns the host:port of the store.
func (s *platformStore) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// register adds endpoints. Each writes its entry from now on.
func (s *platformStore) register(all ...*endpoint) {
	s.mu.Lock()
	s.endpoints = append(s.endpoints, all...)
	s.mu.Unlock()
	s.writeEntries()
}

// writeEntries writes the entry of each endpoint that is not silent. The entry of a silent one is removed
// after three intervals.
func (s *platformStore) writeEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if since, silent := e.silentSince(); silent {
			if time.Since(since) > 3*heartbeatInterval {
				s.objects.Remove("servers", e.id)
			}
			continue
		}
		s.seq[e.id]++
		s.objects.Put("servers", e.id, map[string]any{"service": e.service, "address": e.address(), "zone": e.zone, "version": "v1",
			"slots": e.slotCount, "state": "ready", "coldRemainingMs": 0, "seq": s.seq[e.id]})
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, aimMs, priority  int
}

const host = "review.example"

// writeConfig writes the next version of the configuration.
func (s *platformStore) writeConfig(routes []route, services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	var listed, used []any
	for _, r := range routes {
		listed = append(listed, map[string]any{"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": r.aimMs, "priority": r.priority, "service": r.service, "maxAttempts": 2, "sticky": true, "homeRegions": []string{}})
	}
	for _, name := range services {
		used = append(used, map[string]any{"name": name, "healthPath": "/health", "maxConns": 390, "coldStartS": 3.0, "coldPerS": 10.0})
	}
	tenants := []any{}
	for n := range s.tenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("tenant-", n), "apiKeys": []string{fmt.Sprint("key-", n)}, "ratePerS": 500, "burst": 500})
	}
	s.objects.Put("config", "main", map[string]any{"version": fmt.Sprint("r", s.version), "routes": listed, "services": used, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
}
