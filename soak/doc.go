// Package soak plays randomized faults against the real daemon as separate
// processes on loopback, and checks the promises from what callers and targets
// see.
//
// A seed fixes the plan: signals that stop, pause, kill and restart entry VMs, a
// proxy that delays, resets, silences or cuts one way what passes between entry
// VMs and targets or the store, targets that leave, die, give their address to
// another or spoil answers, a store that fails, and new configurations, in
// series that overlap. Timing on a busy machine differs from run to run, so a
// seed repeats the plan and not each interleaving.
//
// Clocks of processes cannot be stepped from outside without privileges, and
// datagrams between entry VMs are not proxied: pauses and kills stand for both.
// Only processes that a run started are ended, by their ids.
package soak
