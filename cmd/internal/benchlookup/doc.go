// Package benchlookup measures lookups at the deployment size that heatherlock
// is designed for: the memory and speed of the table of client blocks compared
// with other data structures, complete lookups per second, changes of one block
// and of the whole table during lookups, and lookups over HTTP. [Run] performs
// the measurements, and [Command] is the `bench lookup` command.
//
// Everything runs in this process, including the simulated platform, so the HTTP
// server shares the processors with the callers that measure it.
package benchlookup
