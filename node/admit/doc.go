// Package admit grants the target slots of this entry VM's availability zone.
//
// A pool is the set of targets of one service at one place. One entry VM of the
// zone owns the pool: it alone accounts for the pool's slots and queues requests
// for them, using steering/pool. Every entry VM determines the owner by
// rendezvous hashing over its membership view of the zone. Look-up answers list
// the owner first, so most requests arrive at the VM that grants the slots. Any
// other entry VM asks the owner for a grant, sends the request to the target
// itself and reports the end of the request to the owner. If the link into a
// place has a limit, the link is a pool with a single target.
//
// Before an entry VM that becomes the owner grants anything, it asks the other
// members of the zone which grants they hold, and the targets how many requests
// they run. An owner that was paused does the same, because another VM may have
// become the owner in the meantime. Releases can be lost, so an owner also asks
// the holders of long-lived grants whether they still hold them. The slots that
// a crashed member held are freed when the target reports that it is idle, or
// after a timeout.
//
// Limits: entry VMs that cannot reach each other, or whose membership views
// differ, may both own one pool for a while. A target can then be offered up to
// twice its slots; the target's own typed refusal is the final protection.
package admit
