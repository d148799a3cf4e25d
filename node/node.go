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

// Options are the parts of a daemon that a test or quickstart may replace.
type Options struct {
	// Platform replaces the client made from the settings.
	Platform objects.API
	// Listen and Dial replace those of package net.
	Listen func(network, address string) (net.Listener, error)
	Dial   forward.Dial
	// Log defaults to no logs.
	Log     log.Logger
	Version string
}

// Node is one entry VM daemon.
type Node struct {
	settings    static.Settings
	incarnation steering.Incarnation
	started     time.Time
	log         log.Logger
	version     string
	listeners   *listeners
	servers     *servers
	metrics     *telemetry.Metrics
	parts       *parts
	killed      context.Context
	kill        context.CancelFunc
}

// incarnationLength gives 80 random bits, so that no two process lives meet.
const incarnationLength = 16

// New checks the settings, binds the listeners and makes the parts. The daemon
// serves once Run is called; call Close instead if it never is.
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
	if n.parts, err = n.build(options); err != nil {
		n.Close()
		return nil, err
	}
	n.servers = n.newServers()
	return n, nil
}

// Addresses returns where the listeners are bound.
func (n *Node) Addresses() Addresses { return n.listeners.addresses() }

// Incarnation returns the name of this process life.
func (n *Node) Incarnation() steering.Incarnation { return n.incarnation }

// Close releases the listeners of a daemon that was never run.
func (n *Node) Close() {
	n.listeners.close()
	if n.parts != nil {
		n.parts.close()
	}
	_ = n.metrics.Close()
}

// Kill ends the daemon as a crash would: connections break, nobody is told.
func (n *Node) Kill() { n.kill() }

// Run serves until ctx ends or a planned stop covers this entry VM, then
// leaves: it finishes what it carries before it returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.Close()
	level.Info(n.log).Log("msg", "daemon starts", "version", n.version, "zone", n.settings.Zone,
		"caller", n.Addresses().Caller, "peer", n.Addresses().Peer, "operator", n.Addresses().Operator)
	// The control loops and servers outlive ctx: requests in flight and peers
	// need them until the daemon has left.
	work, stop := context.WithCancel(n.killed)
	defer stop()
	group, work := errgroup.WithContext(work)
	n.serveAll(group)
	n.controlLoops(group, work)
	group.Go(func() error {
		defer stop()
		n.untilLeft(ctx, work)
		return n.servers.end(n.killed)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "node")
	}
	level.Info(n.log).Log("msg", "daemon ends")
	return nil
}

// untilLeft returns when the daemon has left, failed or was killed.
func (n *Node) untilLeft(ctx, work context.Context) {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(work, stop)()
	n.waitForStop(wait)
	if n.killed.Err() != nil {
		return // a crash tells nobody
	}
	n.leave(work)
}

// controlLoops runs the loops of the parts until ctx ends.
func (n *Node) controlLoops(group *errgroup.Group, ctx context.Context) {
	loops := []func(context.Context) error{
		n.parts.members.Run, n.parts.configs.Run, n.parts.lookups.Run, n.parts.admit.Run, n.parts.caps.Run, n.parts.shifts.Run,
		n.parts.stops.Run, n.cutLoop,
	}
	for _, certificates := range []*tlsconf.Source{n.parts.peerTLS, n.parts.operatorTLS} {
		if certificates != nil {
			loops = append(loops, certificates.Run)
		}
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
}

// serveAll serves the three listeners.
func (n *Node) serveAll(group *errgroup.Group) {
	limits := n.settings.Limits
	group.Go(func() error { return serve(n.servers.caller, n.listeners.caller, callerBound(limits)) })
	group.Go(func() error { return serve(n.servers.peer, n.listeners.peer, limits.PeerConnections) })
	group.Go(func() error { return serve(n.servers.operator, n.listeners.operator, limits.OperatorConnections) })
}

// callerBound leaves room above the limit for connections that are told of it.
func callerBound(limits static.Limits) int {
	const room, share = 16, 8
	return limits.CallerConnections + limits.CallerConnections/share + room
}

// servers are the HTTP servers of the three listeners.
type servers struct {
	caller, peer, operator *http.Server
}

// end lets the servers finish what they carry; once ctx ends, connections
// break.
func (s *servers) end(ctx context.Context) error {
	all := []*http.Server{s.caller, s.peer, s.operator}
	if err := shutdown(ctx, all...); err == nil {
		return nil
	}
	for _, one := range all {
		_ = one.Close()
	}
	return nil
}
