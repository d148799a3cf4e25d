package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

const (
	// restGrace is how long after a target has asked for rest requests may still reach it, and
	// maxInRest how many may in the rest of that time.
	restGrace = 500 * time.Millisecond
	maxInRest = 2
)

// Guards against requests to targets that asked this VM for rest: probes of ejected targets, and a
// last resort that ignores the rest because most targets are out.
func TestTargetsThatAskForRestGetNoRequests(t *testing.T) {
	t.Parallel()
	const rest = 3 * time.Second
	g := newRig(t, 5, nil)
	for _, e := range g.targets[:3] {
		e.SetHeader("Retry-After", "3")
		e.SetFault(func(*http.Request) endpoint.Fault { return endpoint.Shed })
	}
	began := time.Now()
	served := 0
	for n := 0; time.Since(began) < rest-100*time.Millisecond; n++ {
		if g.askFor(fmt.Sprint("k", n)).status == 200 {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	for n, e := range g.targets[:3] {
		arrivals := e.ArrivalsAfter(began)
		assert.Assert(t, len(arrivals) > 0)
		late := len(e.ArrivalsAfter(arrivals[0].Add(restGrace)))
		assert.Check(t, late <= maxInRest, "%d requests reach target %d in its rest", late, n)
	}
	assert.Check(t, served > 60, "%d served", served)
}
