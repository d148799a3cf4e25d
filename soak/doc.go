// Package soak injects random faults into a deployment of the real daemon, run as
// separate processes on loopback, and checks the guarantees of the system from what
// callers and targets observe.
//
// A seed determines the plan: signals that stop, pause, kill and restart entry VMs; a
// proxy that delays or resets the traffic between entry VMs and targets or the store, or
// drops it in one or both directions; entry VMs that lose their links to all targets; targets that drain, crash, lose their address to
// another target or send faulty responses; a store that fails or is restored from an older copy; and
// new configurations, in sequences that overlap. Timing on a busy machine differs from run to run, so a
// seed repeats the plan but not the exact interleaving.
//
// The clocks of processes cannot be stepped from outside without privileges, and
// datagrams between entry VMs do not pass through a proxy: paused and killed processes
// take the place of stepped clocks and lost datagrams. A run signals only processes
// that it started itself, by their process IDs.
package soak
