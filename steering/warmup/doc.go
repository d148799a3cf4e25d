// Package warmup bounds how fast the work in flight at a target or a place may
// grow, so that cold caches and connections are filled by a little work first.
//
// A Ramp allows a share of the slots. In each step the allowed share grows by
// at most a factor of the share that was really used in the step, because work
// warms a back end and time alone does not. A share that is not used fades.
// All work that comes to a place, whatever shifts bring it, passes the same
// ramp, so that two shifts into one place together grow no faster than one.
//
// Limits: a ramp counts requests in flight, not their cost, and starts warm
// unless it is told that its target or place is cold.
package warmup
