// Package operator serves the resource API, by which operators declare objects
// and watch their status, and the status page.
//
// Objects live on the platform; this package keeps nothing. A write is checked
// against the set of objects as the platform gives it, then stored on condition
// that the object is still at the version the operator read. Status is never
// stored: it is composed on each read from what this entry VM knows (Runtime),
// so it ages with the entry VM's view and is gone with it.
//
// Limits. Rules that span several objects hold for the set that was read, not
// for writes that two operators make at the same moment; the check is repeated
// on each read and shows in the condition Accepted. The time since which a
// condition holds is what this entry VM has seen since it started.
package operator
