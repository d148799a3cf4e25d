package node_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node"
	"heatherlock/node/lookups"
	"heatherlock/node/static"
	"heatherlock/objects"
	"heatherlock/standin/memnet"
	"heatherlock/standin/platform"
	"heatherlock/standin/target"
	"heatherlock/standin/witness"
	"heatherlock/steering"
)

// fleet is a deployment of two zones in two regions on an in-memory network in virtual time. Each
// zone has two entry VMs, two targets for the tickets service and one for the uploads service.
type fleet struct {
	t       *testing.T
	net     *memnet.Network
	store   *platform.Store
	witness *witness.Witness
	daemons map[string]*daemon
	targets map[string]*target.Target
	clients []*http.Client
	mu      sync.Mutex
	keys    int
	tries   int
	// certificates, if not nil, returns the certificates of each entry VM.
	certificates func(vm string) static.TLS
	planned      witness.Planned
}

// daemon is one run of an entry VM's daemon.
type daemon struct {
	*node.Node
	vm, zone string
	stop     context.CancelFunc
	done     chan error
}

var zones = []string{"a", "b"}

// crashMarker is the request body that makes a target crash.
const crashMarker = "heatherlock-crash"

// runFleetTest runs a failure test in virtual time and checks that no promise that the witness
// judges was broken.
func runFleetTest(t *testing.T, f func(f *fleet)) {
	runPreparedFleetTest(t, func(*fleet) {}, f)
}

// runPreparedFleetTest is like runFleetTest, but calls prepare before the first daemon starts.
func runPreparedFleetTest(t *testing.T, prepare, f func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, net: memnet.New(), store: platform.NewStore(platform.Options{}), witness: witness.New(),
			daemons: map[string]*daemon{}, targets: map[string]*target.Target{}}
		t.Cleanup(fl.close)
		prepare(fl)
		fl.startTargets()
		fl.createObjects()
		for _, zone := range zones {
			fl.start("e"+zone+"1", zone)
			fl.start("e"+zone+"2", zone)
		}
		fl.waitForConvergence()
		f(fl)
		fl.stopAll()
	})
}

// waitForConvergence waits until the membership view and the configuration have reached every entry
// VM.
func (f *fleet) waitForConvergence() { time.Sleep(4 * time.Second) }

// stopAll stops every daemon gracefully and checks the promises.
func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		assert.NilError(f.t, <-d.done)
	}
	clear(f.daemons)
	f.checkPromises()
}

// close stops everything that still runs, such as the daemons of a failed test.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.Kill()
		<-d.done
	}
	for _, one := range f.targets {
		_ = one.Close()
	}
	for _, client := range f.clients {
		client.CloseIdleConnections()
	}
}

func (f *fleet) checkPromises() {
	f.t.Helper()
	for _, finding := range f.witness.Judge(time.Now(), f.planned).Findings {
		assert.Equal(f.t, finding.Broken, 0, "%s: %v", finding.Promise, finding)
	}
}

func (f *fleet) startTargets() {
	for i, zone := range zones {
		host := f.net.Host(zone, fmt.Sprintf("10.%d.9.9", i+1))
		for _, service := range []string{"tickets", "tickets", "uploads"} {
			name := fmt.Sprintf("%s-%s-%d", service, zone, len(f.targets))
			one, err := target.Start(target.Config{
				Name: name, Service: service, Place: "p" + zone, Listen: targetListenAddress(i), Listener: host.Listen,
				Slots: 3, ServiceTime: 20 * time.Millisecond, CrashMarker: crashMarker, Witness: f.witness,
			})
			assert.NilError(f.t, err)
			f.targets[name] = one
		}
	}
}

func targetListenAddress(i int) string { return fmt.Sprintf("10.%d.9.9:0", i+1) }

func (f *fleet) createObjects() {
	f.createObject("Service", "tickets", `{"hosts":["tickets.example"],"timeoutMs":2000,"nonIdempotentMethods":["POST"],"retryPercent":20}`)
	f.createObject("Service", "uploads", `{"hosts":["uploads.example"],"timeoutMs":300000,"nonIdempotentMethods":["POST"]}`)
	for i, zone := range zones {
		var targets []string
		for name, one := range f.targets {
			if strings.Contains(name, "-"+zone+"-") {
				service, _, _ := strings.Cut(name, "-")
				targets = append(targets, fmt.Sprintf(`{"name":%q,"service":%q,"address":%q,"slots":3}`, name, service, one.Address()))
			}
		}
		f.createObject("Place", "p"+zone, fmt.Sprintf(`{"region":"r%d","zone":%q,"targets":[%s]}`, i, zone, strings.Join(targets, ",")))
	}
	f.createObject("ClientBlocks", "callers", `{"blocks":[{"prefix":"10.1.0.0/16","place":"pa"},{"prefix":"10.2.0.0/16","place":"pb"}]}`)
}

// createObject stores an object as an operator whose zone is never disconnected from the platform.
func (f *fleet) createObject(kind, name, spec string) int64 {
	f.t.Helper()
	value := fmt.Sprintf(`{"kind":%q,"metadata":{"name":%q},"spec":%s}`, kind, name, spec)
	o, err := f.store.As("operator", "elsewhere").Create(f.t.Context(), kind, name, json.RawMessage(value))
	assert.NilError(f.t, err)
	return o.Version
}

// start starts the daemon of an entry VM with default limits.
func (f *fleet) start(vm, zone string) *daemon {
	return f.startWith(vm, zone, static.Limits{})
}

func (f *fleet) startWith(vm, zone string, limits static.Limits) *daemon {
	f.t.Helper()
	i := strings.Index("ab", zone) + 1
	host := f.net.Host(zone, fmt.Sprintf("10.%d.0.%d", i, 1+int(vm[len(vm)-1]-'0')))
	listen := fmt.Sprintf("10.%d.0.%d:0", i, 1+int(vm[len(vm)-1]-'0'))
	settings := static.Settings{
		VM: steering.VM(vm), Zone: steering.Zone(zone), Region: steering.Region(fmt.Sprintf("r%d", i-1)),
		CallerListen: listen, PeerListen: listen, OperatorListen: listen, Limits: limits,
	}
	for _, other := range f.daemons {
		settings.Seeds = append(settings.Seeds, other.Addresses().Peer)
	}
	if f.certificates != nil {
		settings.TLS = f.certificates(vm)
	}
	n, err := node.New(settings, node.Options{Platform: f.store.As(vm, zone), Listen: host.Listen, Dial: host.Dial})
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{Node: n, vm: vm, zone: zone, stop: stop, done: make(chan error, 1)}
	f.mu.Lock()
	f.daemons[vm] = d
	f.mu.Unlock()
	at := n.Addresses()
	f.store.SetVM(objects.VM{Name: vm, Zone: zone, Region: string(settings.Region), State: objects.VMLive,
		CallerAddress: at.Caller, PeerAddress: at.Peer, OperatorAddress: at.Operator})
	go func() { d.done <- n.Run(ctx) }()
	return d
}

// crash kills the daemon of an entry VM; it notifies neither callers nor peers.
func (f *fleet) crash(vm string) {
	f.t.Helper()
	f.mu.Lock()
	d := f.daemons[vm]
	delete(f.daemons, vm)
	f.mu.Unlock()
	d.Kill()
	assert.NilError(f.t, <-d.done)
	d.stop()
}

// daemon returns the running daemon of an entry VM.
func (f *fleet) daemon(vm string) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[vm]
}

// caller returns a caller whose home is in the given zone, according to its address.
func (f *fleet) caller(zone string) *http.Client {
	host := f.net.Host("callers", fmt.Sprintf("10.%d.77.1", strings.Index("ab", zone)+1))
	client := &http.Client{Transport: &http.Transport{DialContext: host.Dial}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients = append(f.clients, client)
	return client
}

// lookup asks an entry VM which entry VMs to use for a service.
func (f *fleet) lookup(client *http.Client, vm, service string) (lookups.Answer, error) {
	res, err := client.Get("http://" + f.daemon(vm).Addresses().Caller + lookups.Path + "?service=" + service)
	if err != nil {
		return lookups.Answer{}, err
	}
	defer res.Body.Close()
	var answer lookups.Answer
	return answer, json.NewDecoder(res.Body).Decode(&answer)
}

// newKey returns a new idempotency key with the prefix of the entry VM that a look-up at vm lists
// first, and that entry VM's address.
func (f *fleet) newKey(client *http.Client, vm string) (key, address string) {
	f.t.Helper()
	answer, err := f.lookup(client, vm, "tickets")
	assert.NilError(f.t, err)
	assert.Assert(f.t, len(answer.EntryVMs) > 0)
	f.keys++
	return fmt.Sprintf("%s.purchase-%06d", answer.EntryVMs[0].KeyPrefix, f.keys), answer.EntryVMs[0].Address
}

// reply is a response whose body was read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) reason() string { return r.header.Get("Heatherlock-Reason") }
func (r reply) ran() string    { return r.header.Get("Heatherlock-Ran") }

// callSpec describes a request that a caller sends.
type callSpec struct {
	method  string
	vm      string // entry VM to send to if address is empty
	address string
	service string
	key     string
	body    io.Reader
	home    string // the caller's place, for the witness
	sum     string // digest of an upload's body
	size    int64  // size of an upload's body in bytes
}

// send sends one try of a request, reports it to the witness and returns the reply.
func (f *fleet) send(client *http.Client, e callSpec) (reply, error) {
	if e.address == "" {
		e.address = f.daemon(e.vm).Addresses().Caller
	}
	f.mu.Lock()
	f.tries++
	try := witness.Try{Try: fmt.Sprintf("try-%d", f.tries), Start: time.Now(), EntryVM: e.vm, SentBytes: e.size, SentSum: e.sum}
	f.mu.Unlock()
	try.Request = cmp.Or(e.key, try.Try)
	switch {
	case e.sum != "":
		try.Kind = witness.KindUpload
	case e.method == http.MethodPost:
		try.Kind = witness.KindPurchase
	}
	got, err := roundTrip(client, e, try)
	try.End = time.Now()
	switch {
	case err != nil:
		try.Answer = witness.AnswerBroken
	case got.reason() != "":
		try.Answer, try.Reason, try.Ran = witness.AnswerRefused, got.reason(), got.ran()
	case got.status != http.StatusOK:
		try.Answer = witness.AnswerFailed
	case !bytes.Equal(got.body, witness.Body(try.Request, target.DefaultAnswerBytes)):
		try.Answer = witness.AnswerWrong
	}
	f.witness.Answered(try)
	return got, err
}

func roundTrip(client *http.Client, e callSpec, try witness.Try) (reply, error) {
	r, err := http.NewRequest(e.method, "http://"+e.address+"/"+e.service, e.body)
	if err != nil {
		return reply{}, err
	}
	r.Header.Set("Heatherlock-Service", e.service)
	r.Header.Set(witness.HeaderRequest, try.Request)
	r.Header.Set(witness.HeaderTry, try.Try)
	if e.home != "" {
		r.Header.Set(witness.HeaderHome, e.home)
	}
	if e.key != "" {
		r.Header.Set("Heatherlock-Key", e.key)
	}
	res, err := client.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: text}, err
}

// get sends a GET request through an entry VM and fails the test unless the status is 200.
func (f *fleet) get(client *http.Client, vm string) reply {
	f.t.Helper()
	got, err := f.send(client, callSpec{method: http.MethodGet, vm: vm, service: "tickets"})
	assert.NilError(f.t, err)
	assert.Equal(f.t, got.status, http.StatusOK, "%s through %s: %s", got.reason(), vm, got.body)
	return got
}

// version returns the version of the configuration in force at an entry VM.
func (f *fleet) version(vm string) int64 {
	answer, err := f.lookup(f.caller(f.daemons[vm].zone), vm, "tickets")
	assert.NilError(f.t, err)
	return answer.Version
}

// state returns the member state of one entry VM according to another, or "" if it is not listed.
func (f *fleet) state(vm, of string) string {
	f.t.Helper()
	answer, err := f.caller(f.daemons[vm].zone).Get("http://" + f.daemons[vm].Addresses().Operator + "/v1/status")
	assert.NilError(f.t, err)
	defer answer.Body.Close()
	var status struct {
		Members []struct{ VM, State string }
	}
	assert.NilError(f.t, json.NewDecoder(answer.Body).Decode(&status))
	for _, m := range status.Members {
		if m.VM == of {
			return m.State
		}
	}
	return ""
}

// slowBody returns a body of which one piece becomes readable per interval, with its digest and its
// size in bytes.
func slowBody(pieces int, every time.Duration) (body io.Reader, sum string, size int64) {
	piece := bytes.Repeat([]byte("x"), 8<<10)
	sum, size, _ = witness.Sum(bytes.NewReader(bytes.Repeat(piece, pieces)))
	out, in := io.Pipe()
	go func() {
		for range pieces {
			if _, err := in.Write(piece); err != nil {
				return
			}
			time.Sleep(every)
		}
		_ = in.Close()
	}()
	return out, sum, size
}
