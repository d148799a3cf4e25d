// Package membership maintains one entry VM's view of all entry VMs.
//
// A View holds two kinds of state. Facts (the current incarnation of a VM, its
// addresses, and whether it is leaving or gone) are the same for every observer.
// They are merged by Join, which is commutative, associative and idempotent, so
// views converge whatever the order of messages, and an old incarnation never
// comes back. Reachability depends on the observer. It is derived from the ages
// of heartbeats and of the observer's own calls, and is never merged, so a zone
// that was partitioned does not spread wrong suspicions when it reconnects.
//
// Within a zone each member relays the newest heartbeat of every other member.
// Between zones a few members report for their whole zone, so that the message
// rates of a member do not grow with the fleet.
//
// Nothing in this package proves that a member has crashed. Only the platform
// reports that (Gone); everything else is a reason to prefer another member.
package membership
