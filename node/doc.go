// Package node assembles the daemon of one entry VM from its components and runs it: three
// listeners (callers, operators, peers), the data path, and the control loops.
//
// New binds the listeners and builds the components, and Run serves until the entry VM has drained.
// The package makes no traffic decisions itself. Each component is a package below this one with a
// constructor and, if it has a loop, a blocking Run method; components refer to each other through
// the interfaces in package seam. Several daemons can run in one process, each with its own
// listeners and metrics.
package node
