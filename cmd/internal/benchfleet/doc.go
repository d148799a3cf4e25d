// Package benchfleet plays fleets of entry VMs in memory and measures what control costs each of
// them, by role, and how soon changes and failures are known on all of them.
//
// The membership, the copies of the store's targets, their updates and the schedules of reading and
// pulling are those of the daemon. The network, the store and the clock are simulated: links have a
// delay and a bandwidth and lose datagrams, the store answers by pages, and the same options give
// the same run. Requests of callers and configurations are not played.
package benchfleet
