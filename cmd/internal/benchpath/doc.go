// Package benchpath measures what one entry VM costs on the path of a request:
// latency and throughput against a direct call to the same target stand-in,
// memory while uploads stream through, and look-ups a second over HTTP.
//
// Limits: callers, entry VM and target share one process and its cores, so the
// figures are ratios of one run, not what separate machines would give.
package benchpath
