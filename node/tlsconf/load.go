package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/static"
)

// certificateSet is a certificate with its key and authority, loaded together.
type certificateSet struct {
	pair tls.Certificate
	// authority is nil if the settings contain none.
	authority *x509.CertPool
	expires   time.Time
	// pemTexts are the PEM texts that the set was parsed from, for detecting changed files.
	pemTexts pemTexts
}

// pemTexts holds PEM texts. The key must not be logged or returned in an error.
type pemTexts struct{ cert, key, ca string }

// read returns the PEM texts of the settings, reading files where paths are given.
func read(field string, c static.Certificates) (pemTexts, error) {
	var t pemTexts
	var err error
	if t.cert, err = readText(field+".certFile", c.CertFile, c.Cert); err != nil {
		return t, err
	}
	if t.key, err = readText(field+".keyFile", c.KeyFile, c.Key); err != nil {
		return t, err
	}
	t.ca, err = readText(field+".caFile", c.CAFile, c.CA)
	return t, err
}

func readText(field, path, inline string) (string, error) {
	if path == "" {
		return inline, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Kind: Unreadable, Field: field, Err: err}
	}
	return string(raw), nil
}

// parse parses the texts and checks the certificates. Peer certificates need an authority and
// must be verified by it.
func parse(field string, t pemTexts, role Role, now time.Time) (*certificateSet, error) {
	pair, err := tls.X509KeyPair([]byte(t.cert), []byte(t.key))
	if err != nil {
		return nil, pairError(field, t, err)
	}
	if err := checkDates(field, pair.Leaf, now); err != nil {
		return nil, err
	}
	m := &certificateSet{pair: pair, expires: pair.Leaf.NotAfter, pemTexts: t}
	if t.ca == "" {
		if role == Peer {
			return nil, &Error{Kind: MissingCA, Field: field}
		}
		return m, nil
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM([]byte(t.ca)) {
		return nil, &Error{Kind: BadPEM, Field: field + ".ca"}
	}
	if role == Peer {
		return m, verify(field, m.authority, []*x509.Certificate{pair.Leaf}, x509.ExtKeyUsageClientAuth, now)
	}
	return m, nil
}

// pairError returns the error for a certificate and key that can't be loaded. It distinguishes
// invalid PEM from a key that doesn't match, and leaves out the library's message, which may
// quote the text that it couldn't parse.
func pairError(field string, t pemTexts, err error) error {
	if _, certErr := x509.ParseCertificate(firstBlock(t.cert)); certErr != nil {
		return &Error{Kind: BadPEM, Field: field + ".cert"}
	}
	if firstBlock(t.key) == nil {
		return &Error{Kind: BadPEM, Field: field + ".key"}
	}
	if errors.Is(err, os.ErrNotExist) {
		return &Error{Kind: Unreadable, Field: field}
	}
	return &Error{Kind: KeyMismatch, Field: field}
}

func checkDates(field string, leaf *x509.Certificate, now time.Time) error {
	if now.After(leaf.NotAfter) {
		return &Error{Kind: Expired, Field: field, Detail: "valid until " + leaf.NotAfter.Format(time.RFC3339)}
	}
	if now.Before(leaf.NotBefore) {
		return &Error{Kind: NotYetValid, Field: field, Detail: "valid from " + leaf.NotBefore.Format(time.RFC3339)}
	}
	return nil
}

// verify checks that a chain, given leaf first, is signed by an authority and issued for
// PeerName.
func verify(side string, authority *x509.CertPool, chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return &Error{Kind: Missing, Field: side}
	}
	leaf := chain[0]
	if err := checkDates(side, leaf, now); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	options := x509.VerifyOptions{Roots: authority, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return &Error{Kind: Untrusted, Field: side, Err: err}
	}
	if err := leaf.VerifyHostname(PeerName); err != nil {
		return &Error{Kind: WrongName, Field: side, Err: err}
	}
	return nil
}
