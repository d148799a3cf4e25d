package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/static"
)

// PeerName is the DNS name in every peer's certificate. It identifies the peer role and isn't
// resolved.
const PeerName = "peer.heatherlock.internal"

// Role is the listener that certificates are used for.
type Role uint8

// Roles of certificates.
const (
	// Peer certificates are presented and verified on both sides.
	Peer Role = iota
	// Operator certificates are presented by the listener. Client certificates are verified if
	// presented.
	Operator
)

const (
	// DefaultReloadInterval is the interval at which the files are checked for changes.
	DefaultReloadInterval = 30 * time.Second
	// expiryWarning is how long before expiry a warning is logged.
	expiryWarning = 14 * 24 * time.Hour
	// expiryWarningInterval is the minimum time between two such warnings.
	expiryWarningInterval = time.Hour
)

// Config configures a Source.
type Config struct {
	Role Role
	// Field is the name of the settings in errors and logs, for example "tls.peer".
	Field          string
	Certificates   static.Certificates
	ReloadInterval time.Duration // DefaultReloadInterval if zero or less
	Scope          tally.Scope   // no metrics if nil
	Logger         log.Logger    // no logging if nil
}

// Source provides TLS configurations with the certificates currently in force.
type Source struct {
	config  Config
	scope   tally.Scope
	logger  log.Logger
	current atomic.Pointer[certificateSet]
	warned  time.Time
}

// New loads and checks the certificates. If the settings contain none, it returns nil without an
// error, and the listener uses plain TCP.
func New(c Config) (*Source, error) {
	if c.Certificates.Empty() {
		return nil, nil
	}
	if c.ReloadInterval <= 0 {
		c.ReloadInterval = DefaultReloadInterval
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	s := &Source{config: c, scope: c.Scope.Tagged(map[string]string{"field": c.Field}), logger: log.With(c.Logger, "part", "tlsconf", "field", c.Field)}
	if err := s.reload(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// reload loads the certificates and replaces those in force if their texts changed.
func (s *Source) reload(now time.Time) error {
	t, err := read(s.config.Field, s.config.Certificates)
	if err != nil {
		return err
	}
	old := s.current.Load()
	if old != nil && old.pemTexts == t {
		return nil
	}
	m, err := parse(s.config.Field, t, s.config.Role, now)
	if err != nil {
		return err
	}
	s.current.Store(m)
	s.scope.Counter("tls_loaded").Inc(1)
	level.Info(s.logger).Log("event", "loaded", "expires", m.expires.Format(time.RFC3339))
	return nil
}

// Run reloads the certificates at a fixed interval until ctx is canceled.
//
// A renewal may replace the certificate file before the key file, and a reload in between would
// load a certificate and a key that don't match; connections would then be refused. If a check
// fails, the error is logged and counted, and the certificates in force are kept until the next
// reload.
func (s *Source) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.config.ReloadInterval):
			s.reloadAndWarn(time.Now())
		}
	}
}

// reloadAndWarn reloads the certificates, updates the expiry gauge, and logs a warning if the
// certificate expires soon.
func (s *Source) reloadAndWarn(now time.Time) {
	if err := s.reload(now); err != nil {
		s.scope.Counter("tls_reload_failed").Inc(1)
		level.Error(s.logger).Log("event", "reload", "err", err)
	}
	left := s.current.Load().expires.Sub(now)
	s.scope.Gauge("tls_expires_seconds").Update(left.Seconds())
	if left < expiryWarning && now.Sub(s.warned) >= expiryWarningInterval {
		s.warned = now
		level.Warn(s.logger).Log("event", "expires", "in", left.Round(time.Minute), "remedy", remedies[Expired])
	}
}

// Server returns the listener's TLS configuration. Each connection uses the certificates in
// force when it is opened.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(), nil
		},
	}
}

// serverNow returns the listener's configuration with the certificates currently in force.
func (s *Source) serverNow() *tls.Config {
	m := s.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.pair}, NextProtos: []string{"h2", "http/1.1"}}
	if m.authority == nil {
		return c
	}
	c.ClientCAs = m.authority
	c.ClientAuth = tls.VerifyClientCertIfGiven
	if s.config.Role == Peer {
		// VerifyConnection verifies instead, so that each refusal has a kind and is counted.
		c.ClientAuth = tls.RequestClientCert
		c.VerifyConnection = func(state tls.ConnectionState) error {
			return s.verifyConnection("peer calling", state, x509.ExtKeyUsageClientAuth)
		}
	}
	return c
}

// Client returns the TLS configuration for calls to peers. VerifyConnection verifies the peer
// against the authority in force, because the library's own verification can't follow a reload,
// and against PeerName instead of the address called.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         PeerName,
		InsecureSkipVerify: true, // VerifyConnection verifies instead
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verifyConnection("peer called", state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verifyConnection verifies the other side's certificates and counts failures by kind.
func (s *Source) verifyConnection(side string, state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	err := verify(side, s.current.Load().authority, state.PeerCertificates, usage, time.Now())
	if e, ok := err.(*Error); ok {
		s.scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("tls_refused").Inc(1)
		level.Debug(s.logger).Log("event", "refused", "err", e)
	}
	return err
}

// firstBlock returns the bytes of the first PEM block, or nil.
func firstBlock(text string) []byte {
	block, _ := pem.Decode([]byte(text))
	if block == nil {
		return nil
	}
	return block.Bytes
}
