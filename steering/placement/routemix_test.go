package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/placement"
)

// Guards against treating a service as shared by different routes because of a route that gets next to
// no requests, and against overlooking one that does get some.
func TestServiceIsMixedOnlyByRoutesWithRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		rare  int // one request in so many is of the second route
		aim   time.Duration
		rank  int
		none  bool // no request is of a workspace
		mixed bool
	}{
		{"other aim", 10, time.Second, 0, false, true},
		{"other rank", 10, 400 * time.Millisecond, 1, false, true},
		{"few requests", 50, time.Second, 1, false, false},
		{"equal routes", 2, 400 * time.Millisecond, 0, false, false},
		{"no workspaces", 10, time.Second, 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := placement.NewBalancer("vm", "norte")
			for n := range 200 {
				r := placement.Request{Service: service, Workspace: !c.none, Route: "one", RouteAim: 400 * time.Millisecond}
				if n%c.rare == 0 {
					r.Route, r.RouteAim, r.RouteRank = "two", c.aim, c.rank
				}
				b.Choose(start.Add(time.Duration(n)*20*time.Millisecond), r)
			}
			assert.Equal(t, b.Mixed(service), c.mixed)
		})
	}
}

// Guards against requests that change their region, seconds after the first, because their VM only then goes by the owners of targets.
func TestFirstRequestsOfMixedServiceGoThroughOwners(t *testing.T) {
	for name, c := range map[string]struct {
		settledFor time.Duration
		workspace  bool
		owners     [6]bool // after each request
	}{
		"settled":               {10 * time.Second, true, [6]bool{4: true, 5: true}},
		"owners changed lately": {time.Second, true, [6]bool{}},
		"no workspaces":         {10 * time.Second, false, [6]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			b := placement.NewBalancer("vm", "norte")
			b.SetOwnersSince(start.Add(-c.settledFor))
			for n, route := range []string{"one", "one", "two", "one", "two", "one"} {
				r := placement.Request{Service: service, Workspace: c.workspace, Route: route, RouteAim: 400 * time.Millisecond}
				if route == "two" {
					r.RouteAim = time.Second
				}
				assert.Equal(t, b.HasOwners(start.Add(time.Duration(n)*20*time.Millisecond), r), c.owners[n], "after %d", n+1)
				assert.Assert(t, !b.Mixed(service), "run times are not known yet")
			}
		})
	}
}
