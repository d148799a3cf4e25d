// Package fleet lets entry VMs know of each other.
//
// There is no list of live entry VMs on the platform. Each VM writes a record of
// itself to the store when it starts and then reads all records, so that of any
// two one has read the other's; from then on they tell each other by datagrams
// that they live, and need the store no more. A VM that starts while the store
// is away asks the seeds from its settings, which answer with all they know.
//
// Within a zone each VM writes to each. To a VM of another zone three of a zone
// write in its name, and tell which VMs of it live and what its callers ask; which
// three differs from receiver to receiver, so that the work is spread. What a VM
// sends grows with its zone and not with the fleet.
//
// Who starts is met by those whose records it read, and told of others only if it
// asks: it does while nobody hears the same VMs as it does.
//
// Datagrams are lost now and then; five in a row rarely are, so a VM of the same
// zone counts as gone after that many are missing, in large zones four. A VM that
// was paused itself gives the others that time again, since it could not hear them.
//
// Weighed against it: each VM writing to each (what it sends grows with the fleet);
// gossip to a few by chance (the end of a VM is noticed late, and heartbeats grow with
// the fleet); an order of turns by clock (there is no common clock).
package fleet
