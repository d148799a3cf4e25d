// Package client calls the resource API through any of several entry VMs.
//
// A call goes to the entry VM that answered last and, if that one does not answer, to the
// next. This includes writes: each carries a write id by which an entry VM recognizes a
// change that another one has already made, so that a write whose reply was lost can be
// retried without being applied twice.
package client
