// Package capshare admits work under caps at one entry VM and keeps its seat
// of each cap on the platform. The books and the decisions are in
// steering/caps; this package feeds them snapshots, members, the platform's
// list of VMs and the messages of peers.
//
// An entry VM takes part in a cap when its zone has a receiving place of the
// cap's shift. Admit takes a permit from memory. When none is free it asks
// other holders for a loan and waits for a short, bounded time. The stored
// seats change by conditional writes only: when an entry VM joins or leaves,
// when the cap changes, and when the zone's reader clears the seat of a VM
// that the platform lists as gone. So the platform's calls follow changes and
// not the size of the fleet or the rate of requests.
//
// During an outage of the platform seats stay as they are, and a zone that is
// cut off goes on with its own permits.
//
// Limits: a new entry VM that cannot reach the platform has no seat and lives
// on loans. A VM's seat is cleared at the earliest listLag after the clearing
// VM first saw it, so that a lagging list that still shows an earlier VM of the
// same name as gone does no harm.
package capshare
