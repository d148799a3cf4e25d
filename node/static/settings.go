package static

import (
	"time"

	"heatherlock/steering"
)

// Settings is everything a daemon is told at start.
type Settings struct {
	VM     steering.VM     `json:"vm" check:"required"`
	Zone   steering.Zone   `json:"zone" check:"required"`
	Region steering.Region `json:"region" check:"required"`

	// The listen addresses are IP:port; port 0 takes a free port.
	CallerListen   string `json:"callerListen" check:"required"`
	PeerListen     string `json:"peerListen" check:"required"`
	OperatorListen string `json:"operatorListen" check:"required"`
	// The advertised addresses are told to callers and peers; empty means the
	// address that was bound.
	CallerAdvertise   string `json:"callerAdvertise"`
	PeerAdvertise     string `json:"peerAdvertise"`
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
	URL       string `json:"url" check:"required"`
	TimeoutMs int    `json:"timeoutMs"`
}

// Timeout bounds one call that is not a watch.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Log says what is logged.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// TLS holds the certificates of the listeners that authenticate.
type TLS struct {
	Peer     Certificates `json:"peer"`
	Operator Certificates `json:"operator"`
}

// Certificates names PEM files, or holds the PEM text itself. With none set
// the listener speaks plain HTTP.
type Certificates struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile" check:"secret"`
	CAFile   string `json:"caFile"`
	Cert     string `json:"cert"`
	Key      string `json:"key" check:"secret"`
	CA       string `json:"ca"`
}

// Empty reports whether nothing is set.
func (c Certificates) Empty() bool { return c == Certificates{} }

// OperatorToken lets an operator in by a bearer token, of which only the
// SHA-256 is kept.
type OperatorToken struct {
	Name   string `json:"name" check:"required"`
	SHA256 string `json:"sha256" check:"required"`
}

// Limits bounds what callers can make a daemon hold.
type Limits struct {
	CallerConnections    int   `json:"callerConnections"`
	HeaderBytes          int   `json:"headerBytes"`
	HeaderTimeoutMs      int   `json:"headerTimeoutMs"`
	BodyMinBytesPerSec   int   `json:"bodyMinBytesPerSecond"`
	OutcomeBytes         int64 `json:"outcomeBytes"`
	OutcomeTTLMs         int   `json:"outcomeTTLMs"`
	OperatorConnections  int   `json:"operatorConnections"`
	PeerConnections      int   `json:"peerConnections"`
	ConnectionsPerTarget int   `json:"connectionsPerTarget"`
}

// HeaderTimeout bounds the time a caller takes to send a request's header.
func (l Limits) HeaderTimeout() time.Duration { return milliseconds(l.HeaderTimeoutMs) }

// OutcomeTTL is how long the outcome of a request key is kept.
func (l Limits) OutcomeTTL() time.Duration { return milliseconds(l.OutcomeTTLMs) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults of the settings that may be left out.
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

// WithDefaults returns the settings with every omitted optional value filled.
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
