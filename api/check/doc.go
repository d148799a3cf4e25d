// Package check validates configuration objects before they are stored: Decode checks one object
// against the schema and the rules that concern it alone, and the methods of Set check a change
// against the rules that span several objects. The server runs the checks on every write and
// `heatherlock check` runs them offline, so the server rejects an object that passes offline only
// because of what has changed on the server in between.
//
// A Problem is either Invalid (the object is malformed or contradicts others) or BreaksPromise (the
// object is valid, but callers would lose a guarantee; an operator may override the problem with a
// recorded reason).
//
// A change is checked against the set of objects as it was read. If two operators write different
// objects at the same time, both changes can pass. The check is repeated on every read and then
// shows the problem in the status of the object concerned.
package check
