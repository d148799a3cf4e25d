// Package load drives a running system with callers' work at open-loop arrival
// rates and reports what came back.
//
// Limits: rate, time and requests are bounded, and it refuses entry VMs that
// are not on loopback unless told explicitly. Whole answers are checked byte by
// byte, which only the target stand-ins satisfy.
package load
