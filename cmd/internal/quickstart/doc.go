// Package quickstart runs a whole deployment in one process on loopback: the
// platform stand-in, every target stand-in, twelve entry VMs and the callers.
// It sends requests through the system during a shift under a cap and a planned
// stop, and reports for each promise what a witness outside the system counted.
//
// Connections between zones, regions and callers have the delays that the
// deployment specifies.
//
// Limitations: the bandwidth is that of loopback, and the service times are those
// of the stand-ins. Entry VMs that run as separate processes reach each other
// without delay.
package quickstart
