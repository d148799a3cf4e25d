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

// Authority signs certificates for quickstart and tests. It is no replacement
// for the operators' own: its key lives in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	text        string
	life        time.Duration
}

// clockSkew is how far back certificates are valid, for clocks that differ.
const clockSkew = 5 * time.Minute

// serialBits is the length of a random serial number.
const serialBits = 120

// NewAuthority makes an authority whose certificates are valid for life.
func NewAuthority(life time.Duration) (*Authority, error) {
	template, err := newTemplate("heatherlock authority", life)
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
	a := &Authority{key: key, life: life}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "tlsconf: sign the authority")
	}
	a.certificate, err = x509.ParseCertificate(der)
	a.text = encode("CERTIFICATE", der)
	return a, err
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "tlsconf: draw a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(life),
	}, nil
}

// IssuePeer returns settings for an entry VM's peer listener.
func (a *Authority) IssuePeer(vm string) (static.Certificates, error) {
	return a.issue(vm, []string{PeerName}, nil)
}

// IssueOperator returns settings for an operator listener reached at addresses.
func (a *Authority) IssueOperator(vm string, addresses ...net.IP) (static.Certificates, error) {
	return a.issue(vm, nil, addresses)
}

// IssueClient returns the certificate, key and authority of an operator.
func (a *Authority) IssueClient(operator string) (static.Certificates, error) {
	return a.issue(operator, nil, nil)
}

func (a *Authority) issue(name string, names []string, addresses []net.IP) (static.Certificates, error) {
	var c static.Certificates
	template, err := newTemplate(name, a.life)
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
	return static.Certificates{Cert: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", raw), CA: a.text}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
