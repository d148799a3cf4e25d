package node

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/net/netutil"

	"heatherlock/node/static"
	"heatherlock/node/tlsconf"
	"heatherlock/peer"
)

// Limits of the operator and peer listeners, which only known programs use.
const (
	controlHeaderBytes   = 64 << 10
	controlHeaderTimeout = 5 * time.Second
	idleTimeout          = 90 * time.Second
)

// Addresses are the addresses that a daemon's listeners were bound to.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// listeners are bound before anything else starts, so that the daemon's own
// addresses are known to the parts that advertise them.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// listenFunc opens a listener as net.Listen does.
type listenFunc func(network, address string) (net.Listener, error)

func listen(s static.Settings, open listenFunc) (*listeners, error) {
	l := &listeners{}
	var err error
	if l.caller, err = bind(open, "callerListen", s.CallerListen); err != nil {
		return nil, err
	}
	if l.peer, err = bind(open, "peerListen", s.PeerListen); err != nil {
		l.close()
		return nil, err
	}
	if l.operator, err = bind(open, "operatorListen", s.OperatorListen); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func bind(open listenFunc, field, address string) (net.Listener, error) {
	l, err := open("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "node: listen on %s; choose a free address of this VM", field)
	}
	return l, nil
}

func (l *listeners) addresses() Addresses {
	return Addresses{
		Caller:   l.caller.Addr().String(),
		Peer:     l.peer.Addr().String(),
		Operator: l.operator.Addr().String(),
	}
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.caller, l.peer, l.operator} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// serve runs a server until it is shut down. Each listener has its own bound
// on connections: a flood of callers then leaves peers and operators theirs.
func serve(server *http.Server, listener net.Listener, connections int) error {
	limited := netutil.LimitListener(listener, connections)
	serveOn := server.Serve
	if server.TLSConfig != nil {
		serveOn = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
	}
	err := serveOn(limited)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// newServers makes the servers of a daemon's listeners.
func (n *Node) newServers() *servers {
	data := n.parts.forward
	logs := quietLog(n.log)
	return &servers{
		caller: &http.Server{
			Handler:     callerHandler(n.parts),
			ConnContext: data.ConnContext,
			ConnState:   data.ConnState,
			// The bound of the settings is checked by the data path, which can
			// say so; the server's own answer could not.
			MaxHeaderBytes:               2 * n.settings.Limits.HeaderBytes,
			ReadHeaderTimeout:            n.settings.Limits.HeaderTimeout(),
			IdleTimeout:                  idleTimeout,
			DisableGeneralOptionsHandler: true,
			ErrorLog:                     logs,
		},
		peer:     controlServer(peerHandler(n.parts), n.parts.peerTLS, logs),
		operator: controlServer(n.operatorHandler(), n.parts.operatorTLS, logs),
	}
}

// controlServer serves a listener that only known programs use, with TLS where
// certificates are set.
func controlServer(handler http.Handler, certificates *tlsconf.Source, logs *stdlog.Logger) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    controlHeaderBytes,
		ErrorLog:          logs,
	}
	server.Protocols = peer.ServerProtocols()
	if certificates != nil {
		server.TLSConfig = certificates.Server()
	}
	return server
}

// quietLog turns the server's complaints about single connections into debug
// lines.
func quietLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
}

// shutdown closes idle connections and waits for busy ones until ctx ends.
func shutdown(ctx context.Context, servers ...*http.Server) error {
	var failed error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}
