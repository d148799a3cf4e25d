// Package target is a stand-in for a target: an HTTP server with a few slots
// that runs requests for a seeded service time, reports its load, sheds, keeps
// deadlines, stops cancelled work, drains, starts cold and limits connections.
// Fault switches make it fail or lie on purpose. Every request that reaches it
// and every run is reported to a witness.
//
// Limits: it does no real work, and one process may hold hundreds of them.
package target
