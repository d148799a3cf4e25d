// Package operator serves the resource API, with which operators declare objects and watch
// their status, and the status page.
//
// Objects are stored on the platform; this package stores none. A write is checked against the
// set of objects read from the platform and then stored on condition that the object still has
// the version that the operator read. Status is never stored. It is computed on each read from
// the state that this entry VM knows (Runtime), so it is as old as that state and is lost when
// the entry VM stops.
//
// Limits. Rules that span several objects are checked against the set that was read, so two
// concurrent writes by different operators can together break a rule. The check is repeated on
// reads, and the condition Accepted shows the result. The time since which a condition holds is
// tracked by this entry VM from its own start only.
package operator
