// Package client reaches the resource API through any of several entry VMs.
//
// Reads go to the entry VM that answered last and, if it does not answer, to
// the next. Writes do the same: each carries a write id, by which an entry VM
// recognises a change that another one already made, so that repeating a write
// whose reply was lost changes nothing twice.
package client
