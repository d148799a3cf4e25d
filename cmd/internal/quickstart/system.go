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
	"heatherlock/responses"
	"heatherlock/standin/deploy"
	"heatherlock/standin/platform"
	"heatherlock/standin/target"
	"heatherlock/standin/witness"
	"heatherlock/steering"
)

// readyTimeout limits the wait for all entry VMs to be ready, and for the deployment
// to be in force on all of them.
const readyTimeout = 15 * time.Second

// crashMarker marks the requests that crash targets.
const crashMarker = "crash-this-target"

// system is the running deployment.
type system struct {
	// certificates holds the certificates of the entry VMs' peer listeners, by VM.
	certificates   map[string]static.Certificates
	deployment     deploy.Deployment
	witness        *witness.Witness
	store          *platform.Store
	platformServer *http.Server
	platformURL    string
	targets        *deploy.Running
	network        *network
	targetFaults   target.Faults // injected at the targets of the fault zone
	log            log.Logger
	processes      *processes // nil if the entry VMs run in this process

	mu    sync.Mutex
	vms   map[string]*entryVM
	kills []kill
	// isolatedAt is when an injected fault isolated a zone; zero if none did.
	isolatedAt time.Time
}

// entryVM is one incarnation of an entry VM.
type entryVM struct {
	deploy.EntryVM
	incarnation int
	addresses   node.Addresses
	// end ends the incarnation at once, as when a VM crashes, and waits for its end.
	// It does nothing if the entry VM is a separate process.
	end func()
	// done receives the error with which the incarnation ended. It is nil if the
	// entry VM is a separate process.
	done chan error
}

// incarnationName returns a name that differs between the incarnations of one entry VM.
func (v *entryVM) incarnationName() string { return fmt.Sprintf("%s#%d", v.Name, v.incarnation) }

// kill is the time span in which an injected fault ended an entry VM.
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
	if s.certificates, err = issueCertificates(d); err != nil {
		targets.Close()
		return nil, err
	}
	addresses := targets.Addresses()
	for _, t := range d.Targets() {
		s.network.setZone(t.Place, addresses[t.Name])
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		targets.Close()
		return nil, errors.Wrap(err, "quickstart: listen for the platform stand-in")
	}
	s.platformURL = "http://" + listener.Addr().String()
	s.platformServer = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.platformServer.Serve(listener) }()
	return s, nil
}

// certificateValidity is longer than any run with --keep.
const certificateValidity = 30 * 24 * time.Hour

// issueCertificates creates a certificate authority for this run and issues a peer
// certificate for each entry VM, so that entry VMs authenticate each other as in
// production.
func issueCertificates(d deploy.Deployment) (map[string]static.Certificates, error) {
	authority, err := tlsconf.NewAuthority(certificateValidity)
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

// startAll starts every entry VM. With separate processes it waits until all are
// healthy.
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

func (s *system) start(e deploy.EntryVM, incarnation int) (*entryVM, error) {
	if s.processes != nil {
		return s.processes.prepare(s, e, incarnation)
	}
	n, err := node.New(s.settings(e), node.Options{
		Log: log.With(s.log, "life", incarnation), Version: "quickstart", Dial: s.network.dialFrom(e.Zone),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "quickstart: start entry VM %s", e.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &entryVM{EntryVM: e, incarnation: incarnation, addresses: n.Addresses(), done: make(chan error, 1)}
	v.end = func() {
		n.Kill()
		stop()
		<-v.done
	}
	s.network.setZone(e.Zone, v.addresses.Caller, v.addresses.Peer, v.addresses.Operator)
	s.register(v)
	go func() { v.done <- n.Run(ctx) }()
	return v, nil
}

// register adds an entry VM to the platform's list and to s.vms.
func (s *system) register(v *entryVM) {
	s.store.SetVM(objects.VM{
		Name: v.Name, Zone: v.Zone, Region: v.Region, State: objects.VMLive,
		CallerAddress: v.addresses.Caller, PeerAddress: v.addresses.Peer, OperatorAddress: v.addresses.Operator,
	})
	s.mu.Lock()
	s.vms[v.Name] = v
	s.mu.Unlock()
}

// markKilled records that a fault ended the incarnation of an entry VM and returns
// that incarnation.
func (s *system) markKilled(name string, at time.Time) (*entryVM, bool) {
	until := at
	if s.processes != nil {
		until = at.Add(maxKillDelay)
	}
	s.mu.Lock()
	v, ok := s.vms[name]
	if ok {
		s.kills = append(s.kills, kill{vm: name, at: at, until: until})
		delete(s.vms, name)
	}
	s.mu.Unlock()
	if ok {
		s.witness.ConfigGone(v.incarnationName())
	}
	return v, ok
}

func (s *system) settings(e deploy.EntryVM) static.Settings {
	settings := static.Settings{
		VM: steering.VM(e.Name), Zone: steering.Zone(e.Zone), Region: steering.Region(e.Region),
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Platform: static.Platform{URL: s.platformURL},
		TLS:      static.TLS{Peer: s.certificates[e.Name]},
	}
	for _, v := range s.all() {
		settings.Seeds = append(settings.Seeds, v.addresses.Peer)
	}
	return settings
}

// all returns the running entry VMs in the order of the deployment.
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

// incarnationNames returns the names of the running incarnations.
func (s *system) incarnationNames() []string {
	var names []string
	for _, v := range s.all() {
		names = append(names, v.incarnationName())
	}
	return names
}

// reachableNames returns the names of the running incarnations outside an isolated zone.
func (s *system) reachableNames() []string {
	var names []string
	for _, v := range s.all() {
		if !s.network.isIsolated(v.Zone) {
			names = append(names, v.incarnationName())
		}
	}
	return names
}

// callerAddresses returns the caller addresses of the running entry VMs, those of
// the given zone first.
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

// waitReady waits until every entry VM reports that it is ready.
func (s *system) waitReady(ctx context.Context) error {
	if s.processes != nil {
		return nil // startAll has waited for the processes
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

func ready(ctx context.Context, operator string) bool { return probeSucceeds(ctx, operator, "/readyz") }

// probeSucceeds reports whether a health probe of an entry VM responds with
// status 200.
func probeSucceeds(ctx context.Context, operator, probe string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+probe, nil)
	if err != nil {
		return false
	}
	reply, err := responses.NewClient().Do(r)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// excused reports whether an injected fault may have interrupted a try: it killed
// an entry VM on the path of the try, or isolated a zone, while the try ran.
func (s *system) excused(vm, via string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kills {
		onPath := k.vm == vm || listContains(via, k.vm)
		if onPath && !k.until.Before(from) && !k.at.After(to) {
			return true
		}
	}
	return s.interruptedByIsolation(from, to)
}

// interruptionWindow is the maximum time from the isolation of a zone until the end
// of a try that it interrupts by closing a connection.
const interruptionWindow = time.Second

// interruptedByIsolation reports whether a try may have used a connection that was
// closed when a zone was isolated. A refusal does not name the zone that was
// unreachable, so every try counts that began before the isolation and ended within
// interruptionWindow after it. The caller holds s.mu.
func (s *system) interruptedByIsolation(from, to time.Time) bool {
	return !s.isolatedAt.IsZero() && from.Before(s.isolatedAt) && to.After(s.isolatedAt) && to.Before(s.isolatedAt.Add(interruptionWindow))
}

// recordIsolation records the time at which a zone was isolated.
func (s *system) recordIsolation(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolatedAt = at
}

// close ends all entry VMs, targets and the platform stand-in at once. The caller
// waits for the requests in flight beforehand.
func (s *system) close() {
	for _, v := range s.all() {
		v.end()
	}
	s.targets.Close()
	_ = s.platformServer.Close()
}
