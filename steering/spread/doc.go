// Package spread distributes a configuration from the entry VM that has read it to all other entry
// VMs, in small parts that contain only what differs.
//
// If a configuration were sent as one answer, it would grow until it no longer fits through a
// narrow link within any fixed time, every VM would receive all of it for the change of one weight,
// and the data of an interrupted answer would be lost.
//
// Routes are distributed over buckets by a hash of host and prefix, workspaces by a hash of their
// name. Both are items and are sent in the same way. An Outline holds a hash of each bucket: 8
// bytes for about 64 items. A VM whose configuration is out of date requests the Outline from a
// peer. Then, for the buckets that differ, it sends the hashes of the items it has (Request); the
// answer (Piece) names those that stay and contains the others. An Assembler assembles the pieces.
// An item is identified by the hash of its content, so it can be used whichever peer has sent it
// and for whichever version. A peer that stops, a timeout, or a newer version in between therefore
// loses nothing that was received.
//
// SendLimiter limits how much a VM sends and to how many VMs at a time. A VM whose request exceeds
// the limits immediately receives a refusal with a retry delay, and meanwhile asks another VM that
// has the configuration. So the number of copies doubles with each round, instead of all copies
// being sent over one link. ChooseSource selects the VM to ask. A request that is long because of
// its hashes is sent only to a VM that has reserved a slot for the requester. RecentVersions keeps a
// configuration available for a short time after it was replaced, for VMs that have begun to fetch
// it.
//
// Alternatives considered: a log of changes by version is smaller by some hundred bytes for a
// single route, but serves only VMs whose version the log still contains, and parts from different
// peers do not fit together. Sending the whole table without a time limit always completes, but
// takes time that grows with the configuration and with the number of requesters. Forwarding parts
// before a VM has all of them gains nothing if a change of the size that must arrive in time fits
// into one part, and smaller parts lose more time to round trips.
package spread
