// Package benchoperators measures, against a running system, the time from sending
// a change until it is accepted, until a watch returns it, and until it is in force
// on every entry VM.
//
// It creates a Service of its own, which no target serves, and deletes it at the
// end. Whether a change is in force is determined by polling the status of each entry
// VM, so a measured time is too long by up to one polling interval.
package benchoperators
