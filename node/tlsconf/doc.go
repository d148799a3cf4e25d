// Package tlsconf builds the TLS configurations of the peer and operator listeners from the
// settings, and reloads the certificates when their files change.
//
// Between entry VMs, both sides present a certificate for PeerName that is signed by the
// authority in the settings. VMs are replaced at any time and return under other addresses, so
// a peer's certificate proves its role and not its address. Operators may present a client
// certificate or a token; the listener verifies a client certificate if one is presented.
//
// Limits: certificates aren't checked for revocation; to invalidate a lost one, replace the
// authority. Open connections aren't closed by a reload.
package tlsconf
