// Package traffic sends callers' work at seeded, open-loop arrival rates and
// counts how it ended. Latency counts from the moment a request was due, so a
// stall is seen by every request that it delays.
//
// Limits: it carries a bounded number of requests at once; what is due beyond
// that is counted as dropped, never sent late in silence.
package traffic
