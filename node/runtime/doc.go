// Package runtime holds what a zone's entry VMs report about themselves: the
// ZoneStatus object, which the zone's reader writes to the platform and which
// status requests read on demand. It is not spread between entry VMs and
// nothing is decided by it.
package runtime
