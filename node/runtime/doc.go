// Package runtime defines the ZoneStatus object, the status report of a zone's
// entry VMs. The entry VM that holds the zone's reader lease writes it to the
// platform, and status requests read it on demand. It is not replicated between
// entry VMs, and no decision depends on it.
package runtime
