package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

// Guards against purchases that are broken off while targets run them, because the owner of their target leaves
// soon after the VM that took them from their callers.
func TestOverlappingStopsBreakOffNoPurchase(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.zones = 2
	s.routes[0]["targetLatencyMs"], s.routes[0]["priority"] = 4000, 2
	s.workspace("acme", 0, "key-acme")
	s.apiKey = "key-acme"
	for n := 3; n <= 6; n++ {
		s.addTarget(fmt.Sprint("t", n))
	}
	s.configure()
	var all []*vm
	for n := range 6 {
		all = append(all, s.start(n+1))
	}
	for _, v := range all {
		within(t, 5*time.Second, "ready", func() bool { return s.ready(v) && len(s.listed(v)) == 3 })
	}
	var warming sync.WaitGroup
	for n := range 600 { // until the routes of the service are counted on each VM
		warming.Go(func() { s.request(all[n%len(all)], fmt.Sprint([]string{"/read/", "/buy/"}[n/len(all)%2], n)) })
		time.Sleep(6 * time.Millisecond)
	}
	warming.Wait()
	for _, e := range s.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { time.Sleep(500 * time.Millisecond); return endpoint.None })
	}
	var running sync.WaitGroup
	began := time.Now()
	stops := []time.Duration{time.Second, 1800 * time.Millisecond}
	for n := 0; time.Since(began) < 5*time.Second; n++ {
		if len(stops) > 0 && time.Since(began) > stops[0] {
			all[2*(2-len(stops))].stop() // VMs 1 and 3 own targets, as do 5 and those with even numbers none
			stops = stops[1:]
		}
		v := all[n%len(all)]
		running.Go(func() {
			path := fmt.Sprint("/buy/", n)
			if n%3 == 0 {
				path = fmt.Sprint("/read/", n)
			}
			status := s.request(v, path)
			assert.Check(t, status != 502, "%s to %s got 502 after %v", path, v.settings.VM, time.Since(began))
		})
		time.Sleep(40 * time.Millisecond)
	}
	running.Wait()
	assert.Check(t, s.metric(all[1], "heatherlock_gateway_passed_to_owner", "") > 0, "no request was passed on to an owner")
}
