package static

import (
	"time"

	"heatherlock/steering"
)

// Settings contains a daemon's settings.
type Settings struct {
	// VM names this entry VM as the platform's list does.
	VM steering.VM `json:"vm" check:"required"`
	// Zone is the availability zone that it runs in.
	Zone steering.Zone `json:"zone" check:"required"`
	// Region is the region of the zone.
	Region steering.Region `json:"region" check:"required"`

	// CallerListen is the IP:port for callers; port 0 takes a free port.
	CallerListen string `json:"callerListen" check:"required"`
	// PeerListen is the IP:port for other entry VMs; port 0 takes a free port.
	PeerListen string `json:"peerListen" check:"required"`
	// OperatorListen is the IP:port for operators; port 0 takes a free port.
	OperatorListen string `json:"operatorListen" check:"required"`
	// CallerAdvertise is the IP:port given to callers; empty means the bound address.
	CallerAdvertise string `json:"callerAdvertise"`
	// PeerAdvertise is the IP:port given to other entry VMs; empty means the bound address.
	PeerAdvertise string `json:"peerAdvertise"`
	// OperatorAdvertise is the IP:port given to operators; empty means the bound address.
	OperatorAdvertise string `json:"operatorAdvertise"`

	Platform       Platform        `json:"platform" check:"required"`
	Seeds          []string        `json:"seeds"` // peer addresses to ask before the platform answers
	Log            Log             `json:"log"`
	TLS            TLS             `json:"tls"`
	OperatorTokens []OperatorToken `json:"operatorTokens"`
	Limits         Limits          `json:"limits"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// URL is the base of the object API, http or https.
	URL string `json:"url" check:"required"`
	// TimeoutMs bounds each call; a watch may take its wait in addition.
	TimeoutMs int `json:"timeoutMs"`
}

// Timeout returns the timeout of a call that isn't a watch.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Log configures the log.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// TLS holds the certificates of the peer and operator listeners. Callers' connections aren't
// authenticated with certificates.
type TLS struct {
	Peer     Certificates `json:"peer"`
	Operator Certificates `json:"operator"`
}

// Certificates names PEM files or contains the PEM texts. If all fields are empty, the listener
// uses plain HTTP.
type Certificates struct {
	// CertFile is the listener's certificate.
	CertFile string `json:"certFile"`
	// KeyFile is the key of the certificate.
	KeyFile string `json:"keyFile" check:"secret"`
	// CAFile is the authority whose client certificates are let in.
	CAFile string `json:"caFile"`
	// Cert is the text in place of certFile.
	Cert string `json:"cert"`
	// Key is the text in place of keyFile.
	Key string `json:"key" check:"secret"`
	// CA is the text in place of caFile.
	CA string `json:"ca"`
}

// Empty reports whether no field is set.
func (c Certificates) Empty() bool { return c == Certificates{} }

// OperatorToken is an operator's bearer token, of which only the SHA-256 digest is stored.
type OperatorToken struct {
	// Name identifies the holder of the token in the audit log.
	Name string `json:"name" check:"required"`
	// SHA256 is the hash of the token in hex: printf %s TOKEN | sha256sum.
	SHA256 string `json:"sha256" check:"required"`
}

// Limits bounds the resources that callers, operators and peers can use in a daemon.
type Limits struct {
	// CallerConnections bounds the open connections of callers.
	CallerConnections int `json:"callerConnections"`
	// HeaderBytes bounds the header of a caller's request.
	HeaderBytes int `json:"headerBytes"`
	// HeaderTimeoutMs bounds the time a caller takes to send it.
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	// BodyMinBytesPerSec is the slowest that a caller may send a body.
	BodyMinBytesPerSec int `json:"bodyMinBytesPerSecond"`
	// OutcomeBytes bounds the memory for outcomes of request keys.
	OutcomeBytes int64 `json:"outcomeBytes"`
	// OutcomeTTLMs is how long the outcome of a request key is kept.
	OutcomeTTLMs int `json:"outcomeTTLMs"`
	// OperatorConnections bounds the open connections of operators.
	OperatorConnections int `json:"operatorConnections"`
	// PeerConnections bounds the open connections of other entry VMs.
	PeerConnections int `json:"peerConnections"`
	// ConnectionsPerTarget bounds the connections to one target.
	ConnectionsPerTarget int `json:"connectionsPerTarget"`
}

// HeaderTimeout returns the maximum time that a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return milliseconds(l.HeaderTimeoutMs) }

// OutcomeTTL returns how long the outcome of a request key is kept.
func (l Limits) OutcomeTTL() time.Duration { return milliseconds(l.OutcomeTTLMs) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults of the optional settings.
const (
	DefaultPlatformTimeoutMs    = 2000
	DefaultLogLevel             = "info"
	DefaultCallerConnections    = 4000
	DefaultOperatorConnections  = 256
	DefaultPeerConnections      = 2048
	DefaultConnectionsPerTarget = 400
	DefaultHeaderBytes          = 64 << 10
	DefaultHeaderTimeoutMs      = 5000
	DefaultBodyMinBytesPerSec   = 1024
	DefaultOutcomeBytes         = 16 << 20
	DefaultOutcomeTTLMs         = 600_000
)

// WithDefaults returns the settings with defaults set for all optional values that are zero.
func (s Settings) WithDefaults() Settings {
	orDefault(&s.Platform.TimeoutMs, DefaultPlatformTimeoutMs)
	orDefault(&s.Log.Level, DefaultLogLevel)
	orDefault(&s.Limits.CallerConnections, DefaultCallerConnections)
	orDefault(&s.Limits.OperatorConnections, DefaultOperatorConnections)
	orDefault(&s.Limits.PeerConnections, DefaultPeerConnections)
	orDefault(&s.Limits.ConnectionsPerTarget, DefaultConnectionsPerTarget)
	orDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	orDefault(&s.Limits.HeaderTimeoutMs, DefaultHeaderTimeoutMs)
	orDefault(&s.Limits.BodyMinBytesPerSec, DefaultBodyMinBytesPerSec)
	orDefault(&s.Limits.OutcomeBytes, DefaultOutcomeBytes)
	orDefault(&s.Limits.OutcomeTTLMs, DefaultOutcomeTTLMs)
	return s
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
