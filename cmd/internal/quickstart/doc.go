// Package quickstart runs a whole deployment in one process on loopback: the
// platform stand-in, every target stand-in, twelve entry VMs and the callers.
// It takes work through the system while a shift under a cap and a planned
// stop run, and ends with the promises and what a witness outside the system
// counted for each.
//
// Links between zones, regions and callers have the delays that the deployment
// names.
//
// Limits: bandwidth is that of loopback; service times are those of the
// stand-ins. Entry VMs that are processes of their own reach each other without
// delay.
package quickstart
