package gateway_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// limitWindow, limitFactor and limitSlack bound what a target that names a limit may get: in any
	// limitWindow the limit times limitFactor, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettles is how long after a target has named its limit the bound applies.
	limitSettles = 2 * time.Second
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
