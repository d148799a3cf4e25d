// Package traffic sends the requests of callers with seeded, open-loop arrivals and
// counts the results. Latency is measured from the time at which a request was due,
// so a stall counts for every request that it delays.
//
// Limitations: the number of requests in flight is limited. Requests that are due
// above the limit are counted as dropped instead of being sent late.
package traffic
