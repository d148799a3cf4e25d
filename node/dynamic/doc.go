// Package dynamic keeps the configuration that operators declare up to date on
// this entry VM.
//
// The platform stores the configuration objects. In each zone one entry VM,
// the holder of the zone's reader lease, watches them. All other entry VMs
// fetch them from peers, so that the load on the platform depends on the number
// of zones and not on the number of entry VMs. Package steering/config decides
// what is accepted: the version never decreases, and the result of a delta must
// match the checksum that was sent with it. Each accepted set is compiled into
// an immutable [routing.Snapshot]. A stored object that cannot be decoded is
// left out and reported; it never stops the entry VM.
//
// Limits: before a write that the platform accepted is in force everywhere, it
// takes one watch reply, one announcement and one fetch per zone. A zone that
// is cut off from the platform gets changes from members of other zones. A zone
// that is cut off from everything keeps its last configuration.
package dynamic
