package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/callers"
	"heatherlock/standin/endpoint"
	"heatherlock/standin/targetlinks"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/reach"
	"heatherlock/steering/routes"
)

// pair is an entry VM that is cut off from all targets, and another one that reaches them.
type pair struct {
	*rig
	helper             *rig
	toTargets, toPeers *targetlinks.Links
	sent               *sentBytes // to the helper
}

// sentBytes records what is written to connections.
type sentBytes struct {
	mu  sync.Mutex
	all bytes.Buffer
}

type recordedConn struct {
	net.Conn
	to *sentBytes
}

// Write implements io.Writer.
func (b *sentBytes) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (c recordedConn) Write(p []byte) (int, error) {
	_, _ = c.to.Write(p) // a buffer takes everything
	return c.Conn.Write(p)
}

func newPair(t *testing.T, work time.Duration) *pair {
	t.Helper()
	p := newPairOf(t, newRig(t, 2, func(c *endpoint.Config) { c.Work = work }))
	p.cut(targetlinks.Reset)
	return p
}

// newPairOf returns a pair with a given helper. Both VMs reach the targets until cut is called.
func newPairOf(t *testing.T, helper *rig) *pair {
	t.Helper()
	p := &pair{helper: helper, toTargets: targetlinks.New(), toPeers: targetlinks.New(), sent: &sentBytes{}}
	p.rig = newRigOf(t, p.helper.targets, p.toTargets.Dial, func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := p.toPeers.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return recordedConn{raw, p.sent}, nil
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() {
		_ = callers.NewServer(p.helper.relay.PeerHandler(), p.helper.relay.PeerLimits, 100).Serve(ctx, listener)
	}() // returns when the listener is closed
	p.useHelper(listener.Addr().String(), "centro")
	return p
}

func (p *pair) useHelper(address string, region steering.Region) {
	p.relay.SetHelpers(reach.NewHelpers("vm", "centro", []reach.Helper{{VM: "helper", Region: region, Address: address}}, 0))
}

// cut cuts the links to targets and waits until the VM has noticed.
func (p *pair) cut(m targetlinks.Mode) {
	p.toTargets.Set(m)
	waitFor(p.t, func() bool {
		p.ask("GET", "/read/notice", "", 300*time.Millisecond)
		return p.relay.CutOff()
	})
}

// runsOf returns how often requests of a path ran.
func (p *pair) runsOf(path string) int {
	n := 0
	for _, r := range p.runs() {
		if strings.HasPrefix(r.Path, path) {
			n++
		}
	}
	return n
}

// Guards against a request that is not idempotent and runs twice, or is told not to have run, because the
// way through another VM broke after it was sent.
func TestUnsafeRequestRunsOnceWhenTheHelperIsLost(t *testing.T) {
	for _, c := range []struct {
		mode   targetlinks.Mode
		status int
	}{{targetlinks.Reset, http.StatusBadGateway}, {targetlinks.Hang, http.StatusGatewayTimeout}} {
		t.Run(c.mode.String(), func(t *testing.T) {
			p := newPair(t, 300*time.Millisecond)
			answered := make(chan reply, 1)
			go func() { answered <- p.ask("POST", "/buy/1", "x", 1500*time.Millisecond) }()
			waitFor(t, func() bool { return p.runsOf("/buy/") == 1 })
			p.toPeers.Set(c.mode)
			assert.Equal(t, (<-answered).status, c.status)
			time.Sleep(400 * time.Millisecond)
			assert.Equal(t, p.runsOf("/buy/"), 1)
		})
	}
}

// Guards against a VM that is cut off and refuses all requests for a second after one that its only helper answers late.
func TestHelperThatAnswersIsAskedAgain(t *testing.T) {
	p := newPair(t, 300*time.Millisecond)
	first := make(chan reply, 1)
	go func() { first <- p.ask("GET", "/read/1", "", 2*time.Second) }()
	waitFor(t, func() bool { return p.runsOf("/read/1") == 1 })
	p.toPeers.Set(targetlinks.Hang)
	assert.Assert(t, p.ask("GET", "/read/2", "", 200*time.Millisecond).status != http.StatusOK)
	p.toPeers.Set(targetlinks.Open)
	assert.Equal(t, (<-first).status, http.StatusOK)
	assert.Equal(t, p.ask("GET", "/read/3", "", 2*time.Second).status, http.StatusOK)
}

// Guards against a request that is refused although another VM can be reached a moment later, and against a
// refusal that is untrue: nothing was sent.
func TestRequestIsNotRunWhenNoHelperCanBeReached(t *testing.T) {
	p := newPair(t, work)
	p.toPeers.Set(targetlinks.Reset)
	got := p.ask("POST", "/buy/1", "x", 2*time.Second)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.header.Get("Retry-After") != "")
	assert.Check(t, got.took < 300*time.Millisecond, "held for %v", got.took)
	assert.Equal(t, p.runsOf("/buy/"), 0)
}

// Guards against a request that goes from VM to VM because the second one is cut off as well.
func TestRequestIsPassedOnOnce(t *testing.T) {
	p := newPair(t, work)
	for _, e := range p.targets {
		e.Stop()
	}
	waitFor(t, func() bool { p.helper.ask("GET", "/read/1", "", 300*time.Millisecond); return p.helper.relay.CutOff() })
	got := p.ask("GET", "/read/1", "", 2*time.Second)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Check(t, got.took < 300*time.Millisecond, "held for %v", got.took)
}

// Guards against more attempts at targets than the route allows, counted over both VMs.
func TestAttemptsCountOverBothVMs(t *testing.T) {
	p := newPair(t, work)
	p.faults(func(int) endpoint.Fault { return endpoint.Fail })
	assert.Equal(t, p.ask("GET", "/read/attempts", "", 2*time.Second).status, http.StatusInternalServerError)
	assert.Check(t, p.runsOf("/read/attempts") <= 3, "%d runs", p.runsOf("/read/attempts"))
}

// Guards against an API key that leaves the VM where the caller connected, and against a workspace that a
// caller names itself.
func TestAPIKeyIsNotPassedOn(t *testing.T) {
	p := newPair(t, work)
	const key = "secret-key-of-the-caller"
	workspace := &identity.Workspace{Name: "baths", Keys: []identity.Digest{identity.DigestOf(key)}}
	for _, g := range []*rig{p.rig, p.helper} {
		old := g.relay.Table()
		g.relay.SetTable(routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50}}, old.Limits, workspace))
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/read/secret", nil)
	assert.NilError(t, err)
	r.Host = "shop.example"
	r.Header = http.Header{"X-Request-Id": {"secret-1"}, "X-Deadline-Ms": {"2000"}, "Api-Key": {key}, "X-Tenant": {"other"}, "Heatherlock-Hop-Workspace": {"other"}}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	for name := range response.Header {
		assert.Check(t, !strings.HasPrefix(name, "Heatherlock-Hop-"), "the caller gets %s", name)
	}
	p.sent.mu.Lock()
	assert.Check(t, p.sent.all.Len() > 0 && !bytes.Contains(p.sent.all.Bytes(), []byte(key)))
	p.sent.mu.Unlock()
	for _, run := range p.runs() {
		if run.ID != "secret-1" {
			continue
		}
		assert.DeepEqual(t, run.Header["X-Tenant"], []string{"baths"})
		for name := range run.Header {
			assert.Check(t, name != "Api-Key" && !strings.HasPrefix(name, "Heatherlock-"), "the target gets %s", name)
		}
	}
}

// Guards against callers that are believed what only another VM may say.
func TestCallersCannotSendWhatVMsSay(t *testing.T) {
	g := newRig(t, 1, nil)
	r, err := http.NewRequest(http.MethodGet, "http://"+g.address+"/read/1", nil)
	assert.NilError(t, err)
	r.Host = "shop.example"
	r.Header = http.Header{"X-Request-Id": {"1"}, "Heatherlock-Hop-From": {"vm-2"}, "Heatherlock-Hop-Region": {"norte"}, "Heatherlock-Hop-Config": {"99"}, "Heatherlock-Hop-Attempts": {"1"}}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("Heatherlock-Hop-Verdict"), "")
}

// Guards against a request that is handled by an older configuration than the VM of its caller has in force.
func TestHelperWithAnOlderConfigurationRefuses(t *testing.T) {
	p := newPair(t, work)
	old := p.relay.Table()
	p.relay.SetTable(routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50}}, old.Limits))
	got := p.ask("POST", "/buy/1", "x", 2*time.Second)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Heatherlock-Reason"), string(steering.ReasonConfigBehind))
	assert.Equal(t, p.runsOf("/buy/"), 0)
}

// Guards against a body that goes to a VM in a region where the request may not run.
func TestRequestWithHomesIsPassedOnOnlyThere(t *testing.T) {
	p := newPair(t, work)
	old := p.relay.Table()
	home := *old.Routes[1]
	home.Homes = []steering.Region{"centro"}
	p.relay.SetTable(routes.NewTable(2, []*routes.Route{&home}, []*routes.Service{{Name: service, MaxConnections: 50}}, old.Limits))
	p.useHelper("127.0.0.1:1", "norte")
	before := p.sent.all.Len()
	assert.Equal(t, p.ask("POST", "/buy/1", "x", time.Second).status, http.StatusServiceUnavailable)
	assert.Equal(t, p.sent.all.Len(), before)
}

// Guards against bodies that are changed, cut or held in memory on the way through two VMs.
func TestUploadsPassThroughBothVMs(t *testing.T) {
	p := newPair(t, work)
	body := strings.Repeat("0123456789", 90_000)
	got := p.ask("POST", "/upload/1", body, 2*time.Second)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.Contains(got.body, p.targets[0].Body()) || strings.Contains(got.body, p.targets[1].Body()))
	for _, run := range p.runs() {
		if strings.HasPrefix(run.Path, "/upload/") {
			assert.Check(t, run.Body == body, "%d bytes", len(run.Body))
		}
	}
	assert.Equal(t, p.runsOf("/upload/"), 1)
}

// Guards against work that goes on at a target behind two VMs after the caller has left.
func TestCallerThatLeavesEndsTheRunBehindTheHelper(t *testing.T) {
	p := newPair(t, 2*time.Second)
	conn, err := net.Dial("tcp4", p.address)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "GET /read/left HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: left-1\r\nX-Deadline-Ms: 3000\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return p.runsOf("/read/left") == 1 })
	assert.NilError(t, conn.Close())
	waitFor(t, func() bool {
		for _, run := range p.runs() {
			if run.ID == "left-1" && run.Left {
				return true
			}
		}
		return false
	})
}

// Guards against targets that stay ejected, and requests that stay held back, for what a VM saw while its
// own links were cut.
func TestNothingIsLearnedOfTargetsDuringACut(t *testing.T) {
	p := newPair(t, work)
	for range 3 {
		assert.Equal(t, p.ask("GET", "/read/same", "", time.Second).status, http.StatusOK)
		p.toTargets.Set(targetlinks.Open)
		waitFor(t, func() bool { return !p.relay.CutOff() })
		before := p.sent.all.Len()
		assert.Equal(t, p.ask("GET", "/read/same", "", time.Second).status, http.StatusOK)
		assert.Equal(t, p.sent.all.Len(), before, "passed on although targets are reached")
		p.cut(targetlinks.Reset)
	}
}

// Guards against requests to a target that has told one of the two VMs that it leaves.
func TestLeavingsAreKnownToBothVMs(t *testing.T) {
	for _, told := range []string{"the VM that is cut off", "the helper"} {
		t.Run(told, func(t *testing.T) {
			p := newPair(t, work)
			p.targets[0].SetHeader("Server-Leaving", "true")
			teller := p.rig
			if told == "the helper" {
				teller = p.helper
			} else {
				p.toTargets.Set(targetlinks.Open)
				waitFor(t, func() bool { return !p.relay.CutOff() })
			}
			for n := 0; p.targets[0].Arrivals() == 0 || n < 20; n++ {
				teller.askFor(fmt.Sprint("tell", n))
			}
			p.targets[0].SetHeader("Server-Leaving", "")
			p.cut(targetlinks.Reset)
			before := p.targets[0].Arrivals()
			for n := range 20 {
				assert.Equal(t, p.askFor(fmt.Sprint("after", n)).status, http.StatusOK)
			}
			p.toTargets.Set(targetlinks.Open)
			waitFor(t, func() bool { return !p.relay.CutOff() })
			for n := range 20 {
				assert.Equal(t, p.askFor(fmt.Sprint("own", n)).status, http.StatusOK)
			}
			assert.Equal(t, p.targets[0].Arrivals(), before)
		})
	}
}

// Guards against requests to a target that has asked one of the two VMs for rest.
func TestRestsAreKnownToBothVMs(t *testing.T) {
	p := newPair(t, work)
	p.targets[0].SetHeader("Retry-After", "4")
	p.targets[0].SetFault(func(*http.Request) endpoint.Fault { return endpoint.Shed })
	for n := 0; p.targets[0].Arrivals() == 0; n++ {
		p.helper.askFor(fmt.Sprint("tell", n))
	}
	asked := time.Now()
	p.targets[0].SetHeader("Retry-After", "")
	p.targets[0].SetFault(nil)
	assert.Equal(t, p.askFor("passed on").status, http.StatusOK)
	p.toTargets.Set(targetlinks.Open)
	waitFor(t, func() bool { return !p.relay.CutOff() })
	before := p.targets[0].Arrivals()
	for n := range 20 {
		assert.Equal(t, p.askFor(fmt.Sprint("own", n)).status, http.StatusOK)
	}
	assert.Assert(t, time.Since(asked) < 4*time.Second)
	assert.Equal(t, p.targets[0].Arrivals(), before)
}

// Guards against requests that are refused for a second because the only helper got a new configuration
// moments later than the VM that is cut off.
func TestHelperWaitsForTheConfiguration(t *testing.T) {
	p := newPair(t, work)
	old := p.relay.Table()
	newer := func() *routes.Table {
		return routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50}}, old.Limits)
	}
	p.relay.SetTable(newer())
	time.AfterFunc(100*time.Millisecond, func() { p.helper.relay.SetTable(newer()) })
	for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
		got := p.ask("POST", "/buy/1", "x", 2*time.Second)
		assert.Equal(t, got.status, http.StatusOK, "%s", got.header.Get("Heatherlock-Reason"))
	}
}

// Guards against a request that a helper judges by older limits than the VM that took it from its caller.
func TestHelperTakesWhatNewerLimitsAllow(t *testing.T) {
	p := newPair(t, work)
	old := p.relay.Table()
	newer := func() *routes.Table {
		return routes.NewTable(2, old.Routes, []*routes.Service{{Name: service, MaxConnections: 50}},
			routes.Limits{HeaderBytes: 40 << 10, BodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second})
	}
	for n, ask := range []func() reply{
		func() reply { return p.askWithKey(strings.Repeat("k", 20<<10), "GET", "/read/1", "", 2*time.Second) },
		func() reply { return p.ask("POST", "/upload/1", strings.Repeat("0123456789", 200_000), 2*time.Second) },
	} {
		p.helper.relay.SetTable(old)
		p.relay.SetTable(newer())
		time.AfterFunc(100*time.Millisecond, func() { p.helper.relay.SetTable(newer()) })
		got := ask()
		assert.Equal(t, got.status, http.StatusOK, "%d: %s, %v", n, got.header.Get("Heatherlock-Reason"), got.err)
	}
}
