package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/peer/peerpb"
)

const (
	// dialTimeout bounds a new connection; peers are at most tens of
	// milliseconds away.
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// connectionsPerPeer bounds connections to one peer. More calls wait.
	connectionsPerPeer = 16
	idlePerPeer        = 4
	// maxIdle bounds kept connections over all peers.
	maxIdle = 256
	// maxClients bounds the cache: replaced entry VMs come with new addresses.
	maxClients = 4096
)

// NewHTTPClient returns a client with bounded connections for calls between
// entry VMs; a nil tlsConfig means plain TCP.
func NewHTTPClient(tlsConfig *tls.Config) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: dialTimeout,
			MaxConnsPerHost:     connectionsPerPeer,
			MaxIdleConnsPerHost: idlePerPeer,
			MaxIdleConns:        maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true, // saves a header on small messages
		},
	}
}

const (
	// pingAfter and pingTimeout find a connection that a cut left dead. What
	// can go wrong: calls go on into it until TCP gives up, minutes after the
	// cut has healed. One would notice members that stay suspect.
	pingAfter   = 10 * time.Second
	pingTimeout = 2 * time.Second
)

// NewControlClient returns a client for the small and steady calls of control.
// It speaks HTTP/2, with prior knowledge where there is no TLS: its compressed
// headers are a fifth of those of HTTP/1.1, which were more than a third of
// the bytes. Use NewHTTPClient where throughput matters.
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
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
			MaxIdleConns:        maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// ServerProtocols are what the peer listener must speak.
func ServerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Clients caches one client per peer address. It is safe for concurrent use.
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
	if wrapped, is := client.Transport.(interface{ Unwrap() *http.Transport }); is {
		transport, ok = wrapped.Unwrap(), true
	}
	if ok && transport.TLSClientConfig != nil {
		return "https"
	}
	return "http"
}

// To returns the client for a peer listener's address, host:port.
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

// BaseURL returns the URL of a peer's listener.
func (c *Clients) BaseURL(address string) string { return c.scheme + "://" + address }

// HTTP returns the HTTP client underneath, for requests that are handed over.
func (c *Clients) HTTP() *http.Client { return c.http }

// DialFailed tells whether a call failed before a byte of it left, which
// proves that the peer did nothing.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
