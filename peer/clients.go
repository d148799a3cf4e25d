package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/peer/peerpb"
	"heatherlock/responses"
)

const (
	// dialTimeout bounds the time to connect to a peer, and that of a TLS handshake. The round trip
	// to a peer takes at most tens of milliseconds.
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// maxConnsPerPeer bounds the connections to one peer. Calls beyond it wait for a connection.
	maxConnsPerPeer  = 16
	idleConnsPerPeer = 4
	// maxIdleConns bounds the idle connections over all peers.
	maxIdleConns = 256
	// maxClients bounds the cache of clients, which grows because replacement entry VMs have new
	// addresses.
	maxClients = 4096
)

// NewHTTPClient returns an HTTP/1.1 client for calls between entry VMs, with a bounded number of
// connections to each peer. A nil tlsConfig means plain TCP.
func NewHTTPClient(tlsConfig *tls.Config) *http.Client {
	return &http.Client{
		Transport: responses.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			MaxConnsPerHost:     maxConnsPerPeer,
			MaxIdleConnsPerHost: idleConnsPerPeer,
			MaxIdleConns:        maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true, // avoids an Accept-Encoding header on small messages
		}),
	}
}

const (
	// pingIdleTime is the time without received data after which the client pings a connection,
	// and pingTimeout the time after which it closes a connection that does not answer. Without
	// the pings, calls would use a connection broken by a network partition until TCP gives up,
	// minutes after the partition has healed, and members would stay suspect for that long.
	pingIdleTime = 10 * time.Second
	pingTimeout  = 2 * time.Second
)

// NewControlClient returns a client for the small, frequent calls of the control loops. It uses
// HTTP/2, with prior knowledge if tlsConfig is nil: the compressed headers are a fifth of the size
// of those of HTTP/1.1, which made up more than a third of the bytes sent. Use NewHTTPClient where
// throughput matters.
func NewControlClient(tlsConfig *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			Protocols:           protocols,
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
			MaxIdleConns:        maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// ServerProtocols returns the protocols that a peer listener must support: HTTP/1.1, and HTTP/2
// with and without TLS.
func ServerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Clients caches one RPC client per peer address. It is safe for concurrent use.
type Clients struct {
	http   *http.Client
	scheme string

	mu        sync.Mutex
	byAddress map[string]peerpb.Peer
}

// NewClients returns an empty cache over httpClient, or over
// NewHTTPClient(nil) when it is nil. Calls use https when the client's
// transport has a TLS configuration.
func NewClients(httpClient *http.Client) *Clients {
	if httpClient == nil {
		httpClient = NewHTTPClient(nil)
	}
	return &Clients{http: httpClient, scheme: schemeOf(httpClient), byAddress: map[string]peerpb.Peer{}}
}

func schemeOf(client *http.Client) string {
	transport, ok := client.Transport.(*http.Transport)
	if wrapped, isWrapped := client.Transport.(interface{ Unwrap() *http.Transport }); isWrapped {
		transport, ok = wrapped.Unwrap(), true
	}
	if ok && transport.TLSClientConfig != nil {
		return "https"
	}
	return "http"
}

// To returns the RPC client for the peer listener at address, which has the form host:port.
func (c *Clients) To(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddress[address]; ok {
		return client
	}
	if len(c.byAddress) >= maxClients {
		clear(c.byAddress)
	}
	client := peerpb.NewPeerProtobufClient(c.BaseURL(address), c.http)
	c.byAddress[address] = client
	return client
}

// BaseURL returns the URL of the peer listener at address, without a path.
func (c *Clients) BaseURL(address string) string { return c.scheme + "://" + address }

// HTTP returns the underlying HTTP client, for requests that are forwarded to a peer.
func (c *Clients) HTTP() *http.Client { return c.http }

// DialFailed reports whether a call failed while connecting. No byte of it was sent then, which
// proves that the peer did not run it.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
