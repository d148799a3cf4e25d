package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"heatherlock/node/gateway/allowances"
	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/capacity"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

const (
	// longestTTL is how long callers keep a directory answer, if the bound allows:
	// long enough that look-ups stay rare, short enough that a VM that left is soon
	// unused.
	longestTTL = 2 * time.Second
	// callerConnections bounds the connections of callers.
	callerConnections = 3000
	// headerTimeout bounds the header of a question to the directory.
	headerTimeout = 3 * time.Second
	// lendEvery is the pause between two steps of what regions keep of their keys.
	lendEvery = time.Second
	// volumeEvery is the pause between two lines of the bytes exchanged: links fill up over
	// longer times, and a line a second would be most of an idle VM's log.
	volumeEvery = 10 * time.Second
)

// Gateway is an entry VM on the users' platform.
type Gateway struct {
	settings *platform.Settings
	log      log.Logger
	metrics  *telemetry.Metrics
	store    *platform.Store
	relay    *relay.Relay
	pool     *upstream.Pool
	fleet    *fleet.Fleet
	reader   *feed.Reader
	fetcher  *catchup.Fetcher
	room     *spread.Room // of this VM's link, for what it tells others
	peers    *http.Client
	pulling  atomic.Bool
	callers  *callers.Server
	leaving  atomic.Bool
	// announced is set once the others were told that this VM takes requests.
	announced atomic.Bool
	lending   placement.Lending
	meter     *volume.Meter
	credits   *allowances.Service // of workspaces
	servers   []*http.Server
	done      sync.WaitGroup

	beliefs beliefs
	bounds  atomic.Pointer[platform.Bounds]

	newest atomic.Pointer[newestConfig]
	page   statusPage

	peaksMu sync.Mutex
	peaks   map[steering.Zone]peak // of demand

	reload      sync.Mutex
	settingsNow *platform.Settings // as last read
	badSettings string             // what was wrong with those read last
}

// New assembles a gateway.
func New(settings *platform.Settings, logger log.Logger) (*Gateway, error) {
	g := &Gateway{settings: settings, settingsNow: settings, log: logger, metrics: telemetry.New(string(settings.VM), string(settings.Zone)),
		store: platform.NewStore(settings.Store), lending: placement.Lending{}, peaks: make(map[steering.Zone]peak),
		meter: volume.NewMeter(volume.Place{Zone: settings.Zone, Region: settings.Region})}
	scope := g.metrics.Scope
	if err := g.newAllowances(); err != nil {
		return nil, err
	}
	g.pool = upstream.NewPool(upstream.Dial, platform.RequestIDOf)
	g.pool.Opened = func() { scope.Counter("gateway_target_connections_opened").Inc(1) }
	g.store.Called = func(call string, err error) {
		scope.Tagged(map[string]string{"fault": faultName(err)}).Counter("gateway_store_calls").Inc(1)
	}
	g.store.Moved = func(bytes int) { g.meter.Count(volume.Store, volume.Place{}, int64(bytes)) }
	b := settings.Bounds
	g.relay = relay.New(relay.Config{Region: settings.Region, Zone: settings.Zone, Pool: g.pool,
		Balancer: placement.NewBalancer(settings.VM, settings.Region),
		Retry:    retry.NewSharedBudget(retryConfig(b)),
		Log:      logger, TargetBeat: time.Duration(settings.HeartbeatMs) * time.Millisecond,
		Events: relay.NewEvents(scope), StoreAge: func() time.Duration { return time.Duration(g.reader.Digest().AgeMs) * time.Millisecond },
		Members: func() int { return g.fleet.Size() }, Behind: func() bool { _, _, behind := g.reader.Behind(); return behind }, Outdated: g.outdated,
		Meter: g.meter, Allowances: g.credits})
	g.callers = callers.NewServer(g.relay, g.relay.Limits, callerConnections)
	state := feed.NewState(time.Duration(settings.HeartbeatMs)*time.Millisecond, settings.Zones)
	g.reader = feed.NewReader(g.store, g, state, fleetOf{g}, logger)
	g.peers = newPeerClient()
	g.room = spread.NewRoom(settings.LinkMbps)
	g.fetcher = g.newFetcher()
	g.useBounds(b)
	return g, g.newFleet()
}

func faultName(err error) string {
	if err == nil {
		return "none"
	}
	return platform.FaultOf(err).String()
}

func (g *Gateway) self() fleet.Member {
	s := g.settings
	return fleet.Member{Name: s.VM, Zone: s.Zone, Region: s.Region, Peer: s.PeerAddress(), Control: s.Listen.Control, Callers: s.Listen.Callers,
		Capacity: float32(capacity.Of(s.CPUShare, s.LinkMbps))}
}

func (g *Gateway) newFleet() error {
	conn, err := net.ListenPacket("udp4", g.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "gateway: listen for peers")
	}
	var seeds []string
	for _, seed := range g.settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return errors.Wrapf(err, "gateway: seed %q", seed)
		}
		seeds = append(seeds, platform.PeerAddressOf(host, g.settings.PeerPorts))
	}
	g.fleet = fleet.New(fleet.Config{Self: g.self(), Seeds: seeds, Log: g.log, Own: g.ownBeat,
		Suspects: func(all bool) []poison.Fact { return g.relay.TakeFacts(time.Now(), all) },
		Heard:    g.heardBeat, Changed: g.peersChanged,
		Sent: func(to fleet.Member, bytes int) { g.meter.Count(volume.Heartbeats, placeOf(to), int64(bytes)) }}, conn)
	return nil
}

func (g *Gateway) ownBeat(b *fleet.Beat) {
	b.Leaving = g.leaving.Load()
	b.Serving = g.relay.Ready() && !b.Leaving
	b.Known = g.reader.Digest()
	b.StoreFails = g.reader.Failing()
	b.Reads = g.reader.Reading()
	b.ConfigContent, b.ConfigWait = uint32(g.reader.ContentHash()), g.fetcher.Progress().Wait
	now := time.Now()
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
		b.Demand = balancer.Demand(now)
		b.Replaced = balancer.ReplacedToTell(now)
	})
	b.Tight = g.credits.TightToTell()
}

// peersChanged tells placement who lives.
func (g *Gateway) peersChanged() {
	peers := make(map[steering.Region][]steering.VM)
	for _, m := range g.fleet.Live() {
		peers[m.Region] = append(peers[m.Region], m.Name)
	}
	dark := g.fleet.DarkZones()
	known := g.fleet.Known()
	g.tellAllowances()
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		balancer.SetPeers(peers)
		balancer.SetDark(dark)
		budget.SetMembers(known)
	})
}

// Configured implements feed.Sink.
func (g *Gateway) Configured(t *routes.Table, known time.Duration) {
	if g.relay.SetTable(t) {
		_ = g.log.Log("msg", "configuration in force", "config", t.Version, "routes", len(t.Routes), "known_ms", known.Milliseconds()) // the writer counts what it drops
		g.credits.Configure(t.Workspaces)
		g.metrics.Scope.Gauge("gateway_config_version").Update(float64(t.Version))
		g.fleet.Announce() // VMs that are behind ask those that have it
		g.becameReady()
	}
}

// Placed implements feed.Sink.
func (g *Gateway) Placed(targets []placement.Target, generationOf func(steering.Target) (steering.Generation, bool)) {
	g.relay.SetTargets(targets)
	g.logTargets(targets)
	g.pool.Retain(generationOf)
	g.metrics.Scope.Gauge("gateway_targets").Update(float64(len(targets)))
	g.relay.SetReady()
	g.becameReady()
}

// becameReady tells all others once that this VM takes requests. Changes of the targets
// are announced by the VM that reads them from the store, and within a zone by those that
// were told.
func (g *Gateway) becameReady() {
	if g.relay.Ready() && g.announced.CompareAndSwap(false, true) {
		g.fleet.Announce()
	}
}

// Run serves until ctx ends, and then leaves in order.
func (g *Gateway) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	listener, err := net.Listen("tcp4", g.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "gateway: listen for callers")
	}
	defer listener.Close()
	if err := g.serveHTTP(); err != nil {
		return err
	}
	g.done.Go(func() { g.fleet.Run(work) })
	g.done.Go(func() { g.reader.Run(work) })
	g.done.Go(func() { g.fetcher.Run(work) })
	g.done.Go(func() { g.credits.Run(work) })
	g.done.Go(func() { g.register(work) })
	g.done.Go(func() { g.tend(work) })
	g.done.Go(func() { _ = g.callers.Serve(work, listener) }) // ends with the listener
	_ = g.log.Log("msg", "started", "vm", g.settings.VM, "zone", g.settings.Zone)
	<-ctx.Done()
	g.leave(listener)
	stop()
	g.closeServers()
	g.done.Wait()
	g.relay.LogSums()
	g.logVolume()
	g.logWorkspaces()
	_ = g.log.Log("msg", "stopped", "vm", g.settings.VM)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// tend does until ctx ends what is due each second, whatever requests come.
func (g *Gateway) tend(ctx context.Context) {
	told := time.Now()
	for ctx.Err() == nil {
		pause(ctx, lendEvery)
		g.lend()
		g.peersChanged()
		g.showBeliefs()
		g.relay.LogSums()
		if time.Since(told) >= volumeEvery {
			told = time.Now()
			g.logVolume()
			g.logWorkspaces()
		}
	}
}

// lend keeps the shares of keys that regions keep in step with demand.
func (g *Gateway) lend() {
	demand := g.fleet.Demand()
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
		demand[g.settings.Region].AddAll(balancer.Demand(time.Now()))
		balancer.Learn(placement.Runs(demand))
		g.lending = placement.NextLending(g.lending, placement.Situation{Demand: demand, Slots: balancer.Slots(), Regions: g.regions(), ShiftShare: g.bounds.Load().ShiftShare})
		balancer.SetLending(g.lending)
	})
}

// logVolume writes one line of the bytes that were exchanged since the last, and counts them.
func (g *Gateway) logVolume() {
	sums := g.meter.Take()
	if len(sums) == 0 {
		return
	}
	_ = g.log.Log("msg", volume.LineMessage, "zone", g.settings.Zone, "bytes", sums) // the writer counts what it drops
	for purpose, sum := range sums {
		for distance, bytes := range sum.ByDistance() {
			g.metrics.Scope.Tagged(map[string]string{"purpose": string(purpose), "distance": distance}).Counter("gateway_exchanged_bytes").Inc(bytes)
		}
	}
}

// regions returns how many regions there are.
func (g *Gateway) regions() int {
	found := make(map[steering.Region]bool)
	for _, region := range g.settings.Zones {
		found[region] = true
	}
	return len(found)
}

// showBeliefs puts what this VM goes by into gauges.
func (g *Gateway) showBeliefs() {
	scope := g.metrics.Scope
	var ejected, replaced []steering.Target
	var tries map[steering.Service]float64
	kept := make(map[steering.Service]float64)
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		ejected, replaced = balancer.Ejected(), balancer.Replaced()
		tries = budget.Left(time.Now())
		for service := range g.lending {
			kept[service] = g.lending.Kept(service, g.settings.Region)
		}
	})
	g.logEjected(ejected)
	g.logReplaced(replaced)
	scope.Gauge("gateway_targets_ejected").Update(float64(len(ejected)))
	scope.Gauge("gateway_targets_replaced").Update(float64(len(replaced)))
	scope.Gauge("gateway_peers").Update(float64(g.fleet.Size()))
	newest, late, _ := g.reader.Behind()
	scope.Gauge("gateway_config_newest").Update(float64(newest))
	scope.Gauge("gateway_config_behind_ms").Update(float64(late.Milliseconds()))
	scope.Gauge("gateway_store_age_ms").Update(float64(g.reader.Digest().AgeMs))
	scope.Gauge("gateway_read_rank").Update(float64(g.reader.Rank()))
	scope.Gauge("gateway_requests_running").Update(float64(g.callers.Running()))
	scope.Gauge("gateway_caller_connections").Update(float64(g.callers.Connections()))
	for service, left := range tries {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("gateway_tries_left").Update(left)
	}
	for service, share := range kept {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("gateway_keys_kept").Update(share)
	}
}
