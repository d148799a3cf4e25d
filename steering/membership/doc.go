// Package membership decides what one entry VM knows of the others.
//
// It keeps two kinds of knowledge apart. Facts (which incarnation of a VM
// there is, its addresses, whether it is leaving or gone) are the same for
// every observer: they merge by Join, which is commutative, associative and
// idempotent, so views meet whatever the order of messages, and an old
// incarnation never comes back. Reachability is relative to the observer: it
// follows from beats and first-hand evidence with their ages, is never merged,
// and so a zone that was cut off brings no wrong suspicion back with it.
//
// Within a zone each member relays the newest beat of each other one. Between
// zones a few members report for their whole zone, so that the rates of a
// member do not grow with the fleet.
//
// Limits: nothing here proves a member dead. Only the platform's word does
// that (Gone); everything else is a reason to prefer somebody else.
package membership
