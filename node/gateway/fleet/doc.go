// Package fleet implements the membership of entry VMs: by heartbeats each VM learns which others
// are live, and what they report about themselves.
//
// The platform has no list of live entry VMs. Each VM writes a record of itself to the store when
// it starts and then reads all records, so that of any two VMs one has read the other's record; in a
// large fleet a VM that has found a live one reads no more, and is introduced to the rest.
// From then on they exchange heartbeats as UDP datagrams and no longer need the store. A VM that
// starts while the store is unavailable asks the seeds from its settings, which reply with all
// members they know.
//
// The first VMs of a zone, in an order by capacity, are its delegates; in a zone of up to 32 VMs all
// are. Within a zone each delegate sends heartbeats to every other. To a delegate of another zone
// three delegates of a zone send on its behalf; their heartbeats name the live VMs of the zone and
// report the demand of the zone's callers. Which three differs from receiver to receiver, which
// spreads the work. So what a VM sends grows neither with its zone nor with the fleet.
//
// The other VMs of a large zone are its standbys. A standby sends heartbeats to two delegates, its
// monitors, which report it to the others. Three delegates in turn send it reports: the heartbeat
// that other zones get, and a recent heartbeat of each other zone. Lists of live VMs, most of a
// report, are left out while all VMs name the same set of live VMs.
//
// A starting VM exchanges heartbeats with the VMs whose records it has read, in large zones with the
// delegates. It is introduced to others only on request, which it sends while no VM reports the same
// set of live VMs as its own, or when a zone with standbys lists VMs that it does not know.
//
// Datagrams are lost now and then, but rarely five in a row, so a VM of the same zone is considered
// gone after that many missing heartbeats, in large zones after four. A VM that was paused itself
// extends the others' timeouts by its pause, during which it could not receive heartbeats.
//
// Alternatives rejected: each VM sends to every other (what a VM sends grows with the fleet);
// gossip to a few random VMs (the end of a VM is noticed late, and heartbeats grow with the fleet);
// turns by clock (the VMs have no common clock).
package fleet
