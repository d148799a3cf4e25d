// Package drain decides what planned stops take out of service and how far
// they have come.
//
// A stop covers a target, an entry VM, a zone or a place. Each node works out
// the stopped set for itself from its snapshot, so a stop needs no message of
// its own: from the moment a snapshot with the stop is in force and the stop's
// time has come, the node gives what it covers nothing new. Work that is in
// flight is never touched by the set; it is counted down for the status.
//
// Limits: a stop's start time is compared with the node's wall clock, so a
// node whose clock is wrong starts the stop that much early or late. A request
// that was admitted just before the snapshot arrived still runs: the spread of
// a configuration is the bound on new work after a stop.
package drain
