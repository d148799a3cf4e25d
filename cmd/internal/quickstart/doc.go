// Package quickstart runs a whole deployment in one process on loopback: the
// platform stand-in, every target stand-in, twelve entry VMs and the callers.
// It takes work through the system while a shift under a cap and a planned
// stop run, and ends with the promises and what a witness outside the system
// counted for each.
//
// Limits: links are those of loopback, so latencies leave out the delays
// between zones and regions; service times are those of the stand-ins.
package quickstart
