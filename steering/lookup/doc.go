// Package lookup answers which entry VMs a client should use for a service.
//
// [Table] maps client blocks to home places by longest prefix. [Plan] joins it
// with shifts, planned stops and the members' states into answers made ahead
// of time, so that one look-up is a prefix match, at most one hash and two
// array reads, without an allocation.
//
// The share that a shift moves is a hash of the client's address and the
// shift's name: a client that was moved at 10 percent stays moved at 20, and
// two look-ups of one client agree on every entry VM. Shifts are not chained:
// callers moved into a place stay there even if another shift empties it.
package lookup
