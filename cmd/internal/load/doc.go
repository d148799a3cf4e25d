// Package load sends the requests of callers to a running system at open-loop
// arrival rates and reports the results.
//
// Limitations: rate, duration and number of requests are limited, and entry VMs that
// are not on loopback are refused unless explicitly allowed. Answers are compared byte
// by byte with those of the target stand-ins, so the load tool works with no other
// targets.
package load
