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

	"heatherlock/node/forward"
	"heatherlock/node/static"
	"heatherlock/node/tlsconf"
	"heatherlock/peer"
)

// Limits of the operator and peer listeners, which serve only heatherlock's own clients and those
// of operators.
const (
	controlHeaderBytes   = 64 << 10
	controlHeaderTimeout = 5 * time.Second
	idleTimeout          = 90 * time.Second
)

// Addresses holds the host:port addresses to which a daemon's listeners are bound.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
}

// listeners holds the daemon's listeners. They are bound before anything else starts, because some
// components advertise their addresses.
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

// serve runs a server until it is shut down. Each listener has its own limit on connections, so
// that a flood of caller connections does not affect peers and operators.
func serve(server *http.Server, listener net.Listener, maxConns int) error {
	limited := limitListener(listener, maxConns)
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

// limitListener accepts at most maxConns connections at a time from a listener. Unlike those of netutil, its connections have
// a method NetConn, so that the data path can reset the TCP connection to break a response off.
func limitListener(listener net.Listener, maxConns int) net.Listener {
	inner := &lastAccepted{Listener: listener}
	return revealingListener{Listener: netutil.LimitListener(inner, maxConns), inner: inner}
}

// lastAccepted remembers the connection that was accepted last, which netutil hides. One is enough, as a server accepts from
// one goroutine.
type lastAccepted struct {
	net.Listener
	conn net.Conn
}

func (l *lastAccepted) Accept() (c net.Conn, err error) {
	l.conn, err = l.Listener.Accept()
	return l.conn, err
}

// revealingListener pairs each limited connection with the accepted one.
type revealingListener struct {
	net.Listener
	inner *lastAccepted
}

func (l revealingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return revealedConn{Conn: c, accepted: l.inner.conn}, nil
}

// revealedConn is a limited connection that gives access to the accepted one.
type revealedConn struct {
	net.Conn
	accepted net.Conn
}

// NetConn returns the accepted connection.
func (c revealedConn) NetConn() net.Conn { return c.accepted }

// newServers returns the HTTP servers for the daemon's listeners.
func (n *Node) newServers() *servers {
	forwarder := n.components.forward
	errorLog := debugErrorLog(n.log)
	return &servers{
		caller: &http.Server{
			Handler:     callerHandler(n.components),
			ConnContext: forwarder.ConnContext,
			ConnState:   forwarder.ConnState,
			// The data path enforces limits.headerBytes and names it in its response, which
			// net/http's own response to a large header does not. The server's limit is therefore
			// higher.
			MaxHeaderBytes:               2 * n.settings.Limits.HeaderBytes,
			ReadHeaderTimeout:            n.settings.Limits.HeaderTimeout(),
			IdleTimeout:                  idleTimeout,
			DisableGeneralOptionsHandler: true,
			ErrorLog:                     errorLog,
		},
		peer:     controlServer(peerHandler(n.components), n.components.peerTLS, errorLog),
		operator: controlServer(n.operatorHandler(), n.components.operatorTLS, errorLog),
	}
}

// controlServer returns the server for the operator or the peer listener. It uses TLS unless
// certificates is nil.
func controlServer(handler http.Handler, certificates *tlsconf.Source, errorLog *stdlog.Logger) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    controlHeaderBytes,
		ErrorLog:          errorLog,
	}
	server.ConnContext = forward.WithConn
	server.Protocols = peer.ServerProtocols()
	if certificates != nil {
		server.TLSConfig = certificates.Server()
	}
	return server
}

// debugErrorLog returns a logger that writes an HTTP server's errors, which mostly concern single
// connections, at the debug level.
func debugErrorLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(logger)), "", 0)
}

// shutdown shuts the servers down one after the other: it closes idle connections and waits for the
// active ones until ctx is done. It returns the first error.
func shutdown(ctx context.Context, servers ...*http.Server) error {
	var firstErr error
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}
