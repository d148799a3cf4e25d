// Package benchbalance compares ways to share the target slots of one pool
// among the entry VMs of a zone, in a small discrete-event experiment.
//
// One zone has targets with a few slots each, several entry VMs and callers
// whose requests arrive at random. Messages take time, so that what one entry
// VM knows of another, or of a target, is stale. Ways that count slots use the
// product's own steering/pool. Equal seeds give equal results.
//
// Limits: this is an experiment about one decision, not a model of a
// deployment. Entry VMs cost no processor time, messages are not lost unless a
// fault says so, and the service times are drawn, not measured.
package benchbalance
