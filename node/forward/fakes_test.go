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

// targetAddress gives target t1 the address 10.9.0.1:1, and so on.
func targetAddress(name string) string { return "10.9.0." + name[1:] + ":1" }

// listen takes an address, from its present listener where it has one.
func (w *world) listen(address string) net.Listener {
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
func (w *world) serve(address string, server *http.Server) {
	l := w.listen(address)
	server.ErrorLog = stdlog.New(io.Discard, "", 0)
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

// world is one service "tickets" at place p-a of zone a with targets t1, t2,
// and place p-b of zone b with target t3; entry VMs ea and eb.
type world struct {
	t         *testing.T
	net       *memnet.Host
	snapshot  *routing.Snapshot
	members   []seam.Member
	a, b      *entry
	client    *http.Client
	mu        sync.Mutex
	runs      map[string]int // by target
	handlers  map[string]http.HandlerFunc
	listening sync.Mutex
	listeners map[string]net.Listener
}

// entry is one entry VM with fakes for its parts.
type entry struct {
	*Forwarder
	w       *world
	zone    steering.Zone
	leaving bool
	slots   map[steering.Target]int // free; missing means plenty
	allow   bool                    // retry budget
	capped  bool
	busy    int
	ended   []seam.OutcomeKind
	mu      sync.Mutex
	down    map[steering.VM]bool
	stored  map[steering.Key]*fakeRun
	scope   tally.TestScope
	log     bytes.Buffer
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, net: memnet.New().Host("a", "10.0.0.9"), runs: map[string]int{}, handlers: map[string]http.HandlerFunc{}, listeners: map[string]net.Listener{}}
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
	w.a, w.b = w.entry(0), w.entry(1)
	transport := &http.Transport{DialContext: w.net.Dial, ExpectContinueTimeout: time.Hour}
	t.Cleanup(transport.CloseIdleConnections)
	w.client = &http.Client{Transport: transport}
	return w
}

// faults is a log that fails the test when the program itself is at fault.
func (w *world) faults(next log.Logger) log.Logger {
	return log.LoggerFunc(func(keyvals ...any) error {
		for _, v := range keyvals {
			if v == level.ErrorValue() {
				w.t.Errorf("fault: %v", keyvals)
			}
		}
		return next.Log(keyvals...)
	})
}

func target(name, place string) routing.Target {
	return routing.Target{Name: steering.Target(name), Service: "tickets", Place: steering.Place(place), Address: targetAddress(name)}
}

func (w *world) entry(i int) *entry {
	m := w.members[i]
	e := &entry{w: w, zone: m.Zone, allow: true, slots: map[steering.Target]int{},
		down: map[steering.VM]bool{}, stored: map[steering.Key]*fakeRun{}, scope: tally.NewTestScope("", nil)}
	e.Forwarder = New(Config{
		Self: m, Limits: static.Settings{}.WithDefaults().Limits, Configs: e, Members: e, Admitter: e, Caps: e, Remote: e,
		Looker: e, Leaver: e, Outcomes: e, Suspects: e, Retries: e, Dial: w.net.Dial, Scope: e.scope, Log: w.faults(log.NewJSONLogger(log.NewSyncWriter(&e.log))),
	})
	w.serve([]string{callerA, callerB}[i], &http.Server{
		Handler: e, ConnContext: e.ConnContext, ConnState: e.ConnState, DisableGeneralOptionsHandler: true,
	})
	w.serve(m.PeerAddress, &http.Server{Handler: http.HandlerFunc(e.ServePeer)})
	w.t.Cleanup(e.Forwarder.Close)
	return e
}

// target serves handler as a target and counts what it ran; a second call
// changes what the target does.
func (w *world) target(name string, handler http.HandlerFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.handlers[name]
	w.handlers[name] = handler
	if !known {
		w.serve(targetAddress(name), &http.Server{Handler: w.targetHandler(name), DisableGeneralOptionsHandler: true})
	}
}

func (w *world) targetHandler(name string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.runs[name]++
		handler := w.handlers[name]
		w.mu.Unlock()
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(rw, r)
	}
}

func (w *world) ran(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[name]
}

// The methods below make an entry its own fake for every part.

func (e *entry) Snapshot() *routing.Snapshot       { return e.w.snapshot }
func (e *entry) Subscribe(func(*routing.Snapshot)) {}
func (e *entry) Leaving() bool                     { return e.leaving }
func (e *entry) Self() seam.Member                 { return e.Forwarder.self }
func (e *entry) All() []seam.Member                { return e.w.members }
func (e *entry) InZone(z steering.Zone) (in []seam.Member) {
	for _, m := range e.w.members {
		if m.Zone == z {
			in = append(in, m)
		}
	}
	return in
}
func (e *entry) ByIncarnation(i steering.Incarnation) (seam.Member, bool) {
	for _, m := range e.w.members {
		if m.Incarnation == i {
			return m, true
		}
	}
	return seam.Member{}, false
}
func (e *entry) Evidence(vm steering.VM, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[vm] = !ok
}

func (e *entry) Acquire(ctx context.Context, r seam.AdmitRequest) (seam.Grant, error) {
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

func (e *entry) Headroom(steering.Place, steering.Service) (int, time.Duration) { return 7, 0 }
func (e *entry) Owner(steering.Place, steering.Service) (seam.Member, bool)     { return e.self, true }
func (e *entry) Hint(steering.Place, steering.Service, int)                     {}
func (e *entry) Refused(steering.Place, steering.Service, *steering.Refusal)    {}
func (e *entry) First(retry.Pool, int)                                          {}
func (e *entry) Retry(now time.Time, r retry.Request, t retry.Tries, ran steering.Ran) retry.Denial {
	if !e.allow {
		return retry.DenyBudget
	}
	return retry.NewBudgets().Retry(now, r, t, ran)
}
func (e *entry) Hedge(time.Time, retry.Request, retry.Tries) retry.Denial { return retry.DenyBudget }
func (e *entry) Enter(context.Context, poison.Mark) (v poison.Verdict, r *steering.Refusal) {
	return v, nil
}
func (e *entry) Trying(poison.Mark, poison.Verdict, steering.Target)                  {}
func (e *entry) End(poison.Mark, poison.Verdict, routing.Target, TryEnd)              {}
func (e *entry) Home(netip.Addr) (steering.Place, bool)                               { return "p-a", true }
func (e *entry) Lookup(netip.Addr, steering.Service) (a seam.LookupAnswer, err error) { return a, nil }
func (e *entry) Candidates(steering.Service, steering.Place) []steering.Place {
	if e.zone == "a" {
		return []steering.Place{"p-b"}
	}
	return []steering.Place{"p-a"}
}

func (e *entry) Admit(context.Context, steering.Service, steering.Place, steering.Place) (seam.CapPermit, error) {
	if e.capped {
		return nil, steering.Refuse(steering.ReasonCapReached, time.Second, "cap")
	}
	return fakePermit{}, nil
}

type fakePermit struct{}

func (fakePermit) Done(bool) {}

type fakeGrant struct {
	e *entry
	t routing.Target
}

func (g *fakeGrant) Target() routing.Target { return g.t }
func (g *fakeGrant) Done(o seam.Outcome) {
	g.e.mu.Lock()
	defer g.e.mu.Unlock()
	g.e.busy--
	g.e.ended = append(g.e.ended, o.Kind)
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

func (e *entry) Claim(_ context.Context, key steering.Key, _ uint64) (Recorder, *Answer, *steering.Refusal) {
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
	return nil, nil, steering.Unknown(steering.ReasonKeyBusy, "running or unknown")
}

func (r *fakeRun) Head(status int, h http.Header) {
	r.answer.Status, r.answer.Header = status, h.Clone()
}
func (r *fakeRun) Body(p []byte)               { r.answer.Body = append(r.answer.Body, p...) }
func (r *fakeRun) Whole(h http.Header)         { r.whole, r.answer.Trailer = true, h }
func (r *fakeRun) Refused(s *steering.Refusal) { r.refused = s }

// do sends a request to an entry VM's caller listener.
func (w *world) do(method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
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
