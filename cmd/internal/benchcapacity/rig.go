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

// rig is a fleet of members in this process.
type rig struct {
	// authority signs the members' certificates; nil means plain TCP.
	authority *tlsconf.Authority
	store     *standin.Store
	vms       []*vm
	bytes     atomic.Int64 // in and out, counted where they are served
	calls     atomic.Int64
	// payload counts the messages' own bytes per method.
	payload [methods]atomic.Int64
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// vm is one entry VM's membership and configuration.
type vm struct {
	peerpb.Peer // answers the calls that are not measured here
	rig         *rig
	members     *member.Members
	configs     *dynamic.Syncer
	server      *http.Server
	clients     *peer.Clients
}

// Sites and services of the configuration that is spread.
const (
	sites          = 120
	services       = 4
	targetsPerSite = 4
)

// certificateLife outlasts a run.
const certificateLife = 24 * time.Hour

// secure returns the TLS configurations of one member's client and server.
func (r *rig) secure(name string) (client, server *tls.Config, err error) {
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

// serve answers peers until the server is closed.
func (v *vm) serve(listener net.Listener) {
	if v.server.TLSConfig != nil {
		_ = v.server.ServeTLS(listener, "", "")
		return
	}
	_ = v.server.Serve(listener)
}

// startGap spreads the starts of the members.
const startGap = 5 * time.Millisecond

func newRig(ctx context.Context, size Size, plain bool) (*rig, error) {
	r := &rig{store: standin.NewStore(standin.Options{})}
	ctx, r.cancel = context.WithCancel(ctx)
	if !plain {
		var err error
		if r.authority, err = tlsconf.NewAuthority(certificateLife); err != nil {
			return r, err
		}
	}
	if err := r.declare(ctx, size.Zones); err != nil {
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
		time.Sleep(startGap)
	}
	return r, nil
}

// declare stores the configuration of a deployment with the design's sites.
func (r *rig) declare(ctx context.Context, zones int) error {
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
		list, _ := json.Marshal(rawList(targets))
		if err := create(ctx, api, "Place", fmt.Sprint("place-", p), `{"region":"region-0","zone":"zone-%d","targets":%s}`, p%zones, list); err != nil {
			return err
		}
	}
	return nil
}

func rawList(texts []string) []json.RawMessage {
	list := make([]json.RawMessage, len(texts))
	for i, text := range texts {
		list[i] = json.RawMessage(text)
	}
	return list
}

// create retries while the stand-in's write rate holds it back.
func create(ctx context.Context, api objects.API, kind, name, format string, values ...any) error {
	value := fmt.Sprintf(`{"kind":%q,"metadata":{"name":%q},"spec":%s}`, kind, name, fmt.Sprintf(format, values...))
	_, err := api.Create(ctx, kind, name, json.RawMessage(value))
	return err
}

// start starts one entry VM and returns its peer address.
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
	clientTLS, serverTLS, err := r.secure(name)
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
			Pools:           func() []*peerpb.PoolFact { return pools(i) },
		},
	})
	v.configs, err = dynamic.New(dynamic.Config{Platform: api, Members: v.members, Peer: v.clients.To, Seeds: seeds})
	if err != nil {
		return "", errors.Wrap(err, "benchcapacity")
	}
	r.store.SetVM(objects.VM{Name: name, Zone: zoneName, Region: fmt.Sprint("region-", zone/4), PeerAddress: address,
		CallerAddress: address, OperatorAddress: address, State: objects.VMLive})
	v.server = &http.Server{Handler: r.counted(peerpb.NewPeerServer(v)), Protocols: peer.ServerProtocols(), TLSConfig: serverTLS}
	r.vms = append(r.vms, v)
	r.wg.Go(func() { v.serve(countedListener{Listener: listener, bytes: &r.bytes}) })
	r.wg.Go(func() { _ = v.members.Run(ctx) })
	r.wg.Go(func() { _ = v.configs.Run(ctx) })
	return address, nil
}

// pools is the headroom of the pools that an entry VM owns: one in a few.
func pools(i int) []*peerpb.PoolFact {
	const ownersPerPool = 2
	if i%ownersPerPool != 0 {
		return nil
	}
	return []*peerpb.PoolFact{{Place: fmt.Sprint("place-", i%sites), Service: fmt.Sprint("service-", i%services), Free: 3, Slots: 12, InFlight: 9}}
}

// Methods whose payload is counted apart.
const (
	beatMethod = iota
	syncMethod // a beat that asks for whole facts
	fetchMethod
	announceMethod
	methods
)

var methodNames = [methods]string{"beat", "sync", "fetch", "announce"}

func (r *rig) count(method int, messages ...proto.Message) {
	for _, m := range messages {
		r.payload[method].Add(int64(proto.Size(m)))
	}
}

// Beat implements peerpb.Peer.
func (v *vm) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	out, err := v.members.Beat(ctx, in)
	method := beatMethod
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

// stop ends every member.
func (r *rig) stop() {
	r.cancel()
	for _, v := range r.vms {
		_ = v.server.Close()
		v.clients.HTTP().CloseIdleConnections()
	}
	r.wg.Wait()
}

func (r *rig) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.calls.Add(1)
		next.ServeHTTP(w, request)
	})
}

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
