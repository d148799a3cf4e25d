// Package config decides how configuration spreads between entry VMs and which
// entry VM of a zone reads it from the platform.
//
// A [Set] is one whole configuration: the stored objects at one platform
// revision. A set never changes; adopting an [Offer] or a platform reading
// gives another set with a higher version, or a [Verdict] that says why not.
// Every way into a set goes through this package, so that nothing that a late,
// stale, repeated or wrongly based message carries can take a node back.
//
// A [Lease] decides who reads the platform for a zone. It is judged by the
// time that a record has stayed unchanged on the observer's own clock, and its
// epoch fences what an earlier holder still writes. Two readers at once cost
// calls; they cannot make a node go back, because sets decide that.
package config
