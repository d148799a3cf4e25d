// Package config implements the propagation of configuration between entry VMs and
// the lease that selects the entry VM of a zone that reads it from the platform.
//
// A [Set] is one full configuration: the stored objects at one platform revision.
// Sets are immutable. Applying an [Offer] of a peer or a platform reading returns
// another set with a higher version, or a [Verdict] that states why the set does not change.
// All updates go through this package, so a message that is delayed, stale,
// repeated or computed for another version cannot set a node back to an older
// configuration.
//
// A [Lease] elects the reader of a zone. It expires when its stored record has not
// changed for the TTL, measured on the observer's own clock. Its epoch is a fencing
// token against delayed writes of an earlier holder. Two concurrent readers cost
// additional calls to the platform, but cannot set a node back, because only sets
// decide which version is newer.
package config
