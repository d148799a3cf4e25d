// Package ownership orders the entry VMs of a zone for one pool.
//
// The first entry VM in the order owns the pool: it counts the pool's slots. Look-up answers list
// entry VMs in the same order, so that most requests arrive at the owner and need no message to
// another entry VM. Both sides call this package, because two different orders would send every
// request through a second entry VM.
//
// The order is computed by rendezvous hashing: when an entry VM leaves, only the pools that it
// owned move, each to the entry VM that was second in its order. The order depends on the set of
// entry VMs, not on their sequence in the argument. Callers with different views of the zone may
// disagree on the owner; the owner's own checks, not this package, prevent slots from being
// counted twice.
package ownership
