package forward

import (
	"bytes"
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/node/static"
	"heatherlock/standin/memnet"
	"heatherlock/steering"
	"heatherlock/steering/poison"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// Addresses on the in-memory network.
const (
	callerA = "10.7.0.1:1"
	callerB = "10.7.0.2:1"
	peerA   = "10.8.0.1:1"
	peerB   = "10.8.0.2:1"
)

// targetAddress returns the address of a target: 10.9.0.1:1 for t1, and so on.
func targetAddress(name string) string { return "10.9.0." + name[1:] + ":1" }

// listen listens on address. A listener that already uses the address is closed first.
func (w *testbed) listen(address string) net.Listener {
	w.listening.Lock()
	defer w.listening.Unlock()
	if old := w.listeners[address]; old != nil {
		_ = old.Close()
	}
	l, err := w.net.Listen("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.listeners[address] = l
	return l
}

// serve runs a server on address until the test ends.
func (w *testbed) serve(address string, server *http.Server) {
	l := w.listen(address)
	server.ErrorLog = stdlog.New(io.Discard, "", 0)
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

// testbed is an in-memory deployment of one service "tickets", at place p-a of zone a with the
// targets t1 and t2 and at place p-b of zone b with the target t3, with the entry VMs ea and eb.
type testbed struct {
	t         *testing.T
	net       *memnet.Host
	snapshot  *routing.Snapshot
	members   []seam.Member
	a, b      *entryVM
	client    *http.Client
	mu        sync.Mutex
	runs      map[string]int // by target
	handlers  map[string]http.HandlerFunc
	listening sync.Mutex
	listeners map[string]net.Listener
}

// entryVM is one entry VM. It implements fakes for all components that the data path depends on.
type entryVM struct {
	*Forwarder
	w       *testbed
	zone    steering.Zone
	leaving bool
	slots   map[steering.Target]int // free slots; a missing target has no limit
	allow   bool                    // the retry budget allows retries
	capped  bool
	busy    int
	ended   []seam.OutcomeKind
	rests   []time.Duration // of the outcomes
	mu      sync.Mutex
	down    map[steering.VM]bool
	stored  map[steering.Key]*fakeRun
	scope   tally.TestScope
	log     bytes.Buffer
	// dialTarget, if set, opens connections in place of the network of the testbed.
	dialTarget Dial
}

func newTestbed(t *testing.T) *testbed {
	w := &testbed{t: t, net: memnet.New().Host("a", "10.0.0.9"), runs: map[string]int{}, handlers: map[string]http.HandlerFunc{}, listeners: map[string]net.Listener{}}
	service := &routing.Service{
		Name: "tickets", Hosts: []string{"tickets.example"}, Timeout: 5 * time.Second,
		MaxBodyBytes: 1 << 30, NonIdempotent: []string{"POST"},
	}
	w.snapshot = &routing.Snapshot{
		Version:  1,
		Services: map[steering.Service]*routing.Service{"tickets": service},
		ByHost:   map[string]*routing.Service{"tickets.example": service},
		Places: map[steering.Place]*routing.Place{
			"p-a": {Name: "p-a", Zone: "a", Targets: []routing.Target{target("t1", "p-a"), target("t2", "p-a")}},
			"p-b": {Name: "p-b", Zone: "b", Targets: []routing.Target{target("t3", "p-b")}},
		},
	}
	w.members = []seam.Member{
		{VM: "ea", Incarnation: "INCA", Zone: "a", PeerAddress: peerA, State: seam.MemberLive},
		{VM: "eb", Incarnation: "INCB", Zone: "b", PeerAddress: peerB, State: seam.MemberLive},
	}
	w.a, w.b = w.entryVM(0), w.entryVM(1)
	transport := &http.Transport{DialContext: w.net.Dial, ExpectContinueTimeout: time.Hour}
	t.Cleanup(transport.CloseIdleConnections)
	w.client = &http.Client{Transport: transport}
	return w
}

// failOnErrorLog wraps a logger and fails the test when something is logged at error level.
func (w *testbed) failOnErrorLog(next log.Logger) log.Logger {
	return log.LoggerFunc(func(keyvals ...any) error {
		for _, v := range keyvals {
			if v == level.ErrorValue() {
				w.t.Errorf("logged at error level: %v", keyvals)
			}
		}
		return next.Log(keyvals...)
	})
}

func target(name, place string) routing.Target {
	return routing.Target{Name: steering.Target(name), Service: "tickets", Place: steering.Place(place), Address: targetAddress(name)}
}

func (w *testbed) entryVM(i int) *entryVM {
	m := w.members[i]
	e := &entryVM{w: w, zone: m.Zone, allow: true, slots: map[steering.Target]int{},
		down: map[steering.VM]bool{}, stored: map[steering.Key]*fakeRun{}, scope: tally.NewTestScope("", nil)}
	e.Forwarder = New(Config{
		Self: m, Limits: static.Settings{}.WithDefaults().Limits, Configs: e, Members: e, Admitter: e, Caps: e, RemoteZones: e,
		LookupResolver: e, Leaver: e, Outcomes: e, Suspects: e, Retries: e, Dial: e.dial, Scope: e.scope, Log: w.failOnErrorLog(log.NewJSONLogger(log.NewSyncWriter(&e.log))),
	})
	w.serve([]string{callerA, callerB}[i], &http.Server{
		Handler: e, ConnContext: e.ConnContext, ConnState: e.ConnState, DisableGeneralOptionsHandler: true,
	})
	w.serve(m.PeerAddress, &http.Server{Handler: http.HandlerFunc(e.ServePeer)})
	w.t.Cleanup(e.Forwarder.Close)
	return e
}

func (e *entryVM) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if e.dialTarget != nil {
		return e.dialTarget(ctx, network, address)
	}
	return e.w.net.Dial(ctx, network, address)
}

// target serves handler as a target and counts the requests it received. A second call replaces the
// handler.
func (w *testbed) target(name string, handler http.HandlerFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.handlers[name]
	w.handlers[name] = handler
	if !known {
		w.serve(targetAddress(name), &http.Server{Handler: w.targetHandler(name), DisableGeneralOptionsHandler: true})
	}
}

func (w *testbed) targetHandler(name string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.runs[name]++
		handler := w.handlers[name]
		w.mu.Unlock()
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(rw, r)
	}
}

func (w *testbed) ran(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[name]
}

// The methods below make an entryVM its own fake for every component.

func (e *entryVM) Snapshot() *routing.Snapshot       { return e.w.snapshot }
func (e *entryVM) Subscribe(func(*routing.Snapshot)) {}
func (e *entryVM) Leaving() bool                     { return e.leaving }
func (e *entryVM) Self() seam.Member                 { return e.Forwarder.self }
func (e *entryVM) All() []seam.Member                { return e.w.members }
func (e *entryVM) InZone(z steering.Zone) (in []seam.Member) {
	for _, m := range e.w.members {
		if m.Zone == z {
			in = append(in, m)
		}
	}
	return in
}
func (e *entryVM) ByIncarnation(i steering.Incarnation) (seam.Member, bool) {
	for _, m := range e.w.members {
		if m.Incarnation == i {
			return m, true
		}
	}
	return seam.Member{}, false
}
func (e *entryVM) RecordReachability(vm steering.VM, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[vm] = !ok
}

func (e *entryVM) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.w.snapshot.Places[r.Place].Targets {
		free, bounded := e.slots[t.Name]
		if contains(r.Avoid, t.Name) || bounded && free <= 0 {
			continue
		}
		if bounded {
			e.slots[t.Name]--
		}
		e.busy++
		return &fakeGrant{e, t}, nil
	}
	return nil, steering.Refuse(steering.ReasonNoSlot, 200*time.Millisecond, "full")
}

func contains(list []steering.Target, name steering.Target) bool {
	for _, one := range list {
		if one == name {
			return true
		}
	}
	return false
}

func (e *entryVM) Headroom(steering.Place, steering.Service) (int, time.Duration)    { return 7, 0 }
func (e *entryVM) Owner(steering.Place, steering.Service) (seam.Member, bool)        { return e.self, true }
func (e *entryVM) Hint(steering.Place, steering.Service, int)                        {}
func (e *entryVM) RecordRefusal(steering.Place, steering.Service, *steering.Refusal) {}
func (e *entryVM) RecordRequest(retry.Pool, int)                                     {}
func (e *entryVM) Retry(now time.Time, r retry.Request, t retry.Tries, ran steering.Ran) retry.Denial {
	if !e.allow {
		return retry.DenyBudget
	}
	return retry.NewBudgets().Retry(now, r, t, ran)
}
func (e *entryVM) Hedge(time.Time, retry.Request, retry.Tries) retry.Denial { return retry.DenyBudget }
func (e *entryVM) Begin(context.Context, poison.Fingerprints) (v poison.Verdict, r *steering.Refusal) {
	return v, nil
}
func (e *entryVM) SetTrialTarget(poison.Fingerprints, poison.Verdict, steering.Target) {}
func (e *entryVM) End(poison.Fingerprints, poison.Verdict, routing.Target, TryOutcome) {}
func (e *entryVM) Home(netip.Addr) (steering.Place, bool)                              { return "p-a", true }
func (e *entryVM) Lookup(netip.Addr, steering.Service) (a seam.LookupAnswer, err error) {
	return a, nil
}
func (e *entryVM) Candidates(steering.Service, steering.Place) []steering.Place {
	if e.zone == "a" {
		return []steering.Place{"p-b"}
	}
	return []steering.Place{"p-a"}
}

func (e *entryVM) Admit(context.Context, steering.Service, steering.Place, steering.Place) (seam.CapPermit, error) {
	if e.capped {
		return nil, steering.Refuse(steering.ReasonCapReached, time.Second, "cap")
	}
	return fakePermit{}, nil
}

type fakePermit struct{}

func (fakePermit) Done(bool) {}

type fakeGrant struct {
	e *entryVM
	t routing.Target
}

func (g *fakeGrant) Target() routing.Target { return g.t }
func (g *fakeGrant) Done(o seam.Outcome) {
	g.e.mu.Lock()
	defer g.e.mu.Unlock()
	g.e.busy--
	g.e.ended = append(g.e.ended, o.Kind)
	g.e.rests = append(g.e.rests, o.Rest)
	if _, bounded := g.e.slots[g.t.Name]; bounded {
		g.e.slots[g.t.Name]++
	}
}

// fakeRun is the outcome of one key.
type fakeRun struct {
	answer  Answer
	refused *steering.Refusal
	whole   bool
}

func (e *entryVM) Claim(_ context.Context, key steering.Key, _ uint64) (Recorder, *Answer, *steering.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.stored[key]
	switch {
	case !ok || run.refused != nil && run.refused.Ran == steering.RanNo:
		run = &fakeRun{}
		e.stored[key] = run
		return run, nil, nil
	case run.whole:
		return nil, &run.answer, nil
	}
	return nil, nil, steering.RefuseUnknown(steering.ReasonKeyBusy, "running or unknown")
}

func (r *fakeRun) Head(status int, h http.Header) {
	r.answer.Status, r.answer.Header = status, h.Clone()
}
func (r *fakeRun) Body(p []byte)               { r.answer.Body = append(r.answer.Body, p...) }
func (r *fakeRun) Complete(h http.Header)      { r.whole, r.answer.Trailer = true, h }
func (r *fakeRun) Refused(s *steering.Refusal) { r.refused = s }

// do sends a request to the caller listener of entry VM ea.
func (w *testbed) do(method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
	r, err := http.NewRequest(method, "http://"+callerA+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "tickets.example"
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	if r.Header.Get("Expect") != "" {
		r.ContentLength = -1
	}
	res, err := w.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}
