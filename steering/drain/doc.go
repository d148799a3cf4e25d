// Package drain determines what planned stops take out of service and tracks the
// progress of draining.
//
// A stop covers a target, an entry VM, a zone or a place. [Stopped] derives the
// [Set] of what is stopped from a snapshot, so a stop needs no message of its own:
// once a snapshot with the stop is in force and its start time has come, a node
// assigns no new requests to what the stop covers. Requests in flight are not
// affected; they are only counted for the status of the stop. [PlannedStop] and
// [EntryVM] track the states of a stop and of an entry VM that shuts down.
//
// Limits: the start time of a stop is compared with the wall clock of the node, so
// a clock error starts the stop early or late by the same amount. A request that
// was admitted just before the snapshot arrived still runs: new requests can reach a
// stopped target until the configuration has been propagated to all nodes.
package drain
