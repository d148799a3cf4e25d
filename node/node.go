package node

import (
	"context"
	"crypto/rand"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"heatherlock/node/static"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/steering"
)

// Options are the parts of a daemon that a test or quickstart may replace.
type Options struct {
	// Platform replaces the client made from the settings.
	Platform platform.API
	// Log defaults to no logs.
	Log     log.Logger
	Version string
}

// Node is one entry VM daemon.
type Node struct {
	settings    static.Settings
	incarnation steering.Incarnation
	log         log.Logger
	version     string
	listeners   *listeners
	metrics     *telemetry.Metrics
}

// incarnationLength gives 80 random bits, so that no two process lives meet.
const incarnationLength = 16

// New checks the settings and binds the listeners. The daemon serves once Run
// is called; call Close instead if it never is.
func New(settings static.Settings, options Options) (*Node, error) {
	settings = settings.WithDefaults()
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if options.Log == nil {
		options.Log = log.NewNopLogger()
	}
	bound, err := listen(settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:    settings,
		incarnation: steering.Incarnation(rand.Text()[:incarnationLength]),
		version:     options.Version,
		listeners:   bound,
		metrics:     telemetry.New(string(settings.VM), string(settings.Zone)),
	}
	n.log = log.With(options.Log, "vm", settings.VM, "incarnation", n.incarnation)
	return n, nil
}

// Addresses returns where the listeners are bound.
func (n *Node) Addresses() Addresses { return n.listeners.addresses() }

// Incarnation returns the name of this process life.
func (n *Node) Incarnation() steering.Incarnation { return n.incarnation }

// Close releases the listeners of a daemon that was never run.
func (n *Node) Close() {
	n.listeners.close()
	_ = n.metrics.Close()
}

// Run serves until ctx ends, then leaves gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.Close()
	level.Info(n.log).Log("msg", "daemon starts", "version", n.version, "zone", n.settings.Zone,
		"caller", n.Addresses().Caller, "peer", n.Addresses().Peer, "operator", n.Addresses().Operator)
	operator := controlServer(n.operatorHandler())
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return serve(operator, n.listeners.operator, n.settings.Limits.OperatorConnections)
	})
	group.Go(func() error {
		<-groupCtx.Done()
		return shutdown(context.WithoutCancel(ctx), operator)
	})
	if err := group.Wait(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "node")
	}
	level.Info(n.log).Log("msg", "daemon ends")
	return nil
}
