// Package memnet implements an in-memory network for failure tests. Complete daemons,
// targets and callers communicate over it under testing/synctest, with virtual time
// and reproducible runs.
//
// Hosts belong to zones. The link from one zone to another can be cut, which refuses
// new connections and closes established ones. Connections have no buffer (net.Pipe)
// and links have no delay.
package memnet
