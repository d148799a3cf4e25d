// Package dynamic keeps the configuration that operators declare in force on
// this entry VM.
//
// The platform keeps the objects. One entry VM per zone, the holder of the
// zone's reader lease, watches them; everybody else takes them from peers, so
// that the platform's load depends on the number of zones and not of nodes.
// What is taken is decided by package steering/config: a version never goes
// down and a delta must add up to its checksum. Each accepted set is compiled
// into an immutable [routing.Snapshot]; a stored object that cannot be
// understood is left out and reported, and never takes the node down.
//
// Limits: between the platform's acceptance of a write and the snapshot in
// force lie one watch reply, one announcement and one fetch per zone. A zone
// cut off from the platform learns through members of other zones; a zone cut
// off from everything keeps what it has.
package dynamic
