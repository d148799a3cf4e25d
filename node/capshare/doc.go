// Package capshare admits requests under caps at one entry VM and maintains the entry VM's seat
// in each cap on the platform. A seat is the number of a cap's permits that one incarnation of an
// entry VM holds. Package steering/caps keeps the permit accounts and makes the decisions; this
// package supplies them with snapshots, members, the platform's list of VMs and messages from
// peers.
//
// An entry VM takes part in a cap if its zone contains a receiving place of the cap's shift.
// Admit takes a permit from memory. If none is free, it asks other holders for a loan and waits
// for a short, bounded time. The stored seats change by conditional writes only: when an entry VM
// joins or leaves, when the cap changes, and when the zone's reader clears the seat of a VM that
// the platform lists as gone. The number of platform calls therefore follows the changes and not
// the size of the fleet or the request rate.
//
// During a platform outage the seats stay as they are, and a zone that is partitioned continues
// with its own permits.
//
// Limits: a new entry VM that cannot reach the platform has no seat and admits only with borrowed
// permits. A seat is cleared no earlier than Config.ListLag after the clearing entry VM first saw
// it, so that a lagging list that still shows an earlier VM of the same name as gone does no
// harm.
package capshare
