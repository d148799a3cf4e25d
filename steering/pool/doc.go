// Package pool admits requests to the target slots of one pool: the targets of
// one service at one place, or the link into a place, which is a pool with a
// single target.
//
// A pool counts every slot that is in use, grants a free one at once, keeps a
// bounded queue ordered by criticality, origin and deadline while none is
// free, and refuses early when a request could not be served in time. It also
// learns where the declared slots and the truth differ: a target that sheds
// while slots should be free gets a lower limit that grows back slowly, and
// load that the target reports beyond what the pool granted takes slots away
// until the report is old or first-hand successes contradict it.
//
// Limits: a pool is exact only for the work that it granted itself. Whoever
// keeps two pools for the same targets at once, for example two entry VMs that
// both believe they own them, can push a target over its slots by at most the
// slots of the second pool; the target's own shedding is the last stop.
//
// A Pool is not safe for concurrent use, starts no goroutine and reads no
// clock: every call gets the time.
package pool
