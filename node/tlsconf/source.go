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

// PeerName is the DNS name that every peer's certificate bears. It is a role:
// nothing resolves it.
const PeerName = "peer.heatherlock.internal"

// Role says which listener the certificates belong to.
type Role uint8

// Roles of certificates.
const (
	// Peer certificates are presented and verified on both sides.
	Peer Role = iota
	// Operator certificates are presented by the listener; those of clients
	// are verified when given.
	Operator
)

const (
	// DefaultReloadEvery is the time between two looks at the files.
	DefaultReloadEvery = 30 * time.Second
	// warnBefore is how long before the last day a warning is logged.
	warnBefore = 14 * 24 * time.Hour
	// warnEvery bounds the warnings.
	warnEvery = time.Hour
)

// Config holds what a Source needs.
type Config struct {
	Role Role
	// Field names the settings in errors and logs, for example "tls.peer".
	Field        string
	Certificates static.Certificates
	ReloadEvery  time.Duration // zero means DefaultReloadEvery
	Scope        tally.Scope   // nil means none
	Logger       log.Logger    // nil means none
}

// Source holds the certificates in force.
type Source struct {
	config  Config
	scope   tally.Scope
	logger  log.Logger
	current atomic.Pointer[material]
	warned  time.Time
}

// New reads and checks the certificates. It returns nil without an error when
// the settings give none, which means plain TCP.
func New(c Config) (*Source, error) {
	if c.Certificates.Empty() {
		return nil, nil
	}
	if c.ReloadEvery <= 0 {
		c.ReloadEvery = DefaultReloadEvery
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

// reload replaces the certificates if their texts changed.
func (s *Source) reload(now time.Time) error {
	t, err := read(s.config.Field, s.config.Certificates)
	if err != nil {
		return err
	}
	old := s.current.Load()
	if old != nil && old.texts == t {
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

// Run looks at the files again until ctx ends.
//
// What can go wrong: a renewal replaces the certificate before the key, and a
// reload in between finds a pair that does not fit. One would notice refused
// connections. A set that does not check is logged and counted, and the one in
// force stays until the next look.
func (s *Source) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.config.ReloadEvery):
			s.look(time.Now())
		}
	}
}

func (s *Source) look(now time.Time) {
	if err := s.reload(now); err != nil {
		s.scope.Counter("tls_reload_failed").Inc(1)
		level.Error(s.logger).Log("event", "reload", "err", err)
	}
	left := s.current.Load().expires.Sub(now)
	s.scope.Gauge("tls_expires_seconds").Update(left.Seconds())
	if left < warnBefore && now.Sub(s.warned) >= warnEvery {
		s.warned = now
		level.Warn(s.logger).Log("event", "expires", "in", left.Round(time.Minute), "remedy", remedies[Expired])
	}
}

// Server returns the configuration of the listener.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverNow(), nil
		},
	}
}

// serverNow is the listener's configuration with the certificates in force.
func (s *Source) serverNow() *tls.Config {
	m := s.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.pair}, NextProtos: []string{"h2", "http/1.1"}}
	if m.authority == nil {
		return c
	}
	c.ClientCAs = m.authority
	c.ClientAuth = tls.VerifyClientCertIfGiven
	if s.config.Role == Peer {
		// Verified below, so that each refusal is typed and counted.
		c.ClientAuth = tls.RequestClientCert
		c.VerifyConnection = func(state tls.ConnectionState) error {
			return s.judge("peer calling", state, x509.ExtKeyUsageClientAuth)
		}
	}
	return c
}

// Client returns the configuration for calls to peers. Verification is done
// against the authority in force, which the library's own cannot follow, and
// against PeerName instead of the address called.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         PeerName,
		InsecureSkipVerify: true, // VerifyConnection verifies
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.judge("peer called", state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// judge verifies the other side's certificates and counts refusals by kind.
func (s *Source) judge(side string, state tls.ConnectionState, usage x509.ExtKeyUsage) error {
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
