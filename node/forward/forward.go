package forward

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/seam"
	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/once"
)

// Config holds the components that the data path depends on. All fields are required except PeerTLS
// and Dial.
type Config struct {
	Self           seam.Member
	Limits         static.Limits
	Configs        seam.Configs
	Members        seam.Members
	Admitter       seam.Admitter
	Caps           seam.CapLimiter
	RemoteZones    seam.RemoteZones
	LookupResolver seam.LookupResolver
	Leaver         seam.Leaver
	Outcomes       Outcomes
	Suspects       Suspects
	Retries        Retries
	// PeerTLS enables TLS for requests handed over to peers; nil means plain HTTP.
	PeerTLS *tls.Config
	// Dial opens connections; nil means a net.Dialer.
	Dial  Dial
	Scope tally.Scope
	Log   log.Logger
}

// Forwarder implements the data path of one entry VM.
type Forwarder struct {
	self     seam.Member
	limits   static.Limits
	configs  seam.Configs
	members  seam.Members
	admitter seam.Admitter
	caps     seam.CapLimiter
	remote   seam.RemoteZones
	looker   seam.LookupResolver
	leaver   seam.Leaver
	outcomes Outcomes
	suspects Suspects
	retries  Retries
	log      log.Logger

	targets       *http.Transport
	peers         *http.Transport
	peerScheme    string
	counters      *counters
	activeTries   activeTries
	local         localIndex
	keyPrefixes   prefixCache
	serial        atomic.Uint64
	roundRobin    atomic.Uint64
	tracedAnswers atomic.Uint64
	openConns     atomic.Int64 // open caller connections

	selfName         string
	selfID           string // prefix of request IDs
	viaValue         string
	incarnationValue []string
}

// New returns a Forwarder. Its handlers may be used until the process ends.
func New(c Config) *Forwarder {
	if c.Dial == nil {
		c.Dial = netDial()
	}
	f := &Forwarder{
		self: c.Self, limits: c.Limits, configs: c.Configs, members: c.Members, admitter: c.Admitter,
		caps: c.Caps, remote: c.RemoteZones, looker: c.LookupResolver, leaver: c.Leaver, outcomes: c.Outcomes,
		suspects: c.Suspects, retries: c.Retries, log: c.Log,
		targets:          targetTransport(c.Dial, c.Limits.ConnectionsPerTarget),
		peers:            peerTransport(c.Dial, c.PeerTLS),
		peerScheme:       "http",
		counters:         newCounters(c.Scope),
		local:            localIndex{zone: c.Self.Zone},
		keyPrefixes:      prefixCache{incarnation: c.Self.Incarnation},
		selfName:         string(c.Self.VM),
		selfID:           string(c.Self.Incarnation) + "-",
		viaValue:         "1.1 " + string(c.Self.VM),
		incarnationValue: []string{string(c.Self.Incarnation)},
	}
	if c.PeerTLS != nil {
		f.peerScheme = "https"
	}
	return f
}

// InFlight returns the number of requests that are in progress.
func (f *Forwarder) InFlight() int { return int(f.counters.inFlightCount.Load()) }

// Close closes the idle connections to targets and peers.
func (f *Forwarder) Close() {
	f.targets.CloseIdleConnections()
	f.peers.CloseIdleConnections()
}

// ServeHTTP serves a request received from a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, origin: originCaller, id: f.newID(), started: time.Now()}
	if info := connInfoOf(r.Context()); info != nil && info.overLimit {
		x.refuseConnection()
		return
	}
	f.serve(x)
}

// ServePeer serves a request that a peer handed over under ForwardPrefix.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, started: time.Now()}
	id, ok := parseID(firstValue(r.Header, headerRequestID))
	x.id = id
	x.place = steering.Place(firstValue(r.Header, headerPlace))
	stripPrefix(r)
	switch hop := firstValue(r.Header, headerHop); {
	case !ok:
		x.id = f.newID()
		x.refuse(badRequest("a handed-over request needs %s", headerRequestID))
		return
	case hop == hopSpillover:
		x.origin = originSpillover
	case hop == hopPeer:
		x.origin = originPeer
	default:
		x.origin = originSpillover
		x.refuse(steering.Refuse(steering.ReasonHopLimit, time.Second, "hop "+hop))
		return
	}
	f.serve(x)
}

func stripPrefix(r *http.Request) {
	r.URL.Path = strings.TrimPrefix(r.URL.Path, ForwardPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, ForwardPrefix)
}

// serve processes one request until its response is complete.
func (f *Forwarder) serve(x *exchange) {
	f.counters.begin()
	defer f.counters.end()
	x.callerID = x.r.Header[targetRequestID]
	refusal := x.identify()
	if refusal == nil {
		x.counters.requests.Inc(1)
		refusal = x.serveWithDeadline()
	}
	if refusal != nil {
		x.logRefusal(refusal)
		x.refuse(refusal)
	} else {
		x.traceAnswer()
	}
	if x.counters != nil {
		x.counters.latency.RecordDuration(time.Since(x.started))
	}
	if x.abort {
		if x.body != nil {
			x.body.interrupt() // otherwise the server first waits for the rest of the body
		}
		x.resetCaller()
		// Panicking is the only way for a handler to abort a connection.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) serveWithDeadline() *steering.Refusal {
	if x.body != nil && !x.body.fullyBuffered {
		// Without full duplex the server reads the rest of the body before it sends an early
		// response.
		_ = x.body.control.EnableFullDuplex()
	}
	x.start(x.r.Context())
	defer func() { x.end() }()
	return x.serve()
}

// prefixCache caches the key prefix of the current minute as a header value.
type prefixCache struct {
	incarnation steering.Incarnation
	current     atomic.Pointer[issuedPrefix]
}

type issuedPrefix struct {
	epoch once.Epoch
	value []string
}

func (c *prefixCache) at(now time.Time) []string {
	epoch := once.EpochAt(now)
	issued := c.current.Load()
	if issued == nil || issued.epoch != epoch {
		issued = &issuedPrefix{epoch: epoch, value: []string{string(once.PrefixAt(c.incarnation, now))}}
		c.current.Store(issued)
	}
	return issued.value
}

// connInfo holds what is known about a caller's connection for its whole lifetime.
type connInfo struct {
	address   netip.Addr
	overLimit bool // over limits.callerConnections
}

type connKey struct{}

func connInfoOf(ctx context.Context) *connInfo {
	info, _ := ctx.Value(connKey{}).(*connInfo)
	return info
}

// ConnContext registers a new caller connection. It is meant for http.Server.ConnContext.
func (f *Forwarder) ConnContext(ctx context.Context, c net.Conn) context.Context {
	info := &connInfo{overLimit: f.openConns.Add(1) > int64(f.limits.CallerConnections)}
	if parsed, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		info.address = parsed.Addr().Unmap()
	}
	return context.WithValue(WithConn(ctx, c), connKey{}, info)
}

// netConnKey is the context key of the connection on which a request came.
type netConnKey struct{}

// WithConn makes the connection of requests known to the data path, which resets it to break a response off. It is meant
// for http.Server.ConnContext of a listener whose requests go to ServePeer; ConnContext includes it.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, netConnKey{}, c)
}

// netConn returns the connection of the request if nothing else uses it at the same time, or nil.
func (x *exchange) netConn() net.Conn {
	c, ok := x.r.Context().Value(netConnKey{}).(net.Conn)
	if !ok || x.r.ProtoMajor != 1 {
		return nil
	}
	return c
}

// resetCaller resets the caller's connection. The server would close it in order, which is the end of a response that has
// neither a length nor chunks.
func (x *exchange) resetCaller() {
	if c := x.netConn(); c != nil {
		buffering.Reset(c)
	}
}

// ConnState tracks the end of caller connections. It is meant for http.Server.ConnState.
func (f *Forwarder) ConnState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		f.openConns.Add(-1)
	}
}

// refuseConnection refuses a request on a connection over the limit and closes the connection. If
// the connection were left waiting to be accepted, its caller would learn nothing.
func (x *exchange) refuseConnection() {
	x.w.Header().Set("Connection", "close")
	x.refuse(steering.Refuse(steering.ReasonTooManyConnections, connectionRetry, "limits.callerConnections is reached"))
}
