package client

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
	"heatherlock/responses"
)

// Environment variables that are used if the corresponding flags are not given.
const (
	EnvEntryVMs  = "HEATHERLOCK_ENTRY_VMS"
	EnvToken     = "HEATHERLOCK_TOKEN"
	EnvTokenFile = "HEATHERLOCK_TOKEN_FILE"
)

// Options specifies how to connect to the entry VMs.
type Options struct {
	// EntryVMs lists the addresses of operators' listeners, as host:port or URLs.
	EntryVMs  []string
	TokenFile string
	CAFile    string
	CertFile  string
	KeyFile   string
	// Timeout limits one attempt on one entry VM. The default is 15 seconds.
	Timeout time.Duration
}

// defaultTimeout is long enough for an entry VM to determine the outcome of a write while the
// platform is slow.
const defaultTimeout = 15 * time.Second

// Declare adds the flags to a subcommand.
func (o *Options) Declare(sub *flaggy.Subcommand) {
	o.Timeout = defaultTimeout
	sub.StringSlice(&o.EntryVMs, "e", "entry-vm", "operator address of an entry VM, host:port; several by commas or repeats; default $"+EnvEntryVMs)
	sub.String(&o.TokenFile, "", "token-file", "file with the operator token; default $"+EnvTokenFile+", or the token itself in $"+EnvToken)
	sub.String(&o.CAFile, "", "ca-file", "certificate authority of the entry VMs; turns TLS on")
	sub.String(&o.CertFile, "", "cert-file", "client certificate, with --key-file")
	sub.String(&o.KeyFile, "", "key-file", "key of the client certificate")
	sub.Duration(&o.Timeout, "", "call-timeout", "bound on one call to one entry VM")
}

// HasEntryVMs reports whether any entry VM is specified by flag or environment variable.
func (o Options) HasEntryVMs() bool {
	return len(o.EntryVMs) > 0 || os.Getenv(EnvEntryVMs) != ""
}

// addresses returns the base URL of each entry VM.
func (o Options) addresses() ([]string, error) {
	given := o.EntryVMs
	if len(given) == 0 {
		given = []string{os.Getenv(EnvEntryVMs)}
	}
	scheme := "http://"
	if o.CAFile != "" || o.CertFile != "" {
		scheme = "https://"
	}
	var all []string
	for _, address := range strings.FieldsFunc(strings.Join(given, ","), func(r rune) bool { return r == ',' || r == ' ' }) {
		if !strings.Contains(address, "://") {
			address = scheme + address
		}
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, command.Failf(command.Usage, "give host:port of the operators' listener", "%q is not the address of an entry VM", address)
		}
		all = append(all, address)
	}
	if len(all) == 0 {
		return nil, command.Failf(command.Usage, "give --entry-vm HOST:PORT or set "+EnvEntryVMs, "no entry VM given")
	}
	return all, nil
}

// token returns the operator's token, or "" if there is none. There is no flag for the token
// itself, since other users of the machine can read command lines.
func (o Options) token() (string, error) {
	file := o.TokenFile
	if file == "" {
		file = os.Getenv(EnvTokenFile)
	}
	if file == "" {
		return strings.TrimSpace(os.Getenv(EnvToken)), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", command.Failf(command.Usage, "name a readable file", "token: %v", err)
	}
	return strings.TrimSpace(string(raw)), nil
}

// httpClient returns an HTTP client that uses the configured certificates and sends the token.
func (o Options) httpClient() (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if o.CAFile != "" || o.CertFile != "" {
		config, err := o.tlsConfig()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	token, err := o.token()
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: bearerTransport{token: token, next: responses.NewTransport(transport)}}, nil
}

func (o Options) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, command.Failf(command.Usage, "name a readable file", "ca-file: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, command.Failf(command.Usage, "give a PEM file", "ca-file: no certificate in %s", o.CAFile)
		}
	}
	if o.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
		if err != nil {
			return nil, command.Failf(command.Usage, "give a PEM certificate and its key", "cert-file, key-file: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// bearerTransport adds the token to each request, unless it is empty.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token == "" {
		return b.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}
