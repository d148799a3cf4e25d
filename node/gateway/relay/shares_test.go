package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
	"heatherlock/steering"
)

// Guards against a flood of one workspace that is let through to a service that is short, against requests of
// other workspaces that are refused with it, and against refusals that go on once nothing is short.
func TestRequestsBeyondTheShareAreRefusedWhileTheServiceIsShort(t *testing.T) {
	t.Parallel()
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 60 * time.Millisecond }) // 50 requests a second
	museum, spa := keyed("museum", "secret-1"), keyed("spa", "secret-2")
	museum.Rate, spa.Rate = 100, 100
	g.configure(2, museum, spa)
	g.shares.Configure(g.relay.Table().Workspaces)
	g.remaining.Store(1000)
	// overShare sends requests of museum, at most atOnce at a time, and a few of spa.
	overShare := func(d time.Duration, atOnce int) (refused []*http.Response) {
		var mu sync.Mutex
		var asking sync.WaitGroup
		for range atOnce {
			asking.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); {
					r := g.readWith("/read/1", "Api-Key: secret-1")
					if r.Header.Get("Heatherlock-Reason") == string(steering.ReasonOverShare) {
						mu.Lock()
						refused = append(refused, r)
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond) // refusals are quick
				}
			})
		}
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
			got := g.readWith("/read/1", "Api-Key: secret-2").Header.Get("Heatherlock-Reason")
			assert.Check(t, got != string(steering.ReasonOverShare), "a workspace within its share is refused")
		}
		asking.Wait()
		return refused
	}
	assert.Equal(t, len(overShare(2200*time.Millisecond, 1)), 0, "refused although the service is not short")
	refused := overShare(3*time.Second, 40)
	assert.Assert(t, len(refused) > 0)
	for _, r := range refused {
		assert.Equal(t, r.StatusCode, 503)
		seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 0.1 && seconds <= 2, "%v", seconds)
	}
	usage := g.shares.Usages(time.Now())
	assert.Equal(t, len(usage), 2)
	assert.Equal(t, usage[0].Refused, int64(len(refused)))
	assert.Assert(t, usage[0].Divided && usage[0].Share < usage[0].Demand, "%+v", usage[0])
	assert.Equal(t, 1000-g.remaining.Load(), int64(len(g.runs())), "credits of refused requests are kept")

	g.faults(func(int) endpoint.Fault { return endpoint.None })
	time.Sleep(1100 * time.Millisecond)
	assert.Equal(t, len(overShare(500*time.Millisecond, 1)), 0, "refused although the service is no longer short")
}

// Guards against a division without workspaces in the configuration, which would cost each request.
func TestNothingIsDividedWithoutWorkspaces(t *testing.T) {
	g := newRig(t, 1, nil)
	g.shares.Configure(g.relay.Table().Workspaces)
	g.faults(func(int) endpoint.Fault { return endpoint.Shed })
	assert.Equal(t, g.readWith("/read/1").StatusCode, 503)
	assert.Equal(t, len(g.shares.Usages(time.Now())), 0)
	assert.Assert(t, g.shares.Report(time.Now()) == nil)
}
