// Package departure orders what is known of the end of targets, and decides whom an entry VM asks for it.
//
// The entry of a target in the store is not the whole truth about it. Writes are completed late, a store is restored from
// an older copy, reads are answered out of order, and a VM that was cut off takes the loss of its own links for an outage
// of the store. A target that has said that it leaves, or whose entry was removed, must get nothing more whatever
// the entry says later, until the target itself says something else. A [Ledger] keeps the latest departure of each
// target; a [Word] is the one order in which all that is known of a target is compared, on every way in.
//
// A VM that was out of touch lacks departures and cannot know which. An [Enquiry] decides which other VMs it asks.
//
// Load: a ledger takes one note for each change of a target and one look-up for each target that is placed anew; an
// enquiry one call for each heartbeat.
package departure
