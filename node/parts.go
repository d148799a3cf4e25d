package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/admit"
	"heatherlock/node/capshare"
	"heatherlock/node/drain"
	"heatherlock/node/dynamic"
	"heatherlock/node/forward"
	"heatherlock/node/lookups"
	"heatherlock/node/member"
	"heatherlock/node/operator"
	"heatherlock/node/seam"
	"heatherlock/node/shiftdriver"
	"heatherlock/node/tlsconf"
	"heatherlock/objects"
	"heatherlock/peer"
	"heatherlock/peer/peerpb"
	"heatherlock/platform"
	"heatherlock/steering/lookup"
)

// parts are what a daemon is made of. They refer to each other through the
// interfaces in package seam; parts that need one made later reach it through
// a hook, which runs only after all are made.
type parts struct {
	platform *objects.Budget
	members  *member.Members
	remote   *member.RemoteZones
	configs  *dynamic.Syncer
	lookups  *lookups.Lookups
	admit    *admit.Controller
	suspects *forward.RegionSuspects
	caps     *capshare.Caps
	shifts   *shiftdriver.Driver
	stops    *drain.Watch
	forward  *forward.Forwarder
	operator *operator.Server
	leaver   *leaver
	board    *poolBoard
	clients  []*http.Client // whose idle connections end with the daemon

	// peerTLS and operatorTLS are nil where the settings give no certificates.
	peerTLS     *tlsconf.Source
	operatorTLS *tlsconf.Source
}

// close drops idle connections.
func (p *parts) close() {
	p.forward.Close()
	for _, client := range p.clients {
		client.CloseIdleConnections()
	}
}

// leading says whether this entry VM is its zone's reader.
func (p *parts) leading() bool {
	_, leading := p.configs.Leader()
	return leading
}

// build makes the parts of a daemon whose listeners are bound.
func (n *Node) build(options Options) (*parts, error) {
	p := &parts{leaver: &leaver{}, board: newPoolBoard()}
	var err error
	if p.platform, err = n.platformAPI(options.Platform); err != nil {
		return nil, err
	}
	if err = n.buildTLS(p); err != nil {
		return nil, errors.Wrap(err, "node")
	}
	// Calls of Acquire wait in the owner's queue and would hold up beats.
	calls := patient(dialing(peer.NewControlClient(p.peerClientTLS()), options.Dial))
	acquires := dialing(peer.NewHTTPClient(p.peerClientTLS()), options.Dial)
	if waiting, ok := acquires.Transport.(*http.Transport); ok {
		waiting.MaxConnsPerHost = admit.MaxAcquireCalls
	}
	loads := loadClient(options.Dial)
	p.clients = []*http.Client{calls, acquires, loads}
	clients := peer.NewClients(calls)
	p.members = member.New(member.Config{
		Self: n.self(), Started: n.started, Seeds: n.settings.Seeds, Platform: p.platform, Peers: clients,
		Hooks: n.hooks(p), Scope: n.metrics.Scope, Logger: n.log,
	})
	if err := n.buildControl(p, clients); err != nil {
		return nil, err
	}
	p.admit = admit.New(admit.Config{
		Members: p.members, Configs: p.configs, Peers: clients, AcquirePeers: peer.NewClients(acquires),
		Loads: admit.HTTPLoadReader{Client: loads}, Scope: n.metrics.Scope, Log: n.log,
	})
	if err := n.buildMoves(p, clients); err != nil {
		return nil, errors.Wrap(err, "node")
	}
	n.buildDataPath(p, clients, options.Dial)
	p.operator, err = operator.New(operator.Config{
		VM: string(n.settings.VM), Zone: string(n.settings.Zone), Platform: p.platform, Runtime: &facts{node: n, parts: p},
		Tokens: operatorTokens(n.settings), Log: n.log, Scope: n.metrics.Scope,
	})
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	return p, nil
}

// buildControl makes the parts that follow configuration and slots.
func (n *Node) buildControl(p *parts, clients *peer.Clients) (err error) {
	p.configs, err = dynamic.New(dynamic.Config{
		Platform: p.platform, Members: p.members, Peer: clients.To, Seeds: n.settings.Seeds,
		StatusContents: (&facts{node: n, parts: p}).zone, Scope: n.metrics.Scope, Log: n.log,
	})
	if err != nil {
		return errors.Wrap(err, "node")
	}
	p.remote = member.NewRemoteZones(member.RemoteZonesConfig{Members: p.members, Configs: p.configs, Scope: n.metrics.Scope})
	p.lookups, err = lookups.New(lookups.Config{Configs: p.configs, Members: p.members, Scope: n.metrics.Scope, Log: n.log})
	if err != nil {
		return errors.Wrap(err, "node")
	}
	return nil
}

// buildMoves makes the parts that move work: caps, shifts and planned stops.
func (n *Node) buildMoves(p *parts, clients *peer.Clients) (err error) {
	p.caps, err = capshare.New(capshare.Config{
		Configs: p.configs, Members: p.members, Platform: p.platform, Peer: clients.To,
		IsZoneReader: p.leading, ConfirmedSincePause: p.members.ConfirmedSincePause, Scope: n.metrics.Scope, Log: n.log,
	})
	if err != nil {
		return err
	}
	known := &facts{node: n, parts: p}
	p.shifts, err = shiftdriver.New(shiftdriver.Config{
		Configs: p.configs, Members: p.members, Platform: p.platform, Leader: p.configs.Leader,
		Pools: known.receivers, CapRefusals: p.caps.Refused, TTL: lookup.DefaultTTL,
		Scope: n.metrics.Scope, Log: n.log,
	})
	if err != nil {
		return err
	}
	p.stops, err = drain.New(drain.Config{
		Configs: p.configs, IsZoneReader: p.leading, Remaining: known.remaining, Scope: n.metrics.Scope, Log: n.log,
	})
	return err
}

// loadTimeout bounds a read of a target's load.
const loadTimeout = time.Second

func loadClient(dial forward.Dial) *http.Client {
	return &http.Client{Timeout: loadTimeout, Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout}}
}

// patient lets a client wait for answers that keep coming, where the caller allows it.
func patient(client *http.Client) *http.Client {
	if transport, ok := client.Transport.(*http.Transport); ok {
		client.Transport = platform.StallTransport{Transport: transport}
	}
	return client
}

// dialing replaces how a client for calls between entry VMs connects.
func dialing(client *http.Client, dial forward.Dial) *http.Client {
	if transport, ok := client.Transport.(*http.Transport); ok && dial != nil {
		transport.DialContext = dial
	}
	return client
}

func (n *Node) buildDataPath(p *parts, clients *peer.Clients, dial forward.Dial) {
	p.suspects = forward.NewSuspects(forward.SuspectsConfig{
		Self: p.members.Self(), Members: p.members, Peers: clients, Dial: dial, Scope: n.metrics.Scope, Log: n.log,
	})
	p.forward = forward.New(forward.Config{
		Self: p.members.Self(), Limits: n.settings.Limits, Configs: p.configs, Members: p.members,
		Admitter: p.admit, Caps: p.caps, RemoteZones: p.remote, LookupResolver: p.lookups, Leaver: p.leaver,
		Outcomes: forward.NewOutcomes(forward.OutcomesConfig{
			Incarnation: n.incarnation, Started: n.started, Limits: n.settings.Limits, Scope: n.metrics.Scope,
		}),
		Suspects: p.suspects, Retries: forward.NewRetries(p.configs, n.metrics.Scope),
		PeerTLS: p.peerClientTLS(), Dial: dial, Scope: n.metrics.Scope, Log: n.log,
	})
}

// platformAPI returns the platform's client within its call budget.
func (n *Node) platformAPI(given objects.API) (*objects.Budget, error) {
	if given == nil {
		client, err := objects.NewClient(objects.ClientConfig{
			URL: n.settings.Platform.URL, VM: string(n.settings.VM), Zone: string(n.settings.Zone),
			Timeout: n.settings.Platform.Timeout(), Scope: n.metrics.Scope,
		})
		if err != nil {
			return nil, errors.Wrap(err, "node")
		}
		given = client
	}
	return objects.NewBudget(given, objects.BudgetConfig{Scope: n.metrics.Scope}), nil
}

// buildTLS reads the certificates of the listeners that authenticate.
func (n *Node) buildTLS(p *parts) (err error) {
	certificates := n.settings.TLS
	p.peerTLS, err = tlsconf.New(tlsconf.Config{Role: tlsconf.Peer, Field: "tls.peer", Certificates: certificates.Peer,
		Scope: n.metrics.Scope, Logger: n.log})
	if err != nil {
		return err
	}
	p.operatorTLS, err = tlsconf.New(tlsconf.Config{Role: tlsconf.Operator, Field: "tls.operator", Certificates: certificates.Operator,
		Scope: n.metrics.Scope, Logger: n.log})
	return err
}

// peerClientTLS is nil where peers speak plain HTTP.
func (p *parts) peerClientTLS() *tls.Config {
	if p.peerTLS == nil {
		return nil
	}
	return p.peerTLS.Client()
}

// hooks connect the view of the members with the parts that feed on beats.
func (n *Node) hooks(p *parts) member.Hooks {
	return member.Hooks{
		Pools: func() []*peerpb.PoolFact { return p.admit.Pools() },
		OnPools: func(told []*peerpb.PoolFact) {
			p.remote.OnPools(told)
			p.admit.ObservePools(told)
			p.board.note(told, time.Now())
		},
		SuspectRequests:   func() []*peerpb.SuspectFact { return p.suspects.Facts() },
		OnSuspectRequests: func(told []*peerpb.SuspectFact) { p.suspects.MergeFacts(told) },
		ConfigVersion:     func() int64 { return p.configs.Version() },
		OnConfigVersion:   func(address string, version int64) { p.configs.OnConfigVersion(address, version) },
		InFlight:          func() int32 { return int32(p.forward.InFlight()) },
	}
}

// self is this entry VM as others shall know it.
func (n *Node) self() seam.Member {
	bound := n.Addresses()
	return seam.Member{
		VM: n.settings.VM, Incarnation: n.incarnation, Zone: n.settings.Zone, Region: n.settings.Region,
		CallerAddress:   or(n.settings.CallerAdvertise, bound.Caller),
		PeerAddress:     or(n.settings.PeerAdvertise, bound.Peer),
		OperatorAddress: or(n.settings.OperatorAdvertise, bound.Operator),
		State:           seam.MemberLive,
	}
}

func or(given, fallback string) string {
	if given != "" {
		return given
	}
	return fallback
}
