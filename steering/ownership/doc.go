// Package ownership orders the entry VMs of a zone for one pool.
//
// The first entry VM of the order owns the pool: it counts the pool's slots.
// Look-up answers list entry VMs in the same order, so that most requests
// arrive at the owner and need no message to another entry VM. Both sides call
// this package, because two ways of ordering would send every request on a
// detour.
//
// The order is rendezvous hashing: when an entry VM goes, only the pools it
// owned move, each to the entry VM that was second for it. The order depends
// on the set of entry VMs given, not on their sequence. Callers with different
// views of the zone may name different owners; the owner's own checks, not
// this package, keep slots from being counted twice.
package ownership
