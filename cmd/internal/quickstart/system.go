package quickstart

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"heatherlock/node"
	"heatherlock/node/static"
	"heatherlock/node/tlsconf"
	"heatherlock/objects"
	"heatherlock/standin/deploy"
	"heatherlock/standin/platform"
	"heatherlock/standin/target"
	"heatherlock/standin/witness"
	"heatherlock/steering"
)

// readyTimeout bounds the wait for every entry VM to be ready.
const readyTimeout = 15 * time.Second

// crashMarker marks the requests that crash targets.
const crashMarker = "crash-this-target"

// system is the running deployment.
type system struct {
	// certificates are those of the entry VMs' peer listeners, by VM.
	certificates map[string]static.Certificates
	deployment   deploy.Deployment
	witness      *witness.Witness
	store        *platform.Store
	server       *http.Server
	url          string
	targets      *deploy.Running
	network      *network
	atTargets    target.Faults // planted at the targets of one zone
	log          log.Logger
	processes    *processes // nil when entry VMs run in this process

	mu    sync.Mutex
	vms   map[string]*entryVM
	kills []kill
	// cutAt is when a planted fault cut a zone off.
	cutAt time.Time
}

// entryVM is one process life of an entry VM.
type entryVM struct {
	deploy.EntryVM
	life      int
	addresses node.Addresses
	// end ends the life at once, as a failed VM ends, and waits for it.
	end func()
	// done yields the error that the life ended with by itself; nil when the
	// entry VM is a process of its own.
	done chan error
}

// lifeName tells the lives of one entry VM apart.
func (v *entryVM) lifeName() string { return fmt.Sprintf("%s#%d", v.Name, v.life) }

// kill is the time within which a planted fault ended an entry VM.
type kill struct {
	vm        string
	at, until time.Time
}

func newSystem(d deploy.Deployment, seed uint64, logger log.Logger, dir string) (*system, error) {
	s := &system{deployment: d, witness: witness.New(), network: newNetwork(d.Delay), store: platform.NewStore(platform.Options{}), vms: map[string]*entryVM{}, log: logger}
	if dir != "" {
		s.processes = &processes{dir: dir}
	}
	targets, err := d.StartTargets(seed, crashMarker, s.witness)
	if err != nil {
		return nil, err
	}
	s.targets = targets
	s.witness.Regions(d.Regions())
	if s.certificates, err = issue(d); err != nil {
		targets.Close()
		return nil, err
	}
	addresses := targets.Addresses()
	for _, t := range d.Targets() {
		s.network.place(t.Place, addresses[t.Name])
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		targets.Close()
		return nil, errors.Wrap(err, "quickstart: listen for the platform stand-in")
	}
	s.url = "http://" + listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// certificateLife outlasts any run with --keep.
const certificateLife = 30 * 24 * time.Hour

// issue makes an authority for this run and a peer's certificate per entry VM,
// so that they authenticate each other as in production.
func issue(d deploy.Deployment) (map[string]static.Certificates, error) {
	authority, err := tlsconf.NewAuthority(certificateLife)
	if err != nil {
		return nil, errors.Wrap(err, "quickstart: generate certificates")
	}
	certificates := map[string]static.Certificates{}
	for _, e := range d.EntryVMs() {
		if certificates[e.Name], err = authority.IssuePeer(e.Name); err != nil {
			return nil, errors.Wrap(err, "quickstart: generate certificates")
		}
	}
	return certificates, nil
}

// startAll starts every entry VM.
func (s *system) startAll() error {
	for _, e := range s.deployment.EntryVMs() {
		if _, err := s.start(e, 0); err != nil {
			return err
		}
	}
	if s.processes != nil {
		return s.processes.wait(s)
	}
	return nil
}

func (s *system) start(e deploy.EntryVM, life int) (*entryVM, error) {
	if s.processes != nil {
		return s.processes.expect(s, e, life)
	}
	n, err := node.New(s.settings(e), node.Options{
		Log: log.With(s.log, "life", life), Version: "quickstart", Dial: s.network.from(e.Zone),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "quickstart: start entry VM %s", e.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &entryVM{EntryVM: e, life: life, addresses: n.Addresses(), done: make(chan error, 1)}
	v.end = func() {
		n.Kill()
		stop()
		<-v.done
	}
	s.network.place(e.Zone, v.addresses.Caller, v.addresses.Peer, v.addresses.Operator)
	s.add(v)
	go func() { v.done <- n.Run(ctx) }()
	return v, nil
}

// add lists an entry VM with the platform and here.
func (s *system) add(v *entryVM) {
	s.store.SetVM(objects.VM{
		Name: v.Name, Zone: v.Zone, Region: v.Region, State: objects.VMLive,
		CallerAddress: v.addresses.Caller, PeerAddress: v.addresses.Peer, OperatorAddress: v.addresses.Operator,
	})
	s.mu.Lock()
	s.vms[v.Name] = v
	s.mu.Unlock()
}

// lose notes that a fault ended a life of an entry VM and returns it.
func (s *system) lose(name string, at time.Time) (*entryVM, bool) {
	until := at
	if s.processes != nil {
		until = at.Add(killWithin)
	}
	s.mu.Lock()
	v, ok := s.vms[name]
	if ok {
		s.kills = append(s.kills, kill{vm: name, at: at, until: until})
		delete(s.vms, name)
	}
	s.mu.Unlock()
	if ok {
		s.witness.ConfigGone(v.lifeName())
	}
	return v, ok
}

func (s *system) settings(e deploy.EntryVM) static.Settings {
	settings := static.Settings{
		VM: steering.VM(e.Name), Zone: steering.Zone(e.Zone), Region: steering.Region(e.Region),
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Platform: static.Platform{URL: s.url},
		TLS:      static.TLS{Peer: s.certificates[e.Name]},
	}
	for _, v := range s.all() {
		settings.Seeds = append(settings.Seeds, v.addresses.Peer)
	}
	return settings
}

// all returns the entry VMs that run, in the deployment's order.
func (s *system) all() []*entryVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*entryVM
	for _, e := range s.deployment.EntryVMs() {
		if v, ok := s.vms[e.Name]; ok {
			all = append(all, v)
		}
	}
	return all
}

// lives names every process life that runs.
func (s *system) lives() []string {
	var names []string
	for _, v := range s.all() {
		names = append(names, v.lifeName())
	}
	return names
}

// reachable names the process lives that are not cut off.
func (s *system) reachable() []string {
	var names []string
	for _, v := range s.all() {
		if !s.network.isCut(v.Zone) {
			names = append(names, v.lifeName())
		}
	}
	return names
}

// callerAddresses lists entry VMs for look-ups, those of the zone first.
func (s *system) callerAddresses(zone string) []string {
	var near, far []string
	for _, v := range s.all() {
		if v.Zone == zone {
			near = append(near, v.addresses.Caller)
			continue
		}
		far = append(far, v.addresses.Caller)
	}
	return append(near, far...)
}

// waitReady waits until every entry VM says that it is ready.
func (s *system) waitReady(ctx context.Context) error {
	if s.processes != nil {
		return nil // startAll waited for the processes
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range s.all() {
		for !ready(ctx, v.addresses.Operator) {
			select {
			case err := <-v.done:
				return errors.Wrapf(err, "quickstart: entry VM %s ended at start", v.Name)
			case <-ctx.Done():
				return fmt.Errorf("quickstart: entry VM %s was not ready within %s; see its log (--log FILE)", v.Name, readyTimeout)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, operator string) bool { return says(ctx, operator, "/readyz") }

// says reports whether a probe of an entry VM answers 200.
func says(ctx context.Context, operator, probe string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+probe, nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// excused reports whether a planted fault ended one of the entry VMs on the
// path of a try while it ran.
func (s *system) excused(vm, via string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kills {
		onPath := k.vm == vm || contains(via, k.vm)
		if onPath && !k.until.Before(from) && !k.at.After(to) {
			return true
		}
	}
	return s.cutUnder(from, to)
}

// cutWithin is how soon after a zone was cut off a try that crossed the cut
// ends: the cut closes its connection.
const cutWithin = time.Second

// cutUnder reports whether a try may have been on a connection that a planted
// cut closed. A refusal does not name the zone it could not reach, so every try
// that ends right after the cut and began before it counts. The caller holds
// mu.
func (s *system) cutUnder(from, to time.Time) bool {
	return !s.cutAt.IsZero() && from.Before(s.cutAt) && to.After(s.cutAt) && to.Before(s.cutAt.Add(cutWithin))
}

// noteCut records the moment of a planted cut.
func (s *system) noteCut(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAt = at
}

// close ends everything at once: nothing is under way any more.
func (s *system) close() {
	for _, v := range s.all() {
		v.end()
	}
	s.targets.Close()
	_ = s.server.Close()
}
