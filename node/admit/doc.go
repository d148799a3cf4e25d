// Package admit grants the target slots of this entry VM's availability zone.
//
// A pool is the targets of one service at one place. One entry VM of the zone
// owns it: it alone counts the pool's slots and queues for them, with a
// steering/pool. The owner follows from the view of the zone's members by
// rendezvous hashing, and look-up answers name it first, so that most requests
// arrive where the slots are counted. Any other entry VM asks the owner for a
// grant, sends to the target itself and tells the owner when the request
// ended. The link into a place, when it has a limit, is a pool with one target.
//
// An entry VM that becomes owner asks the zone's other members what they hold
// and the targets what they run before it grants anything. One that was paused
// does the same, since another may have taken its place meanwhile. An owner
// also asks holders about grants that are long out: releases get lost. What a
// dead member held returns when the target says it is idle, or after a while.
//
// Limits: entry VMs that cannot reach each other, or whose views differ, may
// both count one pool for a while. A target can then be offered up to twice its
// slots, and its own typed refusal is the last stop.
package admit
