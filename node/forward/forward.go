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

	"heatherlock/node/seam"
	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/once"
)

// Config holds the parts that the data path asks. All are needed except
// PeerTLS and Dial.
type Config struct {
	Self     seam.Member
	Limits   static.Limits
	Configs  seam.Configs
	Members  seam.Members
	Admitter seam.Admitter
	Caps     seam.CapGate
	Remote   seam.Remote
	Looker   seam.Looker
	Leaver   seam.Leaver
	Outcomes Outcomes
	Suspects Suspects
	Retries  Retries
	// PeerTLS makes hand-overs to peers use TLS.
	PeerTLS *tls.Config
	// Dial defaults to a net.Dialer.
	Dial  Dial
	Scope tally.Scope
	Log   log.Logger
}

// Forwarder serves the data path of one entry VM.
type Forwarder struct {
	self     seam.Member
	limits   static.Limits
	configs  seam.Configs
	members  seam.Members
	admitter seam.Admitter
	caps     seam.CapGate
	remote   seam.Remote
	looker   seam.Looker
	leaver   seam.Leaver
	outcomes Outcomes
	suspects Suspects
	retries  Retries
	log      log.Logger

	targets    *http.Transport
	peers      *http.Transport
	peerScheme string
	counters   *counters
	flights    flights
	local      localIndex
	prefixes   prefixCache
	serial     atomic.Uint64
	turn       atomic.Uint64
	traced     atomic.Uint64
	open       atomic.Int64 // caller connections

	selfName         string
	selfID           string // start of request ids
	viaValue         string
	incarnationValue []string
}

// New returns a data path. Its handlers serve until the process ends.
func New(c Config) *Forwarder {
	if c.Dial == nil {
		c.Dial = netDial()
	}
	f := &Forwarder{
		self: c.Self, limits: c.Limits, configs: c.Configs, members: c.Members, admitter: c.Admitter,
		caps: c.Caps, remote: c.Remote, looker: c.Looker, leaver: c.Leaver, outcomes: c.Outcomes,
		suspects: c.Suspects, retries: c.Retries, log: c.Log,
		targets:          targetTransport(c.Dial, c.Limits.ConnectionsPerTarget),
		peers:            peerTransport(c.Dial, c.PeerTLS),
		peerScheme:       "http",
		counters:         newCounters(c.Scope),
		local:            localIndex{zone: c.Self.Zone},
		prefixes:         prefixCache{incarnation: c.Self.Incarnation},
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

// InFlight returns the number of requests carried now.
func (f *Forwarder) InFlight() int { return int(f.counters.carried.Load()) }

// Close drops idle connections to targets and peers.
func (f *Forwarder) Close() {
	f.targets.CloseIdleConnections()
	f.peers.CloseIdleConnections()
}

// ServeHTTP serves a request that came from a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, origin: fromCaller, id: f.newID(), started: time.Now()}
	if info := infoOf(r.Context()); info != nil && info.excess {
		x.refuseConnection()
		return
	}
	f.serve(x)
}

// ServePeer serves a request that a peer handed over under ForwardPrefix.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	x := &exchange{f: f, w: w, r: r, started: time.Now()}
	id, ok := parseID(first(r.Header, headerRequestID))
	x.id = id
	x.place = steering.Place(first(r.Header, headerPlace))
	stripPrefix(r)
	switch hop := first(r.Header, headerHop); {
	case !ok:
		x.id = f.newID()
		x.refuse(badRequest("a handed-over request needs %s", headerRequestID))
		return
	case hop == hopZone:
		x.origin = fromZone
	case hop == hopHome:
		x.origin = fromHome
	default:
		x.origin = fromZone
		x.refuse(steering.Refuse(steering.ReasonHopLimit, time.Second, "hop "+hop))
		return
	}
	f.serve(x)
}

func stripPrefix(r *http.Request) {
	r.URL.Path = strings.TrimPrefix(r.URL.Path, ForwardPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, ForwardPrefix)
}

// serve takes one request from its header to its answer.
func (f *Forwarder) serve(x *exchange) {
	f.counters.begin()
	defer f.counters.end()
	x.callerID = x.r.Header[targetRequestID]
	refusal := x.identify()
	if refusal == nil {
		x.counters.requests.Inc(1)
		refusal = x.serveInTime()
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
			x.body.interrupt() // else the server waits for the rest of it first
		}
		// The only way to break a connection off from a handler.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) serveInTime() *steering.Refusal {
	if x.body != nil && !x.body.ahead {
		// Without this the server reads the rest of the body before it sends
		// an answer that comes early.
		_ = x.body.control.EnableFullDuplex()
	}
	x.start(x.r.Context())
	defer func() { x.end() }()
	return x.serve()
}

// prefixCache keeps the key prefix of the present minute as a header value.
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

// connInfo is what is known of a caller's connection for its whole life.
type connInfo struct {
	address netip.Addr
	excess  bool // over limits.callerConnections
}

type connKey struct{}

func infoOf(ctx context.Context) *connInfo {
	info, _ := ctx.Value(connKey{}).(*connInfo)
	return info
}

// ConnContext notes a new caller connection; it goes into http.Server.
func (f *Forwarder) ConnContext(ctx context.Context, c net.Conn) context.Context {
	info := &connInfo{excess: f.open.Add(1) > int64(f.limits.CallerConnections)}
	if parsed, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		info.address = parsed.Addr().Unmap()
	}
	return context.WithValue(ctx, connKey{}, info)
}

// ConnState follows the end of caller connections; it goes into http.Server.
func (f *Forwarder) ConnState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		f.open.Add(-1)
	}
}

// refuseConnection answers on a connection over the bound and closes it. A
// connection that just waited to be accepted would tell its caller nothing.
func (x *exchange) refuseConnection() {
	x.w.Header().Set("Connection", "close")
	x.refuse(steering.Refuse(steering.ReasonConnections, connectionRetry, "limits.callerConnections is reached"))
}
