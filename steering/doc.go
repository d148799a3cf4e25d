// Package steering holds the vocabulary that every decision package shares:
// identifiers, refusal reasons and what is known about whether a request ran.
//
// The packages below this one decide; they do no I/O, start no goroutine, read
// no wall clock and use no global random source. Time enters as an argument,
// randomness as a seeded source, so that the same code runs in the daemon,
// under testing/synctest, in rapid state machines and in benchmarks.
package steering
