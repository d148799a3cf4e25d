// Package lookup selects the entry VMs that a client should use for a service.
//
// [Table] maps client address blocks to home places by longest-prefix match. [Plan] combines the
// table with shifts, planned stops and the states of the members into precomputed answers, so that
// one look-up costs a prefix match, at most one hash and two array reads, without an allocation.
//
// Whether a shift moves a client is decided by a hash of the client's address and the shift's name:
// a client that is moved at 10 percent is still moved at 20 percent, and every entry VM gives the
// client the same answer. Shifts are not chained: callers moved to a place stay there even if
// another shift moves callers away from it.
package lookup
