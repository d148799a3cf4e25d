// Package caller emulates the callers of a deployment: it looks entry VMs up,
// keeps the answer for its time to live, sends requests of every kind under
// request keys, checks that the whole answer to its own request came back, and
// repeats only what the rules allow. quickstart and the load tool use it.
//
// Limits: one Caller stands for one client address; its delays are those of
// loopback.
package caller
