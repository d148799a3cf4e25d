// Package steering defines the types that all decision packages share: identifiers,
// refusals with their reasons, and what is known about the execution of a request.
//
// The packages in the directories below this one implement the decisions. They do no
// I/O, start no goroutines, do not read the wall clock and use no global random source.
// Time is passed as an argument and randomness as a seeded source, so that the same code
// runs in the daemon, under testing/synctest, in rapid state machines and in benchmarks.
package steering
