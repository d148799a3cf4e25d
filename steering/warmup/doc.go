// Package warmup limits how fast the number of in-flight requests at a target or a place may
// grow, so that a small load first fills cold caches and opens connections.
//
// A Ramp allows a share of the slots. In each step the allowed share grows to at most a constant
// factor of the share that was actually used in the step, because requests warm up a backend and
// time alone does not. A share that is not used decays. All requests that arrive at a place use
// the same ramp, whichever traffic shift brings them, so that two shifts to one place together
// grow no faster than one.
//
// Limitations: a ramp counts in-flight requests, not their cost. It does not detect whether a
// target or place is cold; the caller creates a ramp for those that are.
package warmup
