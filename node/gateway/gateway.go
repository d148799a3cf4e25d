package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	"heatherlock/node/gateway/allowances"
	"heatherlock/node/gateway/buffering"
	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/loadreport"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/lock"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/buffers"
	"heatherlock/steering/capacity"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
	"heatherlock/steering/presence"
	"heatherlock/steering/queueowner"
	"heatherlock/steering/retry"
	"heatherlock/steering/spread"
)

const (
	// maxDirectoryTTL is how long callers may cache a directory response, if the configured bound
	// allows: long enough that look-ups stay rare, short enough that callers soon stop using a VM
	// that has left.
	maxDirectoryTTL = 2 * time.Second
	// maxCallerConnections bounds the open connections of callers.
	maxCallerConnections = 3000
	// headerTimeout bounds reading the headers of a request on any listener but that for callers.
	headerTimeout = 3 * time.Second
	// maintenanceInterval is the pause between two runs of the periodic work, which moves the
	// regional split of affinity keys by one step.
	maintenanceInterval = time.Second
	// membershipInterval is the pause between two updates of what depends on the live VMs.
	membershipInterval = 200 * time.Millisecond
	// trafficLogInterval is the pause between two log lines of the bytes exchanged. Links fill up
	// over longer times, and a line per second would be most of the log of an idle VM.
	trafficLogInterval = 10 * time.Second
)

// Gateway is an entry VM of the users' platform.
type Gateway struct {
	settings    *platform.Settings
	incarnation uint32 // distinguishes this process from earlier ones of the VM; never 0
	log         log.Logger
	metrics     *telemetry.Metrics
	store       *platform.Store
	relay       *relay.Relay
	pool        *upstream.Pool
	// peerPool holds the connections by which requests are passed on to other VMs.
	peerPool    *upstream.Pool
	fleet       *fleet.Fleet
	reader      *feed.Reader
	fetcher     *catchup.Fetcher
	sendLimiter *spread.SendLimiter // limits what this VM sends to peers
	peerClient  *http.Client
	pulling     atomic.Bool
	enquirer    *enquirer
	// recordsRead is set once the records of the other VMs were read, or could not be.
	recordsRead atomic.Bool
	// registered is set once this VM is on record and knows the others. recordsEpoch is the epoch of the
	// store in which the records were last found or made complete, restoringRecords is set meanwhile.
	registered, restoringRecords atomic.Bool
	recordsEpoch                 atomic.Uint64
	callers                      *callers.Server
	// passedOn serves requests that other VMs pass on while they are cut off from all targets.
	passedOn    *callers.Server
	buffers     *buffering.VM // counts what is held for slow readers
	leaving     atomic.Bool
	coldSenders []steering.VM // guarded by the relay's lock
	// announced is set once a heartbeat was requested to announce that this VM takes requests.
	announced        atomic.Bool
	ownersMu         lock.Mutex
	ownerVMs         []queueowner.VM // of the last update of the owners
	regionSplit      placement.RegionSplit
	mixedServices    map[steering.Service]bool // as logged last
	meter            *volume.Meter
	allowanceService *allowances.Service
	shares           *relay.Shares
	loadReports      *loadreport.Service
	// weightedServices holds the services with gauges of weights; only maintain uses it.
	weightedServices map[steering.Service]bool
	servers          []*http.Server
	workers          sync.WaitGroup
	// membersChanged is signalled when VMs became live or are no longer.
	membersChanged chan struct{}

	targetLog targetLog
	bounds    atomic.Pointer[platform.Bounds]

	newest atomic.Pointer[newestConfig]
	page   statusPage

	peaksMu lock.Mutex
	peaks   map[steering.Zone]peak // of caller demand, for the directory

	reloadMu          lock.Mutex
	currentSettings   *platform.Settings // from the last valid read
	lastSettingsError string             // of the last read, empty if it was valid
}

// New returns a gateway that has bound its datagram sockets for heartbeats, allowances and load reports, but
// serves nothing until Run is called.
func New(settings *platform.Settings, logger log.Logger) (*Gateway, error) {
	g := &Gateway{settings: settings, currentSettings: settings, log: logger, metrics: telemetry.New(string(settings.VM), string(settings.Zone)),
		incarnation: rand.Uint32N(math.MaxUint32) + 1, store: platform.NewStore(settings.Store), regionSplit: placement.RegionSplit{}, peaks: make(map[steering.Zone]peak), weightedServices: make(map[steering.Service]bool), membersChanged: make(chan struct{}, 1),
		meter: volume.NewMeter(volume.Location{Zone: settings.Zone, Region: settings.Region})}
	scope := g.metrics.Scope
	if err := g.newAllowances(); err != nil {
		return nil, err
	}
	g.shares = relay.NewShares(rand.Uint32(), logger, scope)
	if err := g.newLoadReports(); err != nil {
		return nil, err
	}
	g.pool = upstream.NewPool(upstream.DialTarget, platform.RequestIDOf)
	g.pool.OnOpen = func() { scope.Counter("gateway_target_connections_opened").Inc(1) }
	g.store.OnCall = func(call string, err error) {
		scope.Tagged(map[string]string{"fault": faultName(err)}).Counter("gateway_store_calls").Inc(1)
	}
	g.store.OnBytes = func(bytes int) { g.meter.Count(volume.Store, volume.Location{}, int64(bytes)) }
	g.store.OnEpoch = g.storeRestored
	g.peerPool = upstream.NewPool(upstream.Dial, platform.RequestIDOf)
	g.peerPool.AcceptUnnamed = relay.IsPeerResponse
	b := settings.Bounds
	relayMetrics := relay.NewMetrics(scope)
	g.pool.OnUnmatched = relayMetrics.Unmatched
	g.relay = relay.New(relay.Config{Region: settings.Region, Zone: settings.Zone, Pool: g.pool,
		Balancer: placement.NewBalancer(settings.VM, settings.Region),
		Retry:    retry.NewSharedBudget(retryConfig(b)),
		Log:      logger, TargetHeartbeatInterval: time.Duration(settings.HeartbeatMs) * time.Millisecond,
		VM: settings.VM, Incarnation: presence.Incarnation(g.incarnation), Peers: g.peerPool, OnLinksChange: g.linksChanged,
		PeerMeter: func(raw net.Conn, to steering.VM) net.Conn {
			return g.meter.Conn(raw, volume.PassedOn, g.fleet.LocationOf(to))
		},
		Metrics: relayMetrics, StoreAge: g.storeAge,
		MemberCount: func() int { return g.fleet.AnsweringCount() }, Behind: func() bool { _, _, behind := g.reader.Behind(); return behind }, ConfigOutdated: g.outdated, ConfigKnowledge: g.configKnowledge,
		Meter: g.meter, Allowances: g.allowanceService, Shares: g.shares, TargetLimits: g.allowanceService,
		MemoryBytes: int64(settings.MemoryMB) << 20})
	g.buffers = buffering.NewVM(buffers.NewConfig(settings.MemoryMB, debug.SetMemoryLimit(-1)), logger, scope)
	g.callers = callers.NewServer(g.relay, g.relay.Limits, maxCallerConnections)
	g.passedOn = callers.NewServer(g.relay.PeerHandler(), g.relay.PeerLimits, maxCallerConnections)
	g.callers.Buffers, g.passedOn.Buffers = g.buffers, g.buffers
	state := feed.NewState(time.Duration(settings.HeartbeatMs)*time.Millisecond, settings.Zones)
	g.reader = feed.NewReader(g.store, g, state, readerPeers{g}, logger)
	g.peerClient = newPeerClient()
	g.enquirer = newEnquirer(settings)
	g.sendLimiter = spread.NewSendLimiter(settings.LinkMbps)
	g.fetcher = g.newFetcher()
	g.applyBounds(b)
	g.registerSections()
	return g, g.newFleet()
}

// storeAge returns how old what this VM knows of the store is; 0 if it knows nothing.
func (g *Gateway) storeAge() time.Duration {
	age, known := g.reader.Age()
	if !known {
		return 0
	}
	return age
}

// storeRestored is called when the store has been restored from an older copy of itself.
func (g *Gateway) storeRestored(before, after uint64) {
	known := g.reader.Digest()
	g.metrics.Scope.Counter("gateway_store_restores").Inc(1)
	_ = g.log.Log("msg", "store was restored from an older copy", "epoch", after, "epoch_before", before, "known_revision", known.Revision,
		"config", known.Config, "state_age_ms", known.AgeMs) // the log writer counts dropped lines
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
	g.fleet = fleet.New(fleet.Config{Self: g.self(), Seeds: seeds, Log: g.log, FillBeat: g.fillHeartbeat,
		Incarnation: g.incarnation, RequestPeers: g.relay.RequestPeers,
		Suspects:   func(all bool) []poison.Fact { return g.relay.TakePoisonFacts(time.Now(), all) },
		HandleBeat: g.handleHeartbeat, OnMembersChange: g.signalMembersChanged,
		OnSend: func(to fleet.Member, bytes int) { g.meter.Count(volume.Heartbeats, locationOf(to), int64(bytes)) }}, conn)
	return nil
}

// fillHeartbeat sets what the next heartbeat reports about this VM. It is called for each
// heartbeat.
func (g *Gateway) fillHeartbeat(b *fleet.Beat) {
	b.Leaving = g.leaving.Load()
	b.Serving = g.relay.Ready() && !b.Leaving
	b.CutOff = g.relay.CutOff()
	b.StoreDigest = g.reader.Digest()
	b.StoreReadsFail = g.reader.Failing()
	b.ReadingStore = g.reader.Reading()
	b.ConfigContent, b.ConfigWait = uint32(g.reader.ContentHash()), g.fetcher.Progress().Wait
	now := time.Now()
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
		b.Demand = balancer.Demand(now)
		b.Replaced = balancer.ReplacedToReport(now)
	})
	b.Tight = g.allowanceService.LowBucketNotices()
}

// signalMembersChanged makes followMembership run. It does not block.
func (g *Gateway) signalMembersChanged() {
	select {
	case g.membersChanged <- struct{}{}:
	default:
	}
}

// followMembership passes on changes of the membership until ctx ends, at most one in
// membershipInterval: while a fleet starts, hundreds of VMs become live one after the other.
func (g *Gateway) followMembership(ctx context.Context) {
	ticker := time.NewTicker(agreementInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			g.updateAgreement()
			if age, known := g.reader.Age(); known {
				g.relay.SetStoreAge(age)
			}
		case <-g.membersChanged:
			g.updateMembership()
			sleep(ctx, membershipInterval)
		}
	}
}

// updateMembership passes the current membership to placement, retry budgets and allowances.
func (g *Gateway) updateMembership() {
	g.updateColdSenders()
	g.updateAllowancePeers()
	g.updateReachability()
	g.updateHelpers()
	g.updateOwners()
}

// updateColdSenders passes the VMs of this region that callers are directed to to placement, which
// divides the requests to cold targets among them. Among all VMs most of the division would go to
// VMs without callers, and cold targets would hardly get any requests.
func (g *Gateway) updateColdSenders() {
	var names []steering.VM
	leaving := 0
	for zone, region := range g.settings.Zones {
		if region != g.settings.Region {
			continue
		}
		leaving += g.fleet.LeavingIn(zone)
		for _, m := range g.namedIn(zone) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
		balancer.SetLeavingPeers(leaving)
		if !slices.Equal(names, g.coldSenders) {
			g.coldSenders = names
			balancer.SetPeers(map[steering.Region][]steering.VM{g.settings.Region: names})
		}
	})
}

// updateReachability passes on what changes with time alone: which zones seem unreachable, and how
// many VMs are on record.
func (g *Gateway) updateReachability() {
	dark := g.fleet.UnreachableZones()
	known := g.fleet.RecordCount()
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		balancer.SetUnreachableZones(dark)
		budget.SetMembers(known)
	})
}

// ConfigChanged implements feed.Sink.
func (g *Gateway) ConfigChanged(c feed.ConfigChange) {
	if t := c.Table; g.relay.SetTable(t) {
		g.logConfigChange(c)
		g.configureAllowances(t.Workspaces)
		g.metrics.Scope.Gauge("gateway_config_version").Update(float64(t.Version))
		g.fleet.Announce() // VMs that are behind fetch it from VMs that announced it
		g.becameReady()
	}
}

// TargetsChanged implements feed.Sink.
func (g *Gateway) TargetsChanged(u feed.TargetUpdate) {
	g.relay.UpdateTargets(u.Complete, u.Changed, u.Removed)
	g.logTargets(u)
	g.closeStaleConnections(u)
	g.metrics.Scope.Gauge("gateway_targets").Update(float64(u.Total))
	g.relay.SetTargetsKnown()
	g.becameReady()
}

// closeStaleConnections closes idle connections to earlier processes of targets.
func (g *Gateway) closeStaleConnections(u feed.TargetUpdate) {
	if u.Complete {
		g.pool.CloseStale(u.GenerationOf)
		return
	}
	names := slices.Clone(u.Removed)
	for _, t := range u.Changed {
		names = append(names, t.Name)
	}
	g.pool.CloseStaleOf(names, u.GenerationOf)
}

// becameReady announces to all peers, once, that this VM takes requests. Changes of targets are
// announced by the VM that reads them from the store, and within a zone by the VMs that fetched
// them from a peer.
func (g *Gateway) becameReady() {
	if g.relay.Ready() && g.announced.CompareAndSwap(false, true) {
		g.fleet.Announce()
	}
}

// Run serves until ctx ends, and then shuts down gracefully. It returns an error if a listener
// cannot be opened.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancelCause(context.Background())
	stop := func() { cancel(callers.ErrStopped) }
	defer stop()
	listener, err := net.Listen("tcp4", g.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "gateway: listen for callers")
	}
	defer listener.Close()
	peers, err := net.Listen("tcp4", g.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "gateway: listen for requests that peers pass on")
	}
	defer peers.Close()
	defer g.relay.Close()
	if err := g.serveHTTP(); err != nil {
		return err
	}
	g.workers.Go(func() { g.fleet.Run(work) })
	g.workers.Go(func() { g.reader.Run(work) })
	g.workers.Go(func() { g.fetcher.Run(work) })
	g.workers.Go(func() { g.allowanceService.Run(work) })
	g.workers.Go(func() { g.loadReports.Run(work) })
	g.workers.Go(func() { g.register(work) })
	g.workers.Go(func() { g.maintain(work) })
	g.workers.Go(func() { g.followMembership(work) })
	g.workers.Go(func() { _ = g.callers.Serve(work, listener) }) // returns when the listener is closed
	g.workers.Go(func() { _ = g.passedOn.Serve(work, peers) })   // returns when the listener is closed
	_ = g.log.Log("msg", "started", "vm", g.settings.VM, "zone", g.settings.Zone)
	<-ctx.Done()
	g.shutdown(listener)
	_ = listener.Close()
	_ = peers.Close() // nothing runs there any more
	stop()
	g.closeServers()
	g.workers.Wait()
	g.relay.LogOutcomeCounts()
	g.logTraffic()
	g.logWorkspaces()
	_ = g.log.Log("msg", "stopped", "vm", g.settings.VM, "connections_accepted", g.callers.Accepted())
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
