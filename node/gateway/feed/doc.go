// Package feed keeps an entry VM's copy of what the store holds: the configuration, the targets and
// the zones under evacuation.
//
// State is the copy itself. It does no I/O: it is given what was read from the store or received
// from peers, with the time, and derives the input of the placement. Reader reads the store when it
// is this VM's turn, exchanges digests and updates with peers through its callers, and passes
// changes on to a Sink.
//
// The store may be restored from an older copy of itself. States of it are therefore ordered by
// position (package storepos), and what must not go back with the store is held apart from the copy
// (see lasting).
package feed
