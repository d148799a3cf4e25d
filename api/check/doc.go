// Package check judges objects before they are stored: each one against the
// schema, and the whole set against the rules that span several objects. The
// server runs it on every write and `heatherlock check` runs it offline, so an
// object that passes offline is refused by the server only for what has changed
// there in between.
//
// A Problem is either Invalid (the object cannot be meant) or BreaksPromise (it
// can be meant, but callers would lose something they were promised; an operator
// may override it with a recorded reason).
//
// The check is done against the set as it was read. Two operators who write
// different objects at the same moment can both pass; the check repeated on
// every read then shows the problem in the status of the object concerned.
package check
