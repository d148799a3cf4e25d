package tlsconf

import "fmt"

// ErrorKind classifies certificate errors.
type ErrorKind string

// Kinds of error.
const (
	Unreadable  ErrorKind = "unreadable"    // a file cannot be read
	BadPEM      ErrorKind = "bad_pem"       // the text has no valid certificate or key
	KeyMismatch ErrorKind = "key_mismatch"  // the key doesn't match the certificate
	Expired     ErrorKind = "expired"       // the certificate has expired
	NotYetValid ErrorKind = "not_yet_valid" // the certificate isn't valid yet
	MissingCA   ErrorKind = "missing_ca"    // no authority given for the peer listener
	Untrusted   ErrorKind = "untrusted"     // not verified by the authority
	WrongName   ErrorKind = "wrong_name"    // not issued for PeerName
	Missing     ErrorKind = "missing"       // the other side presented no certificate
)

// remedies maps each kind to the action that resolves it.
var remedies = map[ErrorKind]string{
	Unreadable:  "give a path that the daemon may read",
	BadPEM:      "give PEM text: BEGIN CERTIFICATE for cert and ca, BEGIN ... PRIVATE KEY for key",
	KeyMismatch: "give the key that the certificate was issued for",
	Expired:     "issue a new certificate and replace the file; it is read again within half a minute",
	NotYetValid: "wait for its first day, or set the VM's clock right",
	MissingCA:   "give caFile or ca: peers verify each other",
	Untrusted:   "use a certificate that the authority in ca signed",
	WrongName:   "issue the certificate for the DNS name " + PeerName,
	Missing:     "give the caller a certificate in tls.peer",
}

// Error describes an invalid certificate, key or authority. It never contains key material.
type Error struct {
	Kind ErrorKind
	// Field is the setting concerned, for example "tls.peer.certFile", or the side that presented
	// the certificate ("peer calling" or "peer called").
	Field  string
	Detail string
	Err    error
}

// Error returns the field, the kind, the details and the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("tlsconf: %s: %s", e.Field, e.Kind)
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg + "; " + remedies[e.Kind]
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
