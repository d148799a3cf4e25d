// Package peer calls other entry VMs. The protocol is peer.proto; the
// generated code is in peerpb. Clients keeps one twirp client per address over
// one bounded pool of kept connections; it does not choose whom to call, does
// not repeat calls, and sets no deadlines: the caller's context does.
package peer
