// Package benchbalance compares strategies to share the target slots of one pool among the entry VMs
// of a zone, by a small discrete-event simulation. Run simulates all experiments and returns a
// Report.
//
// One zone has targets with a few slots each, several entry VMs, and callers whose requests arrive at
// random. Messages take time, so that the state that one entry VM has of another, or of a target, is
// stale. Strategies that count slots use the product's own steering/pool. Equal seeds give equal
// results.
//
// Limits: the simulation compares one design decision and doesn't model a deployment. Entry VMs use no
// processor time, messages are lost only to a crashed entry VM, and service times are random numbers
// rather than measured ones.
package benchbalance
