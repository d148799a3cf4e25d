// Package pool admits requests to the target slots of one pool: the targets of one service at one
// place, or the link into a place, which is a pool with a single target.
//
// A Pool counts every slot that is in use and grants a free one at once. While none is free, it
// keeps a bounded queue ordered by criticality, origin and deadline, and refuses a request early if
// it could not be served in time. It also detects that a target has fewer usable slots than
// declared: a target that sheds load although slots should be free gets a lower limit, which is
// raised again slowly; load that a target reports beyond what the pool granted reduces its slots
// until the report is old or successful requests contradict it.
//
// Limits: a pool knows only the requests that it granted itself. Where two pools exist for the same
// targets at once, for example because two entry VMs both act as their owner, they can exceed a
// target's slots by at most the slots of the second pool; beyond that, only the target's own load
// shedding protects it.
//
// A Pool is not safe for concurrent use, starts no goroutine and reads no clock: the current time
// is an argument of its methods.
package pool
