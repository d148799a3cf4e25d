// Package routes says where a request may go: an immutable table that matches
// host and path to a route, and a splitter that divides a route's requests
// between services in exact proportions.
//
// A table is swapped whole, so a request sees one configuration from start to
// end. Its version only grows within a process: an older table that arrives
// late, from a peer or a lagging read, is ignored (see Newer).
//
// The splitter is smooth weighted round robin, not a random draw: with random
// draws a part of weight 10 in 100 gets between 4 and 16 of the first hundred
// requests, and operators judge a canary by exactly such small windows. The
// price is a counter a route under a lock, a few nanoseconds a request.
package routes
