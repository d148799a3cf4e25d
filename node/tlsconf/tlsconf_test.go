package tlsconf

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/static"
	"heatherlock/peer"
)

func authority(t *testing.T, validity time.Duration) *Authority {
	a, err := NewAuthority(validity)
	assert.NilError(t, err)
	return a
}

func mustIssue(t *testing.T) func(static.Certificates, error) static.Certificates {
	return func(c static.Certificates, err error) static.Certificates {
		assert.NilError(t, err)
		return c
	}
}

func source(t *testing.T, c static.Certificates, scope tally.Scope) *Source {
	s, err := New(Config{Role: Peer, Field: "tls.peer", Certificates: c, Scope: scope})
	assert.NilError(t, err)
	return s
}

// serve starts a server that uses the source's listener configuration and responds "yes", and
// returns its URL.
func serve(t *testing.T, s *Source) string {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("yes"))
	}))
	server.Config.ErrorLog = nil
	server.EnableHTTP2 = true
	server.TLS = s.Server()
	server.Config.SetKeepAlivesEnabled(false)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

func call(url string, config *tls.Config) error {
	response, err := peer.NewHTTPClient(config).Get(url)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

func refusals(scope tally.TestScope, kind ErrorKind) int64 {
	c, ok := scope.Snapshot().Counters()["tls_refused+field=tls.peer,kind="+string(kind)]
	if !ok {
		return 0
	}
	return c.Value()
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	ours, others, must := authority(t, time.Hour), authority(t, time.Hour), mustIssue(t)
	scope := tally.NewTestScope("", nil)
	a := source(t, must(ours.IssuePeer("norte-a-1")), scope)
	b := source(t, must(ours.IssuePeer("sur-a-1")), nil)
	url := serve(t, a)
	assert.NilError(t, call(url, b.Client()))
	response, err := peer.NewControlClient(b.Client()).Get(url)
	assert.NilError(t, err)
	assert.Equal(t, response.ProtoMajor, 2)
	assert.NilError(t, response.Body.Close())

	untrustedPeer := source(t, must(others.IssuePeer("norte-a-1")), nil)
	assert.ErrorContains(t, call(url, untrustedPeer.Client()), string(Untrusted))

	withoutCertificate := b.Client()
	withoutCertificate.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	assert.Assert(t, call(url, withoutCertificate) != nil)
	assert.Equal(t, refusals(scope, Missing), int64(1))

	// An operator's certificate from the same authority isn't accepted as a peer's.
	client := must(ours.IssueClient("ana"))
	pair, err := tls.X509KeyPair([]byte(client.Cert), []byte(client.Key))
	assert.NilError(t, err)
	operatorAsPeer := b.Client()
	operatorAsPeer.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	assert.Assert(t, call(url, operatorAsPeer) != nil)
	assert.Equal(t, refusals(scope, WrongName), int64(1))
}

func TestOperatorsMayPresentCertificates(t *testing.T) {
	ours, must := authority(t, time.Hour), mustIssue(t)
	settings := must(ours.IssueOperator("norte-a-1", net.IPv4(127, 0, 0, 1)))
	s, err := New(Config{Role: Operator, Field: "tls.operator", Certificates: settings})
	assert.NilError(t, err)
	var names []string
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for _, chain := range r.TLS.VerifiedChains {
			names = append(names, chain[0].Subject.CommonName)
		}
	}))
	server.TLS = s.Server()
	server.StartTLS()
	defer server.Close()
	client := must(ours.IssueClient("ana"))
	pair, err := tls.X509KeyPair([]byte(client.Cert), []byte(client.Key))
	assert.NilError(t, err)
	roots := s.current.Load().authority
	assert.NilError(t, call(server.URL, &tls.Config{RootCAs: roots}))
	assert.NilError(t, call(server.URL, &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{pair}}))
	assert.DeepEqual(t, names, []string{"ana"})
}

func TestErrorsNameTheFieldAndHideTheKey(t *testing.T) {
	must := mustIssue(t)
	ours, others, past := authority(t, time.Hour), authority(t, time.Hour), authority(t, -time.Minute)
	good := must(ours.IssuePeer("vm"))
	with := func(change func(*static.Certificates)) static.Certificates {
		c := good
		change(&c)
		return c
	}
	cases := map[ErrorKind]static.Certificates{
		Unreadable:  with(func(c *static.Certificates) { c.Cert, c.CertFile = "", filepath.Join(t.TempDir(), "none.pem") }),
		BadPEM:      with(func(c *static.Certificates) { c.Key = "s3cret" }),
		KeyMismatch: with(func(c *static.Certificates) { c.Key = must(ours.IssuePeer("vm")).Key }),
		MissingCA:   with(func(c *static.Certificates) { c.CA = "" }),
		Untrusted:   with(func(c *static.Certificates) { c.CA = must(others.IssuePeer("vm")).CA }),
		Expired:     must(past.IssuePeer("vm")),
		WrongName:   must(ours.IssueClient("ana")),
	}
	for kind, c := range cases {
		_, err := New(Config{Role: Peer, Field: "tls.peer", Certificates: c})
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%s: %v", kind, err)
		assert.Equal(t, e.Kind, kind)
		assert.Assert(t, strings.HasPrefix(e.Field, "tls.peer"))
		assert.Assert(t, strings.HasSuffix(e.Error(), remedies[kind]))
		assert.Assert(t, !strings.Contains(e.Error(), "s3cret") && !strings.Contains(e.Error(), "BEGIN PRIVATE"))
	}
	s, err := New(Config{Role: Peer, Field: "tls.peer"})
	assert.NilError(t, err)
	assert.Assert(t, s == nil)
}

// Guards against refused connections between entry VMs during a renewal. The certificate file is
// replaced, the daemon reloads, and the key file is replaced after that: the certificate and key
// loaded in between don't match and must not be put in force.
func TestFailedReloadKeepsCurrentCertificates(t *testing.T) {
	dir, must := t.TempDir(), mustIssue(t)
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	ours, next := authority(t, time.Hour), authority(t, time.Hour)
	first, second := must(ours.IssuePeer("vm")), must(next.IssuePeer("vm"))
	var logs bytes.Buffer
	scope := tally.NewTestScope("", nil)
	s, err := New(Config{Role: Peer, Field: "tls.peer", Scope: scope, Logger: log.NewJSONLogger(&logs), Certificates: static.Certificates{
		CertFile: write("cert", first.Cert), KeyFile: write("key", first.Key), CAFile: write("ca", first.CA),
	}})
	assert.NilError(t, err)
	url := serve(t, s)
	old, renewed := source(t, must(ours.IssuePeer("b")), nil), source(t, must(next.IssuePeer("b")), nil)

	write("cert", second.Cert)
	s.reloadAndWarn(time.Now())
	assert.NilError(t, call(url, old.Client()))
	assert.Equal(t, scope.Snapshot().Counters()["tls_reload_failed+field=tls.peer"].Value(), int64(1))

	write("key", second.Key)
	write("ca", second.CA)
	s.reloadAndWarn(time.Now())
	assert.NilError(t, call(url, renewed.Client()))
	assert.Assert(t, call(url, old.Client()) != nil)
	assert.Assert(t, strings.Contains(logs.String(), `"event":"expires"`))
	assert.Assert(t, !strings.Contains(logs.String(), "PRIVATE"))
}
