package tlsconf

import "fmt"

// ErrorKind classifies what is wrong with certificates.
type ErrorKind string

// Kinds of error.
const (
	Unreadable  ErrorKind = "unreadable"    // a file cannot be read
	BadPEM      ErrorKind = "bad_pem"       // no certificate or key in the text
	KeyMismatch ErrorKind = "key_mismatch"  // the key is not the certificate's
	Expired     ErrorKind = "expired"       // past the certificate's last day
	NotYetValid ErrorKind = "not_yet_valid" // before the certificate's first day
	MissingCA   ErrorKind = "missing_ca"    // peers need an authority
	Untrusted   ErrorKind = "untrusted"     // not signed by the authority
	WrongName   ErrorKind = "wrong_name"    // not issued for the role
	Missing     ErrorKind = "missing"       // the other side gave none
)

// remedies says what to do about each kind.
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

// Error is something wrong with certificates. It never holds key material.
type Error struct {
	Kind ErrorKind
	// Field is the setting concerned, for example "tls.peer.certFile", or the
	// side that presented a certificate.
	Field  string
	Detail string
	Err    error
}

// Error implements error; the message ends with the remedy.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
