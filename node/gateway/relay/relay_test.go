package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/standin/endpoint"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

// rig is one entry VM's callers' side before real targets on loopback.
type rig struct {
	t       *testing.T
	relay   *relay.Relay
	server  *callers.Server
	address string
	targets []*endpoint.Endpoint
	number  atomic.Int64
}

const (
	service = steering.Service("tickets")
	work    = 30 * time.Millisecond
)

func newRig(t *testing.T, targets int, change func(*endpoint.Config)) *rig {
	t.Helper()
	g := &rig{t: t}
	balancer := placement.NewBalancer("vm", "centro")
	balancer.SetPeers(map[steering.Region][]steering.VM{"centro": {"vm"}})
	var placed []placement.Target
	for n := range targets {
		cfg := endpoint.Config{ID: fmt.Sprint("target-", n), Slots: 3, Queue: 9, Work: work, WarmShare: 1, Keeps: 20}
		if change != nil {
			change(&cfg)
		}
		e, err := endpoint.Start(cfg)
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		g.targets = append(g.targets, e)
		placed = append(placed, placement.Target{Name: steering.Target(cfg.ID), Service: service, Address: e.Address(), Zone: "a", Region: "centro", Slots: cfg.Slots})
	}
	balancer.SetTargets(placed)
	g.relay = relay.New(relay.Config{Region: "centro", Pool: upstream.NewPool(upstream.Dial, platform.RequestIDOf), Balancer: balancer,
		Retry: retry.NewSharedBudget(retry.SharedBudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}),
		Log:   log.NewNopLogger(), Members: func() int { return 1 }})
	route := func(name string, kind routes.Kind) *routes.Route {
		return &routes.Route{Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second,
			Aim: 400 * time.Millisecond, MaxAttempts: 3, KeyAffinity: true, Parts: []routes.Part{{Service: service, Weight: 1}}}
	}
	g.relay.SetTable(routes.NewTable(1, []*routes.Route{route("read", routes.Idempotent), route("buy", routes.Once), route("upload", routes.Upload)},
		[]*routes.Service{{Name: service, MaxConnections: 50}},
		routes.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 2 * time.Second}))
	g.relay.SetReady()
	g.listen()
	return g
}

func (g *rig) listen() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(g.t, err)
	g.server = callers.NewServer(g.relay, g.relay.Limits, 100)
	ctx, cancel := context.WithCancel(context.Background())
	g.t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = g.server.Serve(ctx, listener) }() // ends with the listener
	g.address = listener.Addr().String()
}

// faults sets how all targets treat requests.
func (g *rig) faults(f func(n int) endpoint.Fault) {
	var n atomic.Int64
	for _, e := range g.targets {
		e.SetFault(func(*http.Request) endpoint.Fault { return f(int(n.Add(1))) })
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
	took   time.Duration
}

// ask sends a request on a connection of its own.
func (g *rig) ask(method, path, body string, deadline time.Duration) reply {
	g.t.Helper()
	r, err := http.NewRequest(method, "http://"+g.address+path, strings.NewReader(body))
	assert.NilError(g.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("req-", g.number.Add(1)))
	r.Header.Set("X-Affinity-Key", "17")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	began := time.Now()
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(r)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(raw), err, time.Since(began)}
}

func (g *rig) runs() []endpoint.Run {
	var all []endpoint.Run
	for _, e := range g.targets {
		all = append(all, e.Runs()...)
	}
	return all
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	g := newRig(t, 1, nil)
	got := g.ask("POST", "/buy/a%2Fb?x=1&y=%20", "paid", 2*time.Second)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, g.targets[0].Body())
	assert.Equal(t, got.header.Get("X-Response-Signature"), "proof-target-0")
	run := g.runs()[0]
	assert.Equal(t, run.Path, "/buy/a%2Fb?x=1&y=%20")
	assert.Equal(t, run.Body, "paid")
	assert.Equal(t, g.ask("GET", "/nowhere/", "", time.Second).status, 404)
}

// Symptom: a purchase is charged twice. Sequence: the target runs it and its
// answer is lost, spoiled, cut or crossed; the entry VM sends it to the next
// target. Cause: taking a lost answer for a request that did not run. What comes
// back must not promise that it has not run either.
func TestPurchaseRunsOnceWhateverBecomesOfItsAnswer(t *testing.T) {
	for name, fault := range map[string]endpoint.Fault{"crash": endpoint.Crash, "lost": endpoint.LoseAnswer, "cut": endpoint.Cut,
		"garbage": endpoint.Garbage, "unproven 503": endpoint.Unproven, "unframed reset": endpoint.UnframedReset, "dark": endpoint.Dark} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 3, nil)
			g.faults(func(int) endpoint.Fault { return fault })
			got := g.ask("POST", "/buy/1", "paid", 2*time.Second)
			assert.Equal(t, len(g.runs()), 1)
			assert.Assert(t, got.status == 502 || got.status == 504, "status %d", got.status)
			assert.Assert(t, got.took < 1500*time.Millisecond, "held %v", got.took)
		})
	}
}

// Symptom: a read fails though two targets are well. Sequence: the first target
// spoils its answer in one of many ways. Cause: passing the failure on while the
// request may be repeated.
func TestReadIsRepeatedElsewhere(t *testing.T) {
	for name, fault := range map[string]endpoint.Fault{"crash": endpoint.Crash, "lost": endpoint.LoseAnswer, "cut": endpoint.Cut,
		"garbage": endpoint.Garbage, "shed": endpoint.Shed, "fail": endpoint.Fail, "unframed reset": endpoint.UnframedReset, "dark": endpoint.Dark} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 3, nil)
			g.faults(func(n int) endpoint.Fault {
				if n == 1 {
					return fault
				}
				return endpoint.None
			})
			got := g.ask("GET", "/read/1", "", 2*time.Second)
			assert.Equal(t, got.status, 200)
			assert.NilError(t, got.err)
			assert.Assert(t, strings.HasPrefix(got.body, "the whole answer"), got.body)
		})
	}
}

// Symptom: a purchase is refused though another target had room. Sequence: the
// first target proves that it did not run it. Cause: treating that like a lost
// answer.
func TestPurchaseGoesOnAfterAProofThatItDidNotRun(t *testing.T) {
	g := newRig(t, 3, nil)
	g.faults(func(n int) endpoint.Fault {
		if n == 1 {
			return endpoint.Shed
		}
		return endpoint.None
	})
	assert.Equal(t, g.ask("POST", "/buy/1", "paid", 2*time.Second).status, 200)
	assert.Equal(t, len(g.runs()), 1)
}

// Symptom: a request runs at a target of another service. Sequence: a target
// ends, its address goes to another. Cause: addressing a place and not a start
// of a target. The other refuses with 421, and that proves that nothing ran.
func TestTargetThatTookOverAnAddressGetsNothing(t *testing.T) {
	g := newRig(t, 2, nil)
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
		b.SetTargets([]placement.Target{
			{Name: "gone", Service: service, Address: g.targets[0].Address(), Region: "centro", Slots: 3},
			{Name: "target-1", Service: service, Address: g.targets[1].Address(), Region: "centro", Slots: 3}})
	})
	for range 20 {
		assert.Equal(t, g.ask("POST", "/buy/1", "paid", 2*time.Second).status, 200)
	}
	assert.Equal(t, len(g.targets[0].Runs()), 0)
}

// Symptom: callers wait until their deadline and then hear that nothing ran.
// Sequence: more is asked than the slots bear. Cause: queueing what cannot be in
// time. It has to be refused at once, truly not run, and with a time to return.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work, c.Slots = 200*time.Millisecond, 1 })
	g.ask("POST", "/buy/0", "", 2*time.Second) // teaches the service time
	const asked = 12
	replies := make(chan reply, asked)
	for range asked {
		go func() { replies <- g.ask("POST", "/buy/1", "paid", 2*time.Second) }()
	}
	served, refused := 0, 0
	for range asked {
		got := <-replies
		switch got.status {
		case 200:
			served++
		case 503:
			refused++
			assert.Assert(t, got.took < 150*time.Millisecond, "refused after %v", got.took)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		default:
			t.Errorf("status %d", got.status)
		}
	}
	assert.Assert(t, refused > 0 && served > 0, "%d served, %d refused", served, refused)
	assert.Equal(t, len(g.runs()), served+1)
}

// Symptom: targets work for callers that have left. Sequence: a caller sends a
// read, and another behind it, and leaves. Cause: reading no further while the
// first runs, so that the close is not seen.
func TestCallerThatLeavesFreesTheTarget(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 700 * time.Millisecond })
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	for n := range 2 {
		_, err = fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 5000\r\n\r\n", n, n)
		assert.NilError(t, err)
	}
	waitFor(t, func() bool { return len(g.runs()) == 2 })
	assert.NilError(t, conn.Close())
	waitFor(t, func() bool {
		runs := g.runs()
		return runs[0].Left && runs[1].Left
	})
	assert.Assert(t, time.Since(g.runs()[0].At) < 500*time.Millisecond)
}

// Symptom: a purchase is cut half way and its outcome unknown. Sequence: the
// caller leaves while the target runs it. Cause: ending the target's work with
// the caller's connection.
func TestPurchaseIsNotCutWhenItsCallerLeaves(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 300 * time.Millisecond })
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return len(g.runs()) == 1 })
	assert.NilError(t, conn.Close())
	time.Sleep(400 * time.Millisecond)
	assert.Assert(t, !g.runs()[0].Left)
}

// Symptom: a caller gets another caller's answer. Sequence: a target sends a
// second answer, which waits in the connection for the next request. Cause: not
// comparing the request's id.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := newRig(t, 1, nil)
	g.faults(func(int) endpoint.Fault { return endpoint.Extra })
	for range 3 {
		got := g.ask("POST", "/buy/1", "paid", 2*time.Second)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, g.targets[0].Body())
	}
}

// Symptom: a target takes the rest of an upload for a new request. Sequence: it
// answers before it has read the body, and keeps the connection. Cause: using
// that connection for the next request.
func TestConnectionIsNotUsedAfterAnEarlyAnswer(t *testing.T) {
	g := newRig(t, 1, nil)
	g.faults(func(int) endpoint.Fault { return endpoint.Early })
	body := strings.Repeat("GET /smuggled HTTP/1.1\r\n\r\n", 15000)
	assert.Equal(t, g.ask("POST", "/upload/1", body, 2*time.Second).status, 400)
	g.faults(func(int) endpoint.Fault { return endpoint.None })
	for range 3 {
		assert.Equal(t, g.ask("GET", "/read/1", "", 2*time.Second).status, 200)
	}
	assert.Equal(t, len(g.runs()), 3)
	for _, run := range g.runs() {
		assert.Equal(t, run.Path, "/read/1")
	}
}

// Symptom: an upload arrives damaged. Sequence: it is larger than what is held
// whole, or is sent in chunks. Cause: the beginning and the rest are joined
// wrongly.
func TestUploadsOfAllSizesArriveWhole(t *testing.T) {
	g := newRig(t, 1, nil)
	for _, size := range []int{0, 1, 4096, 512<<10 - 1, 512 << 10, 512<<10 + 1, 900 << 10} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		assert.Equal(t, g.ask("POST", "/upload/1", body, 5*time.Second).status, 200, "size %d", size)
		runs := g.runs()
		assert.Assert(t, runs[len(runs)-1].Body == body, "size %d", size)
	}
	assert.Equal(t, g.ask("POST", "/upload/1", strings.Repeat("x", 1<<20+1), time.Second).status, 413)
	chunked := "POST /upload/2 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"
	assert.Equal(t, g.raw(chunked, 1)[0].StatusCode, 200)
	runs := g.runs()
	assert.Equal(t, runs[len(runs)-1].Body, "abcdefgh")
}

// Symptom: a target stores the first part of an upload as if it were all.
// Sequence: a body without a stated length is larger than the limit. Cause: ending
// it at the limit. The target must never see it end.
func TestBodyOverTheLimitIsNotPassedOnAsWhole(t *testing.T) {
	g := newRig(t, 1, nil)
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	text := "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: big\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 20) + "0\r\n\r\n"
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // the entry VM may stop reading
	answer := readAnswers(t, conn, 1)[0]
	assert.Assert(t, answer.StatusCode >= 400, "status %d", answer.StatusCode)
	assert.Equal(t, len(g.runs()), 0)
}

// raw sends bytes on one connection and reads answers.
func (g *rig) raw(text string, answers int) []*http.Response {
	g.t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(g.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(g.t, err)
	return readAnswers(g.t, conn, answers)
}

func readAnswers(t *testing.T, conn net.Conn, answers int) []*http.Response {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	in := bufio.NewReader(conn)
	var all []*http.Response
	for range answers {
		response, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		all = append(all, response)
	}
	return all
}

// Symptom: a caller that sends requests ahead gets the answers crossed.
// Sequence: the second is ready before the first. Cause: writing in the order of
// the answers.
func TestAnswersComeInTheOrderOfTheRequests(t *testing.T) {
	g := newRig(t, 2, nil)
	for _, e := range g.targets {
		e.SetFault(func(r *http.Request) endpoint.Fault {
			if r.URL.Path == "/read/0" {
				time.Sleep(100 * time.Millisecond)
			}
			return endpoint.None
		})
	}
	text := ""
	for n := range 5 {
		text += fmt.Sprintf("GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\nX-Affinity-Key: %d\r\n\r\n", n, n, n)
	}
	for n, answer := range g.raw(text, 5) {
		assert.Equal(t, answer.Header.Get("X-Request-Id"), fmt.Sprint("p", n))
	}
}

// Symptom: callers cannot tell what was wrong with what they sent. Each bad
// request gets its own status, and none reaches a target.
func TestBadRequestsGetTheirStatus(t *testing.T) {
	g := newRig(t, 1, nil)
	for status, text := range map[int]string{
		400: "GET /read/1 HTTP/1.1\r\nHost: a\r\nHost : b\r\n\r\n",
		431: "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Long: " + strings.Repeat("x", 9<<10) + "\r\n\r\n",
		408: "GET /read/1 HTTP/1.1\r\nHost: shop",
		413: "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999\r\n\r\n",
	} {
		assert.Equal(t, g.raw(text, 1)[0].StatusCode, status)
	}
	assert.Equal(t, len(g.runs()), 0)
}

// Symptom: while an entry VM leaves, a request sent behind the last answer runs
// twice. Sequence: the answer says that the connection ends, the caller sends
// what came behind it elsewhere. Cause: running what was read behind that
// answer.
func TestNothingRunsBehindAnAnswerThatEndsTheConnection(t *testing.T) {
	g := newRig(t, 1, nil)
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(t, err)
	defer conn.Close()
	send := func(n int) {
		_, _ = fmt.Fprintf(conn, "POST /buy/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: l%d\r\nContent-Length: 0\r\n\r\n", n, n) // the entry VM may have closed
	}
	send(0)
	assert.Equal(t, readAnswers(t, conn, 1)[0].Close, false)
	g.server.Leave()
	send(1)
	assert.Equal(t, readAnswers(t, conn, 1)[0].Close, true)
	send(2)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(g.runs()), 2)
}

// Symptom: a request of a caller with seconds left is answered 404 by an entry
// VM that has just started. Cause: answering before a configuration is known.
func TestBeforeAConfigurationIsKnownNothingIsDenied(t *testing.T) {
	g := &rig{t: t, relay: relay.New(relay.Config{Region: "centro", Log: log.NewNopLogger()})}
	g.listen()
	got := g.ask("GET", "/read/1", "", time.Second)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Symptom: an operator's timeout of a second lets callers wait for three.
// Sequence: the target is slower than the route allows. Cause: waiting for the
// caller's deadline.
func TestRouteTimeoutIsFinal(t *testing.T) {
	g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 3 * time.Second })
	for _, path := range []string{"/read/1", "/buy/1"} {
		got := g.ask("GET", path, "", 5*time.Second)
		assert.Equal(t, got.status, 504)
		assert.Assert(t, got.took > 900*time.Millisecond && got.took < 1400*time.Millisecond, "%s after %v", path, got.took)
	}
}

// Symptom: a configuration goes back after a slow peer has told an older one.
func TestOlderConfigurationIsNotTaken(t *testing.T) {
	g := newRig(t, 1, nil)
	assert.Assert(t, !g.relay.SetTable(routes.NewTable(1, nil, nil, routes.Limits{})))
	assert.Assert(t, g.relay.SetTable(routes.NewTable(3, nil, nil, routes.Limits{})))
	assert.Assert(t, !g.relay.SetTable(routes.NewTable(2, nil, nil, routes.Limits{})))
	assert.Equal(t, g.relay.Table().Version, uint64(3))
}

// Symptom: thousands of new connections a day. Cause: a connection a request.
func TestConnectionsAreKept(t *testing.T) {
	g := newRig(t, 1, nil)
	for range 20 {
		assert.Equal(t, g.ask("GET", "/read/1", "", time.Second).status, 200)
	}
	assert.Equal(t, g.targets[0].Connections(), 1)
}

// Symptom: targets go down one after the other. Sequence: one request crashes
// each target that begins to run it, and its caller sends it again. Cause:
// passing it on each time. After two dead targets it is refused, here and on an
// entry VM that was told; other requests of the same route are served.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	g := newRig(t, 6, nil)
	var dead atomic.Int64
	for _, e := range g.targets {
		e.SetFault(func(r *http.Request) endpoint.Fault {
			if r.URL.Path != "/buy/culprit" {
				return endpoint.None
			}
			dead.Add(1)
			return endpoint.Die
		})
	}
	refused := 0
	const copies = 10
	for range copies {
		if g.ask("POST", "/buy/culprit", "x", time.Second).status == 503 {
			refused++
		}
		for n := range 4 { // others find out that the target is dead
			g.ask("GET", fmt.Sprint("/read/", n), "", time.Second)
		}
	}
	assert.Assert(t, dead.Load() <= 3, "%d targets lost", dead.Load())
	assert.Assert(t, refused >= copies-3, "%d of %d refused", refused, copies)
	assert.Equal(t, g.ask("POST", "/buy/other", "y", time.Second).status, 200)
	told := newRig(t, 1, nil)
	told.relay.LearnFacts(time.Now(), g.relay.TakeFacts(time.Now(), true))
	assert.Equal(t, told.ask("POST", "/buy/culprit", "x", time.Second).status, 503)
	assert.Equal(t, len(told.runs()), 0)
}

// Symptom: a read is refused for a quarter of an hour. Sequence: targets lose
// the answers to many requests, and live. Cause: taking a lost answer for a
// crash.
func TestLostAnswersAccuseNobody(t *testing.T) {
	g := newRig(t, 3, nil)
	g.faults(func(n int) endpoint.Fault {
		if n%2 == 0 {
			return endpoint.LoseAnswer
		}
		return endpoint.None
	})
	for range 30 {
		g.ask("GET", "/read/1", "", time.Second)
	}
	g.faults(func(int) endpoint.Fault { return endpoint.None })
	assert.Equal(t, g.ask("GET", "/read/1", "", time.Second).status, 200)
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("did not happen in time")
}
