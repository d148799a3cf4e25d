// Package peer provides the clients with which an entry VM calls other entry VMs. The protocol is
// defined in peer.proto; the generated code is in peerpb.
//
// Clients holds one twirp client per address, and all of them share one HTTP client with a bounded
// pool of idle connections. The package does not choose which peer to call, does not retry calls
// and sets no deadlines: a call is bounded by the context that its caller passes.
package peer
