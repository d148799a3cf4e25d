package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

func keyed(name string, keys ...string) *identity.Workspace {
	w := &identity.Workspace{Name: steering.Workspace(name)}
	for _, key := range keys {
		w.Keys = append(w.Keys, identity.DigestOf(key))
	}
	return w
}

// configure puts a configuration in force that has the given workspaces, and a public route after
// the existing ones.
func (g *rig) configure(version uint64, workspaces ...*identity.Workspace) {
	old := g.relay.Table()
	public := &routes.Route{Name: "public", Host: "shop.example", Prefix: "/public/", Timeout: time.Second, MaxAttempts: 2,
		Public: true, Parts: []routes.WeightedService{{Service: service, Weight: 1}}}
	g.relay.SetTable(routes.NewTable(version, append(old.Routes[:3:3], public), []*routes.Service{{Name: service, MaxConnections: 50}}, old.Limits, workspaces...))
}

// readWith sends a read with additional header lines.
func (g *rig) readWith(path string, lines ...string) *http.Response {
	g.t.Helper()
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: as-%d\r\nX-Deadline-Ms: 2000\r\n", path, g.number.Add(1))
	for _, line := range lines {
		head += line + "\r\n"
	}
	return g.raw(head+"\r\n", 1)[0]
}

func TestTargetReceivesTheWorkspaceAndNoKey(t *testing.T) {
	g := newRig(t, 2, nil)
	g.configure(2, keyed("museum", "secret-1", "secret-2"), keyed("spa", "secret-3"))
	for _, lines := range [][]string{
		{"Api-Key: secret-2"},
		{"api-key: secret-2", "X-Tenant: spa"},
		{"API-KEY: secret-2", "x-tenant: spa", "X_Tenant: spa", "Api_Key: secret-3"},
		{"Api-Key: secret-2", "Connection: X-Tenant, Api-Key"},
	} {
		assert.Equal(t, g.readWith("/read/1", lines...).StatusCode, 200, "%v", lines)
	}
	for _, run := range g.runs() {
		assert.DeepEqual(t, run.Header["X-Tenant"], []string{"museum"})
		assert.Assert(t, !strings.Contains(fmt.Sprint(run.Header), "secret"), "%v", run.Header)
		for name := range run.Header {
			assert.Assert(t, !strings.Contains(name, "_"), "%s", name)
		}
	}
	assert.Equal(t, len(g.runs()), 4)
}

func TestRequestsWithoutAKnownKeyAreNotRun(t *testing.T) {
	g := newRig(t, 1, nil)
	g.configure(2, keyed("museum", "secret-1"))
	for reason, lines := range map[steering.Reason][]string{
		steering.ReasonAPIKeyMissing:   nil,
		steering.ReasonAPIKeyUnknown:   {"Api-Key: other"},
		steering.ReasonAPIKeyRepeated:  {"Api-Key: secret-1", "Api-Key: secret-1"},
		steering.ReasonAPIKeyMalformed: {"Api-Key: Bearer secret-1"},
	} {
		got := g.readWith("/read/1", lines...)
		assert.Equal(t, got.StatusCode, 401, reason)
		assert.Equal(t, got.Header.Get("Heatherlock-Reason"), string(reason))
	}
	assert.Equal(t, len(g.runs()), 0)
	assert.Equal(t, g.readWith("/public/1", "X-Tenant: museum").StatusCode, 200)
	assert.Equal(t, len(g.runs()[0].Header["X-Tenant"]), 0)
}

// Guards against a revoked key that still works on a connection opened earlier.
func TestKeyIsCheckedAtEachRequestOfAConnection(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = time.Millisecond })
	g.configure(2, keyed("museum", "secret-1"), keyed("spa", "secret-3"))
	request := func(n int, key string) string {
		return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c-%d\r\nApi-Key: %s\r\n\r\n", n, key)
	}
	responses := g.raw(request(1, "secret-1")+request(2, "wrong")+request(3, "secret-3"), 3)
	for n, want := range []int{200, 401, 200} {
		assert.Equal(t, responses[n].StatusCode, want)
	}
	g.configure(3, keyed("museum"), keyed("spa", "secret-3"))
	assert.Equal(t, g.readWith("/read/1", "Api-Key: secret-1").StatusCode, 401)
}

// Guards against a 401 for a key that is valid in a newer configuration which has not arrived yet.
func TestUnknownKeyWaitsForAPendingConfiguration(t *testing.T) {
	g := newRig(t, 1, nil)
	g.configure(2, keyed("museum", "secret-1"))
	g.behind.Store(true)
	time.AfterFunc(150*time.Millisecond, func() {
		g.configure(3, keyed("museum", "secret-1", "added"))
		g.behind.Store(false)
	})
	assert.Equal(t, g.readWith("/read/1", "Api-Key: added").StatusCode, 200)
	g.behind.Store(true)
	got := g.readWith("/read/1", "Api-Key: never")
	assert.Equal(t, got.StatusCode, 503)
	assert.Equal(t, got.Header.Get("Heatherlock-Reason"), string(steering.ReasonConfigBehind))
	assert.Equal(t, len(g.runs()), 1)
}

func TestHomeRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	g := newRig(t, 1, nil) // its target is in region centro
	norte, both := keyed("norte", "k-norte"), keyed("both", "k-both")
	norte.Homes, both.Homes = []steering.Region{"norte"}, []steering.Region{"norte", "centro"}
	old := g.relay.Table()
	old.Routes[0].Homes = []steering.Region{"centro"}
	g.configure(2, norte, both)
	assert.Equal(t, g.readWith("/read/1", "Api-Key: k-both").StatusCode, 200)
	got := g.readWith("/read/1", "Api-Key: k-norte")
	assert.Equal(t, got.StatusCode, 503)
	assert.Equal(t, got.Header.Get("Heatherlock-Reason"), string(steering.ReasonNoCommonHomeRegion))
	assert.Equal(t, len(g.runs()), 1)
}

// Guards against running requests beyond a workspace's allowance, and against a refusal without a
// Retry-After.
func TestRequestBeyondTheAllowanceIsRefusedAtOnce(t *testing.T) {
	g := newRig(t, 1, nil)
	w := keyed("museum", "secret-1")
	w.Rate = 1
	g.configure(2, w)
	g.remaining.Store(1)
	assert.Equal(t, g.readWith("/read/1", "Api-Key: secret-1").StatusCode, 200)
	got := g.readWith("/read/1", "Api-Key: secret-1")
	assert.Equal(t, got.StatusCode, 429)
	assert.Equal(t, got.Header.Get("Retry-After"), "0.7")
	assert.Equal(t, got.Header.Get("Heatherlock-Reason"), string(steering.ReasonOverAllowance))
	assert.Equal(t, len(g.runs()), 1)
}

// Guards against charging the allowance for requests that did not run, and against additional runs
// that are not counted.
func TestAllowanceCountsRuns(t *testing.T) {
	g := newRig(t, 2, nil)
	w := keyed("museum", "secret-1")
	w.Rate = 1
	g.configure(2, w)
	g.remaining.Store(10)
	g.faults(func(int) endpoint.Fault { return endpoint.Shed })
	assert.Equal(t, g.readWith("/read/1", "Api-Key: secret-1").StatusCode, 503)
	assert.Equal(t, g.remaining.Load(), int64(10))
	g.faults(func(n int) endpoint.Fault {
		if n == 1 {
			return endpoint.Crash
		}
		return endpoint.None
	})
	assert.Equal(t, g.readWith("/read/1", "Api-Key: secret-1").StatusCode, 200)
	assert.Equal(t, len(g.runs()), 2)
	assert.Equal(t, g.remaining.Load(), int64(8))
}
