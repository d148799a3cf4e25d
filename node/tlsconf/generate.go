package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/static"
)

// Authority is a certificate authority for quickstart and tests. It doesn't replace the
// operators' own authority, because its key is kept in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
	validity    time.Duration
}

// clockSkew is how far in the past the validity of a certificate starts, to allow for clocks that
// differ between VMs.
const clockSkew = 5 * time.Minute

// serialBits is the length of a random serial number in bits.
const serialBits = 120

// NewAuthority returns an authority. Its own certificate and those that it issues are valid for
// the given time, counted from when each is issued.
func NewAuthority(validity time.Duration) (*Authority, error) {
	template, err := newTemplate("heatherlock authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "tlsconf: generate a key")
	}
	a := &Authority{key: key, validity: validity}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "tlsconf: sign the authority's certificate")
	}
	a.certificate, err = x509.ParseCertificate(der)
	a.pem = encode("CERTIFICATE", der)
	return a, err
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "tlsconf: generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity),
	}, nil
}

// IssuePeer returns the settings of an entry VM's peer listener, with a new certificate for
// PeerName.
func (a *Authority) IssuePeer(vm string) (static.Certificates, error) {
	return a.issue(vm, []string{PeerName}, nil)
}

// IssueOperator returns the settings of an operator listener, with a new certificate for the
// given IP addresses.
func (a *Authority) IssueOperator(vm string, addresses ...net.IP) (static.Certificates, error) {
	return a.issue(vm, nil, addresses)
}

// IssueClient returns a client certificate for an operator, with its key and the authority.
func (a *Authority) IssueClient(operator string) (static.Certificates, error) {
	return a.issue(operator, nil, nil)
}

func (a *Authority) issue(name string, names []string, addresses []net.IP) (static.Certificates, error) {
	var c static.Certificates
	template, err := newTemplate(name, a.validity)
	if err != nil {
		return c, err
	}
	template.DNSNames = names
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return c, errors.Wrap(err, "tlsconf: generate a key")
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return c, errors.Wrap(err, "tlsconf: sign a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return c, errors.Wrap(err, "tlsconf: encode a key")
	}
	return static.Certificates{Cert: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", raw), CA: a.pem}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
