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
	"heatherlock/responses"
	"heatherlock/steering/lookup"
)

// components holds the components of a daemon. They refer to each other through the interfaces in
// package seam. A component that needs one that is built later reaches it through a hook, which
// runs only after all components are built.
type components struct {
	platform   *objects.Budget
	members    *member.Members
	remote     *member.RemoteZones
	configs    *dynamic.Syncer
	lookups    *lookups.Lookups
	admit      *admit.Controller
	suspects   *forward.RegionSuspects
	caps       *capshare.Caps
	shifts     *shiftdriver.Driver
	stops      *drain.Watch
	forward    *forward.Forwarder
	operator   *operator.Server
	leaveState *leaveState
	poolFacts  *poolCache
	clients    []*http.Client // their idle connections are closed with the daemon

	// peerTLS and operatorTLS are nil if the settings give no certificates for the listener.
	peerTLS     *tlsconf.Source
	operatorTLS *tlsconf.Source
}

// close closes idle connections.
func (p *components) close() {
	p.forward.Close()
	for _, client := range p.clients {
		client.CloseIdleConnections()
	}
}

// isZoneReader reports whether this entry VM is the one that reads the platform for its zone.
func (p *components) isZoneReader() bool {
	_, isZoneReader := p.configs.Leader()
	return isZoneReader
}

// build builds the components of a daemon whose listeners are bound.
func (n *Node) build(options Options) (*components, error) {
	p := &components{leaveState: &leaveState{}, poolFacts: newPoolCache()}
	var err error
	if p.platform, err = n.platformAPI(options.Platform); err != nil {
		return nil, err
	}
	if err = n.buildTLS(p); err != nil {
		return nil, errors.Wrap(err, "node")
	}
	// Acquire calls wait in the queue of the pool's owner. They have their own HTTP client, because
	// they would delay heartbeats on a shared connection.
	calls := withStallTimeout(withDial(peer.NewControlClient(p.peerClientTLS()), options.Dial))
	acquires := withDial(peer.NewHTTPClient(p.peerClientTLS()), options.Dial)
	if transport, ok := acquires.Transport.(*responses.Transport); ok {
		transport.Unwrap().MaxConnsPerHost = admit.MaxAcquireCalls
	}
	loads := loadClient(options.Dial)
	p.clients = []*http.Client{calls, acquires, loads}
	clients := peer.NewClients(calls)
	p.members = member.New(member.Config{
		Self: n.self(), Started: n.started, Seeds: n.settings.Seeds, Platform: p.platform, Peers: clients,
		Hooks: n.hooks(p), Scope: n.metrics.Scope, Logger: n.log,
	})
	if err := n.buildConfiguration(p, clients); err != nil {
		return nil, err
	}
	p.admit = admit.New(admit.Config{
		Members: p.members, Configs: p.configs, Peers: clients, AcquirePeers: peer.NewClients(acquires),
		Loads: admit.HTTPLoadReader{Client: loads}, Scope: n.metrics.Scope, Log: n.log,
	})
	if err := n.buildTrafficControl(p, clients); err != nil {
		return nil, errors.Wrap(err, "node")
	}
	n.buildDataPath(p, clients, options.Dial)
	p.operator, err = operator.New(operator.Config{
		VM: string(n.settings.VM), Zone: string(n.settings.Zone), Platform: p.platform, Runtime: &runtimeInfo{node: n, components: p},
		Tokens: operatorTokens(n.settings), Log: n.log, Scope: n.metrics.Scope,
	})
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	return p, nil
}

// buildConfiguration builds the components that distribute the configuration, track other zones and
// answer look-ups.
func (n *Node) buildConfiguration(p *components, clients *peer.Clients) (err error) {
	p.configs, err = dynamic.New(dynamic.Config{
		Platform: p.platform, Members: p.members, Peer: clients.To, Seeds: n.settings.Seeds,
		StatusContents: (&runtimeInfo{node: n, components: p}).zoneStatus, Scope: n.metrics.Scope, Log: n.log,
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

// buildTrafficControl builds the components that move traffic: caps, shifts and planned stops.
func (n *Node) buildTrafficControl(p *components, clients *peer.Clients) (err error) {
	p.caps, err = capshare.New(capshare.Config{
		Configs: p.configs, Members: p.members, Platform: p.platform, Peer: clients.To,
		IsZoneReader: p.isZoneReader, ConfirmedSincePause: p.members.ConfirmedSincePause, Scope: n.metrics.Scope, Log: n.log,
	})
	if err != nil {
		return err
	}
	info := &runtimeInfo{node: n, components: p}
	p.shifts, err = shiftdriver.New(shiftdriver.Config{
		Configs: p.configs, Members: p.members, Platform: p.platform, Leader: p.configs.Leader,
		Pools: info.shiftPools, CapRefusals: p.caps.Refused, TTL: lookup.DefaultTTL,
		Scope: n.metrics.Scope, Log: n.log,
	})
	if err != nil {
		return err
	}
	p.stops, err = drain.New(drain.Config{
		Configs: p.configs, IsZoneReader: p.isZoneReader, Remaining: info.remainingWork, Scope: n.metrics.Scope, Log: n.log,
	})
	return err
}

// loadTimeout bounds a request that reads a target's load.
const loadTimeout = time.Second

func loadClient(dial forward.Dial) *http.Client {
	return &http.Client{Timeout: loadTimeout, Transport: responses.NewTransport(&http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout})}
}

// withStallTimeout wraps the client's transport so that a call whose context carries a
// responses.StallTimeout may take longer than its timeout while its response keeps arriving.
func withStallTimeout(client *http.Client) *http.Client {
	if transport, ok := client.Transport.(*http.Transport); ok {
		client.Transport = responses.StallTransport{Transport: transport}
	}
	return client
}

// withDial makes a client for calls between entry VMs connect with dial, unless dial is nil.
func withDial(client *http.Client, dial forward.Dial) *http.Client {
	if dial == nil {
		return client
	}
	switch transport := client.Transport.(type) {
	case *http.Transport:
		transport.DialContext = dial
	case *responses.Transport:
		transport.SetDial(dial)
	}
	return client
}

func (n *Node) buildDataPath(p *components, clients *peer.Clients, dial forward.Dial) {
	p.suspects = forward.NewSuspects(forward.SuspectsConfig{
		Self: p.members.Self(), Members: p.members, Peers: clients, Dial: dial, Scope: n.metrics.Scope, Log: n.log,
	})
	p.forward = forward.New(forward.Config{
		Self: p.members.Self(), Limits: n.settings.Limits, Configs: p.configs, Members: p.members,
		Admitter: p.admit, Caps: p.caps, RemoteZones: p.remote, LookupResolver: p.lookups, Leaver: p.leaveState,
		Outcomes: forward.NewOutcomes(forward.OutcomesConfig{
			Incarnation: n.incarnation, Started: n.started, Limits: n.settings.Limits, Scope: n.metrics.Scope,
		}),
		Suspects: p.suspects, Retries: forward.NewRetries(p.configs, n.metrics.Scope),
		PeerTLS: p.peerClientTLS(), Dial: dial, Scope: n.metrics.Scope, Log: n.log,
	})
}

// platformAPI returns the platform client, wrapped in rate limits and backoff. The client is given,
// or is created from the settings if given is nil.
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

// buildTLS loads the certificates of the peer and operator listeners from the settings.
func (n *Node) buildTLS(p *components) (err error) {
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

// peerClientTLS returns the TLS configuration for calls to peers, or nil if peers use plain HTTP.
func (p *components) peerClientTLS() *tls.Config {
	if p.peerTLS == nil {
		return nil
	}
	return p.peerTLS.Client()
}

// hooks connects the membership component with the components whose state heartbeats carry.
func (n *Node) hooks(p *components) member.Hooks {
	return member.Hooks{
		Pools: func() []*peerpb.PoolFact { return p.admit.Pools() },
		OnPools: func(received []*peerpb.PoolFact) {
			p.remote.OnPools(received)
			p.admit.ObservePools(received)
			p.poolFacts.update(received, time.Now())
		},
		SuspectRequests:   func() []*peerpb.SuspectFact { return p.suspects.Facts() },
		OnSuspectRequests: func(received []*peerpb.SuspectFact) { p.suspects.MergeFacts(received) },
		ConfigVersion:     func() int64 { return p.configs.Version() },
		OnConfigVersion:   func(address string, version int64) { p.configs.OnConfigVersion(address, version) },
		InFlight:          func() int32 { return int32(p.forward.InFlight()) },
	}
}

// self returns the member that this entry VM announces itself as.
func (n *Node) self() seam.Member {
	bound := n.Addresses()
	return seam.Member{
		VM: n.settings.VM, Incarnation: n.incarnation, Zone: n.settings.Zone, Region: n.settings.Region,
		CallerAddress:   firstNonEmpty(n.settings.CallerAdvertise, bound.Caller),
		PeerAddress:     firstNonEmpty(n.settings.PeerAdvertise, bound.Peer),
		OperatorAddress: firstNonEmpty(n.settings.OperatorAdvertise, bound.Operator),
		State:           seam.MemberLive,
	}
}

func firstNonEmpty(given, fallback string) string {
	if given != "" {
		return given
	}
	return fallback
}
