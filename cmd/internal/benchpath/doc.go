// Package benchpath measures the overhead that one entry VM adds to a request:
// latency and throughput compared with direct calls to the same simulated target,
// memory use while uploads stream through, and lookups per second over HTTP.
// [Run] performs the measurements, and [Command] is the `bench path` command.
//
// Callers, entry VM and target share one process and its cores, so results are
// only meaningful relative to each other within one run. They do not predict the
// figures of separate machines.
package benchpath
