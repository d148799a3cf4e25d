// Package routes decides where a request may be sent. An immutable [Table] matches host and path to
// a [Route], and a [Splitter] divides the requests of a route between services in exact
// proportions.
//
// A table is replaced as a whole, so that a request sees a single configuration from start to end.
// Its version only increases within a process: an older table that arrives late, from a peer or an
// outdated read, is ignored; see [Table.Newer].
//
// The splitter uses smooth weighted round robin instead of a random choice. With random choice a
// service of weight 10 in 100 gets between 4 and 16 of the first hundred requests, and operators
// judge a canary by exactly such small samples. The cost is a counter for each route behind a
// mutex, a few nanoseconds for each request.
package routes
