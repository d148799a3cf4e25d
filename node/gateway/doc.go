// Package gateway assembles an entry VM of the users' platform: the listeners for callers,
// directory queries, readiness probes, control calls and metrics, and the loops that keep its
// state current. Decisions are made in the steering packages; the names and formats of the
// platform are in package platform.
//
// A daemon calls New, then Run, and Reload whenever its settings file changes.
package gateway
