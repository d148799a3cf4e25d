// Package gateway assembles an entry VM on the users' platform: callers'
// listener, directory, readiness, control, and the loops that keep what it
// knows. The decisions are in steering, the platform's names in platform.
package gateway
