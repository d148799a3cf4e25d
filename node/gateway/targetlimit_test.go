package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
	"heatherlock/standin/targetlinks"
)

const (
	// limitWindow, limitFactor and limitSlack bound what a target that names a limit may get: in any
	// limitWindow the limit times limitFactor, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettles is how long after a target has named its limit the bound applies.
	limitSettles = 2 * time.Second
	// limitStable is how long after a target has first named its limit the users' bound applies at the latest.
	limitStable = 4 * time.Second
)

// requestAll sends requests to all VMs in turn for a time, each on its own.
func (s *testCluster) requestAll(all []*vm, perSecond int, d time.Duration) (statuses map[int]int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	statuses = make(map[int]int)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		running.Go(func() {
			got := s.request(all[n%len(all)], fmt.Sprint("/read/", n))
			mu.Lock()
			defer mu.Unlock()
			statuses[got]++
		})
		<-ticker.C
	}
	running.Wait()
	return statuses
}

// mostIn returns the largest number of arrivals in any window.
func mostIn(arrivals []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a target that gets the load of a healthy one although it names a limit, and against
// a limit that each VM keeps by itself.
func TestVMsTogetherKeepTheLimitThatATargetNames(t *testing.T) {
	s := newTestCluster(t)
	for n := range 4 {
		s.addTarget(fmt.Sprint("u", n))
	}
	all := s.startAll(12)
	const limit = 2.6
	s.targets["t1"].SetHeader("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	named := time.Now()
	statuses := s.requestAll(all, 120, 8*time.Second)
	arrivals := s.targets["t1"].ArrivalsAfter(named.Add(limitSettles))
	allowed := limit*limitFactor*limitWindow.Seconds() + limitSlack
	got := mostIn(arrivals, limitWindow)
	assert.Check(t, float64(got) <= allowed, "%d requests in %v, allowed %.0f", got, limitWindow, allowed)
	assert.Check(t, float64(len(arrivals)) >= limit*6/2, "%d requests in 6 s, less than half of the limit", len(arrivals))
	assert.Check(t, statuses[200] >= 900, "%v", statuses)
}

// checkLimit checks what a target got in any limitWindow from a time on.
func (s *testCluster) checkLimit(name string, limit float64, from time.Time) {
	s.t.Helper()
	allowed := limit*limitFactor*limitWindow.Seconds() + limitSlack
	got := mostIn(s.targets[name].ArrivalsAfter(from), limitWindow)
	assert.Check(s.t, float64(got) <= allowed, "%d requests in %v, allowed %.0f", got, limitWindow, allowed)
}

// declareLarge declares that a target has far more slots than the others, so that most keys are its.
func (s *testCluster) declareLarge(name string) {
	s.store.Put("servers", name, map[string]any{"service": "svc", "address": s.targets[name].Address(), "zone": "a", "slots": 100, "state": "ready", "coldRemainingMs": 0, "version": "v1", "seq": 2})
}

// Guards against a limit that ends for all VMs with the response to a request which the target took before it
// named the limit.
func TestLateResponsesDoNotEndALimit(t *testing.T) {
	s := newTestCluster(t)
	for n := range 4 {
		s.addTarget(fmt.Sprint("u", n))
	}
	s.declareLarge("t1")
	s.routes = append(s.routes, map[string]any{"name": "long", "host": "shop.example", "pathPrefix": "/long/", "kind": "unsafe",
		"timeoutMs": 9000, "targetLatencyMs": 8000, "service": "svc", "maxAttempts": 1})
	s.configure()
	all := s.startAll(12)
	const long = 60
	s.targets["t1"].SetFault(func(r *http.Request) endpoint.Fault {
		if n, found := strings.CutPrefix(r.URL.Path, "/long/"); found {
			number, _ := strconv.Atoi(n)
			time.Sleep(3*time.Second + time.Duration(number)*4*time.Second/long)
		}
		return endpoint.None
	})
	var running sync.WaitGroup
	for n := range long {
		running.Go(func() { s.requestWithin(all[n%len(all)], fmt.Sprint("/long/", n), 9*time.Second) })
	}
	time.Sleep(500 * time.Millisecond)
	const limit = 2.6
	s.targets["t1"].SetHeader("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	named := time.Now()
	s.requestAll(all, 120, 10*time.Second)
	running.Wait()
	s.checkLimit("t1", limit, named.Add(limitStable))
}

// toldCalls counts what a target gets from the VMs that have passed on a response which names its limit.
type toldCalls struct {
	mu     sync.Mutex
	sentTo map[string]*vm // by ID of the request
	told   map[*vm]time.Time
}

// toldBefore is how long before a request a VM must have passed on such a response for the request to count.
const toldBefore = 500 * time.Millisecond

// requestAllTold is requestAll for a target whose limit may be named meanwhile.
func (s *testCluster) requestAllTold(c *toldCalls, all []*vm, perSecond int, d time.Duration) {
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		v, id := all[n%len(all)], fmt.Sprint("told", s.number.Add(1))
		c.mu.Lock()
		c.sentTo[id] = v
		c.mu.Unlock()
		running.Go(func() {
			_, header := s.requestNamed(v, id, "/read/"+id, 3*time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			if header.Get("Server-Limit") != "" && c.told[v].IsZero() {
				c.told[v] = time.Now()
			}
		})
		<-ticker.C
	}
	running.Wait()
}

// check checks what a target got in any limitWindow from a time on.
func (c *toldCalls) check(t *testing.T, target *endpoint.Endpoint, limit float64, from time.Time) {
	t.Helper()
	var arrivals []time.Time
	for _, r := range target.Runs() {
		if told := c.told[c.sentTo[r.ID]]; !told.IsZero() && r.At.After(told.Add(toldBefore)) && r.At.After(from) {
			arrivals = append(arrivals, r.At)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	allowed := limit*limitFactor*limitWindow.Seconds() + limitSlack
	got := mostIn(arrivals, limitWindow)
	assert.Check(t, float64(got) <= allowed, "%d requests in %v from VMs that were told, allowed %.0f", got, limitWindow, allowed)
}

// Guards against VMs that send to a limited target without credits after a cut, because they have passed its
// responses on but got them through another VM.
func TestLimitHeardThroughAnotherVMHolds(t *testing.T) {
	for _, mode := range []targetlinks.Mode{targetlinks.Hang, targetlinks.Reset} {
		t.Run(mode.String(), func(t *testing.T) {
			s := newTestCluster(t)
			for n := range 4 {
				s.addTarget(fmt.Sprint("u", n))
			}
			s.declareLarge("t1")
			s.targets["t1"].SetFault(func(*http.Request) endpoint.Fault { time.Sleep(700 * time.Millisecond); return endpoint.None })
			all := s.startAll(18)
			const cut, cutFor, limit = 15, 6 * time.Second, 2.6
			for _, l := range s.targetLinks[:cut] {
				l.Set(mode)
			}
			time.AfterFunc(cutFor, func() {
				for _, l := range s.targetLinks {
					l.Set(targetlinks.Open)
				}
			})
			began := time.Now()
			calls := &toldCalls{sentTo: make(map[string]*vm), told: make(map[*vm]time.Time)}
			s.requestAllTold(calls, all, 40, time.Second)
			s.targets["t1"].SetHeader("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
			s.requestAllTold(calls, all, 120, cutFor+5*time.Second-time.Since(began))
			calls.check(t, s.targets["t1"], limit, began.Add(time.Second+limitStable))
		})
	}
}
