// Package node assembles one entry VM daemon from its parts and runs it: three
// listeners (callers, operators, peers), the data path, and the control loops.
//
// It decides nothing itself. Each part is a package below this one with a
// constructor and, where it has a loop, a blocking Run; the parts meet at the
// interfaces in package seam. Several daemons can run in one process, each
// with its own listeners and metrics.
package node
