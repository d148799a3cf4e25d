// Package tlsconf makes the TLS configurations of the peer and operator
// listeners from the settings, and keeps them up to date when their files
// change.
//
// Between entry VMs both sides present a certificate that the settings'
// authority signed for PeerName. VMs are replaced at any time and come back
// under other addresses, so a peer proves its role, not its address. Operators
// may present a client certificate or a token; the listener verifies a
// certificate that is given.
//
// Limits: certificates are not checked for revocation; take a lost one out of
// force by a new authority. Open connections outlive a reload.
package tlsconf
