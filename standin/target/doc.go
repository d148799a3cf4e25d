// Package target implements a fake target: an HTTP server with a few slots
// that runs requests for a seeded service time, reports its load, sheds requests,
// enforces deadlines, stops cancelled requests, drains, starts cold and limits
// connections. Faults make it fail or report false health and load on purpose.
// It reports every request that reaches it, and every execution, to a witness.
//
// A target does no real work, and one process may hold hundreds of them.
package target
