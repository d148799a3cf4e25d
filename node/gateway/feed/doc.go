// Package feed keeps what an entry VM knows of the store: the configuration,
// the targets, and the zones that are being evacuated.
//
// State is the pure part: it takes what was read, with the time, and says what
// that means for placement. Reader asks the store.
package feed
