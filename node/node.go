package node

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"heatherlock/node/forward"
	"heatherlock/node/static"
	"heatherlock/node/telemetry"
	"heatherlock/node/tlsconf"
	"heatherlock/objects"
	"heatherlock/steering"
)

// Options holds what New takes in addition to the settings. Tests and the quickstart use it to
// replace the platform and the network.
type Options struct {
	// Platform replaces the platform client that New creates from the settings.
	Platform objects.API
	// Listen and Dial replace the functions of package net.
	Listen func(network, address string) (net.Listener, error)
	Dial   forward.Dial
	// Log is the daemon's logger; nil means that nothing is logged.
	Log log.Logger
	// Version is the version of the program, which is logged at the start.
	Version string
}

// Node is the daemon of one entry VM.
type Node struct {
	settings    static.Settings
	incarnation steering.Incarnation
	started     time.Time
	log         log.Logger
	version     string
	listeners   *listeners
	servers     *servers
	metrics     *telemetry.Metrics
	components  *components
	killed      context.Context
	kill        context.CancelFunc
}

// incarnationLength is the length of an incarnation in characters. 16 characters hold 80 random
// bits, so that no two runs of the daemon get the same incarnation.
const incarnationLength = 16

// New checks the settings, binds the listeners and builds the components. The daemon starts to
// serve when Run is called. If Run is never called, the caller must call Close.
func New(settings static.Settings, options Options) (*Node, error) {
	settings = settings.WithDefaults()
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if options.Log == nil {
		options.Log = log.NewNopLogger()
	}
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	bound, err := listen(settings, options.Listen)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:    settings,
		incarnation: steering.Incarnation(rand.Text()[:incarnationLength]),
		started:     time.Now(),
		version:     options.Version,
		listeners:   bound,
		metrics:     telemetry.New(string(settings.VM), string(settings.Zone)),
	}
	n.log = log.With(options.Log, "vm", settings.VM, "incarnation", n.incarnation)
	n.killed, n.kill = context.WithCancel(context.Background())
	if n.components, err = n.build(options); err != nil {
		n.Close()
		return nil, err
	}
	n.servers = n.newServers()
	return n, nil
}

// Addresses returns the addresses to which the listeners are bound.
func (n *Node) Addresses() Addresses { return n.listeners.addresses() }

// Incarnation returns the identifier of this run of the daemon. It differs after every restart.
func (n *Node) Incarnation() steering.Incarnation { return n.incarnation }

// Close closes the listeners, idle connections and metrics. Run calls it; other callers need it
// only for a daemon that is never run.
func (n *Node) Close() {
	n.listeners.close()
	if n.components != nil {
		n.components.close()
	}
	_ = n.metrics.Close()
}

// Kill stops the daemon as a crash would: it breaks connections and notifies neither callers nor
// peers.
func (n *Node) Kill() { n.kill() }

// Run serves until ctx is done or a planned stop covers this entry VM. It then drains: it returns
// once the requests in flight have completed.
func (n *Node) Run(ctx context.Context) error {
	defer n.Close()
	level.Info(n.log).Log("msg", "daemon starts", "version", n.version, "zone", n.settings.Zone,
		"caller", n.Addresses().Caller, "peer", n.Addresses().Peer, "operator", n.Addresses().Operator)
	// The control loops and servers run on after ctx is done, because requests in flight and peers
	// need them until the daemon has drained.
	work, stop := context.WithCancel(n.killed)
	defer stop()
	group, work := errgroup.WithContext(work)
	n.serveAll(group)
	n.controlLoops(group, work)
	group.Go(func() error {
		defer stop()
		n.waitUntilLeft(ctx, work)
		return n.servers.drain(n.killed)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "node")
	}
	level.Info(n.log).Log("msg", "daemon ends")
	return nil
}

// waitUntilLeft waits for the end of ctx or a planned stop and then drains. It returns when the
// daemon has drained, has failed or was killed.
func (n *Node) waitUntilLeft(ctx, work context.Context) {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(work, stop)()
	n.waitForStop(wait)
	if n.killed.Err() != nil {
		return // a simulated crash notifies no peer
	}
	n.leave(work)
}

// controlLoops starts the loops of the components. They run until ctx is done.
func (n *Node) controlLoops(group *errgroup.Group, ctx context.Context) {
	loops := []func(context.Context) error{
		n.components.members.Run, n.components.configs.Run, n.components.lookups.Run, n.components.admit.Run, n.components.caps.Run, n.components.shifts.Run,
		n.components.stops.Run, n.enforceStopDeadlines,
	}
	for _, certificates := range []*tlsconf.Source{n.components.peerTLS, n.components.operatorTLS} {
		if certificates != nil {
			loops = append(loops, certificates.Run)
		}
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
}

// serveAll starts to serve the three listeners.
func (n *Node) serveAll(group *errgroup.Group) {
	limits := n.settings.Limits
	group.Go(func() error { return serve(n.servers.caller, n.listeners.caller, maxCallerConns(limits)) })
	group.Go(func() error { return serve(n.servers.peer, n.listeners.peer, limits.PeerConnections) })
	group.Go(func() error { return serve(n.servers.operator, n.listeners.operator, limits.OperatorConnections) })
}

// maxCallerConns returns the connection limit of the caller listener. It exceeds the limit in the
// settings, so that the daemon can still accept connections above that limit and answer them with a
// refusal.
func maxCallerConns(limits static.Limits) int {
	const room, share = 16, 8
	return limits.CallerConnections + limits.CallerConnections/share + room
}

// servers are the HTTP servers of the three listeners.
type servers struct {
	caller, peer, operator *http.Server
}

// drain shuts the servers down and lets them complete their requests. When ctx is done, it closes
// the remaining connections.
func (s *servers) drain(ctx context.Context) error {
	all := []*http.Server{s.caller, s.peer, s.operator}
	if err := shutdown(ctx, all...); err == nil {
		return nil
	}
	for _, one := range all {
		_ = one.Close()
	}
	return nil
}
