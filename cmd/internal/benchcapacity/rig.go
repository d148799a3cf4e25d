package benchcapacity

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"heatherlock/node/dynamic"
	"heatherlock/node/member"
	"heatherlock/node/seam"
	"heatherlock/node/tlsconf"
	"heatherlock/objects"
	"heatherlock/peer"
	"heatherlock/peer/peerpb"
	standin "heatherlock/standin/platform"
	"heatherlock/steering"
)

// rig is a fleet of entry VMs in this process with their simulated platform.
type rig struct {
	// authority signs the certificates of the members. Members use plain TCP if it is nil.
	authority *tlsconf.Authority
	store     *standin.Store
	vms       []*vm
	bytes     atomic.Int64 // received and sent, counted at the server side of connections
	calls     atomic.Int64
	// payload counts the bytes of encoded messages by method.
	payload [methodCount]atomic.Int64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// vm runs the membership and configuration subsystems of one entry VM.
type vm struct {
	peerpb.Peer // provides the methods that are not overridden here; nil, so calling them panics
	rig         *rig
	members     *member.Members
	configs     *dynamic.Syncer
	server      *http.Server
	clients     *peer.Clients
}

// Numbers of sites, services and targets in the configuration that the fleet distributes.
const (
	sites          = 120
	services       = 4
	targetsPerSite = 4
)

// certificateLifetime is longer than any run.
const certificateLifetime = 24 * time.Hour

// tlsConfigs returns the TLS configurations of the client and server of one member, or nil for plain
// TCP.
func (r *rig) tlsConfigs(name string) (client, server *tls.Config, err error) {
	if r.authority == nil {
		return nil, nil, nil
	}
	certificates, err := r.authority.IssuePeer(name)
	if err != nil {
		return nil, nil, err
	}
	source, err := tlsconf.New(tlsconf.Config{Role: tlsconf.Peer, Field: "tls.peer", Certificates: certificates})
	if err != nil {
		return nil, nil, err
	}
	return source.Client(), source.Server(), nil
}

// serve serves peer requests until the server is closed.
func (v *vm) serve(listener net.Listener) {
	if v.server.TLSConfig != nil {
		_ = v.server.ServeTLS(listener, "", "")
		return
	}
	_ = v.server.Serve(listener)
}

// startInterval is the delay between the starts of two members, so that they do not all start at
// once.
const startInterval = 5 * time.Millisecond

func newRig(ctx context.Context, size Size, plain bool) (*rig, error) {
	r := &rig{store: standin.NewStore(standin.Options{})}
	ctx, r.cancel = context.WithCancel(ctx)
	if !plain {
		var err error
		if r.authority, err = tlsconf.NewAuthority(certificateLifetime); err != nil {
			return r, err
		}
	}
	if err := r.createConfiguration(ctx, size.Zones); err != nil {
		return r, err
	}
	seeds := map[int]string{}
	for i := range size.Nodes {
		zone := i % size.Zones
		address, err := r.start(ctx, i, zone, seeds[zone])
		if err != nil {
			return r, err
		}
		if seeds[zone] == "" {
			seeds[zone] = address
		}
		time.Sleep(startInterval)
	}
	return r, nil
}

// createConfiguration stores the configuration of a deployment with as many sites as the design
// size has.
func (r *rig) createConfiguration(ctx context.Context, zones int) error {
	api := r.store.As("operator", "elsewhere")
	for s := range services {
		if err := create(ctx, api, "Service", fmt.Sprint("service-", s), `{"hosts":["s%d.example"],"timeoutMs":2000}`, s); err != nil {
			return err
		}
	}
	for p := range sites {
		targets := make([]string, targetsPerSite)
		for t := range targets {
			targets[t] = fmt.Sprintf(`{"name":"t-%d-%d","service":"service-%d","address":"10.%d.%d.1:80","slots":4}`, p, t, t%services, p, t)
		}
		list, _ := json.Marshal(rawMessages(targets))
		if err := create(ctx, api, "Place", fmt.Sprint("place-", p), `{"region":"region-0","zone":"zone-%d","targets":%s}`, p%zones, list); err != nil {
			return err
		}
	}
	return nil
}

func rawMessages(texts []string) []json.RawMessage {
	list := make([]json.RawMessage, len(texts))
	for i, text := range texts {
		list[i] = json.RawMessage(text)
	}
	return list
}

// create stores one object whose spec is formatted from format and values.
func create(ctx context.Context, api objects.API, kind, name, format string, values ...any) error {
	value := fmt.Sprintf(`{"kind":%q,"metadata":{"name":%q},"spec":%s}`, kind, name, fmt.Sprintf(format, values...))
	_, err := api.Create(ctx, kind, name, json.RawMessage(value))
	return err
}

// start starts the entry VM with index i and returns its peer address. The VM joins through seed,
// unless seed is empty.
func (r *rig) start(ctx context.Context, i, zone int, seed string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "benchcapacity: listen on loopback")
	}
	address := listener.Addr().String()
	name, zoneName := fmt.Sprintf("vm-%03d", i), fmt.Sprintf("zone-%d", zone)
	var seeds []string
	if seed != "" {
		seeds = []string{seed}
	}
	clientTLS, serverTLS, err := r.tlsConfigs(name)
	if err != nil {
		return "", errors.Wrap(err, "benchcapacity")
	}
	v := &vm{rig: r, clients: peer.NewClients(peer.NewControlClient(clientTLS))}
	api := objects.NewBudget(r.store.As(name, zoneName), objects.BudgetConfig{})
	v.members = member.New(member.Config{
		Self: seam.Member{VM: steering.VM(name), Zone: steering.Zone(zoneName), Region: steering.Region(fmt.Sprint("region-", zone/4)),
			Incarnation: steering.Incarnation(fmt.Sprintf("incarnation-%04d", i)), PeerAddress: address,
			CallerAddress: address, OperatorAddress: address},
		Seeds: seeds, Platform: api, Peers: v.clients,
		Hooks: member.Hooks{
			ConfigVersion:   func() int64 { return v.configs.Version() },
			OnConfigVersion: func(address string, version int64) { v.configs.OnConfigVersion(address, version) },
			Pools:           func() []*peerpb.PoolFact { return poolFacts(i) },
		},
	})
	v.configs, err = dynamic.New(dynamic.Config{Platform: api, Members: v.members, Peer: v.clients.To, Seeds: seeds})
	if err != nil {
		return "", errors.Wrap(err, "benchcapacity")
	}
	r.store.SetVM(objects.VM{Name: name, Zone: zoneName, Region: fmt.Sprint("region-", zone/4), PeerAddress: address,
		CallerAddress: address, OperatorAddress: address, State: objects.VMLive})
	v.server = &http.Server{Handler: r.countCalls(peerpb.NewPeerServer(v)), Protocols: peer.ServerProtocols(), TLSConfig: serverTLS}
	r.vms = append(r.vms, v)
	r.wg.Go(func() { v.serve(countingListener{Listener: listener, bytes: &r.bytes}) })
	r.wg.Go(func() { _ = v.members.Run(ctx) })
	r.wg.Go(func() { _ = v.configs.Run(ctx) })
	return address, nil
}

// poolFacts returns the free capacity of the pools that the entry VM with index i owns. Every second
// VM owns one pool and the others own none.
func poolFacts(i int) []*peerpb.PoolFact {
	const ownersPerPool = 2
	if i%ownersPerPool != 0 {
		return nil
	}
	return []*peerpb.PoolFact{{Place: fmt.Sprint("place-", i%sites), Service: fmt.Sprint("service-", i%services), Free: 3, Slots: 12, InFlight: 9}}
}

// Methods whose payload is counted separately.
const (
	heartbeatMethod = iota
	syncMethod      // a heartbeat with digests, which requests the facts of each bucket that differs
	fetchMethod
	announceMethod
	methodCount
)

var methodNames = [methodCount]string{"beat", "sync", "fetch", "announce"}

func (r *rig) count(method int, messages ...proto.Message) {
	for _, m := range messages {
		r.payload[method].Add(int64(proto.Size(m)))
	}
}

// Beat implements peerpb.Peer.
func (v *vm) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	out, err := v.members.Beat(ctx, in)
	method := heartbeatMethod
	if len(in.Buckets) > 0 {
		method = syncMethod
	}
	v.rig.count(method, in, out)
	return out, err
}

// FetchConfig implements peerpb.Peer.
func (v *vm) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	out, err := v.configs.FetchConfig(ctx, in)
	v.rig.count(fetchMethod, in, out)
	return out, err
}

// Announce implements peerpb.Peer.
func (v *vm) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	out, err := v.configs.Announce(ctx, in)
	v.rig.count(announceMethod, in, out)
	return out, err
}

// stop stops all members and waits until they have ended.
func (r *rig) stop() {
	r.cancel()
	for _, v := range r.vms {
		_ = v.server.Close()
		v.clients.HTTP().CloseIdleConnections()
	}
	r.wg.Wait()
}

func (r *rig) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.calls.Add(1)
		next.ServeHTTP(w, request)
	})
}

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
