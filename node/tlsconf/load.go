package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/static"
)

// material is one consistent set of certificates.
type material struct {
	pair tls.Certificate
	// authority is nil when the settings give none.
	authority *x509.CertPool
	expires   time.Time
	// texts is what it was made from, to see when a file has changed.
	texts texts
}

// texts holds PEM texts; key is compared and parsed, never shown.
type texts struct{ cert, key, ca string }

// read returns the texts of the settings, from files where paths are given.
func read(field string, c static.Certificates) (texts, error) {
	var t texts
	var err error
	if t.cert, err = textOf(field+".certFile", c.CertFile, c.Cert); err != nil {
		return t, err
	}
	if t.key, err = textOf(field+".keyFile", c.KeyFile, c.Key); err != nil {
		return t, err
	}
	t.ca, err = textOf(field+".caFile", c.CAFile, c.CA)
	return t, err
}

func textOf(field, path, inline string) (string, error) {
	if path == "" {
		return inline, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Kind: Unreadable, Field: field, Err: err}
	}
	return string(raw), nil
}

// parse checks the texts and makes the material.
func parse(field string, t texts, role Role, now time.Time) (*material, error) {
	pair, err := tls.X509KeyPair([]byte(t.cert), []byte(t.key))
	if err != nil {
		return nil, pairError(field, t, err)
	}
	if err := checkDates(field, pair.Leaf, now); err != nil {
		return nil, err
	}
	m := &material{pair: pair, expires: pair.Leaf.NotAfter, texts: t}
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

// pairError tells a key that does not fit from text that is no PEM, without
// the library's message, which may quote what it could not parse.
func pairError(field string, t texts, err error) error {
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

// verify checks a chain, leaf first, against an authority and the peers' name.
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
