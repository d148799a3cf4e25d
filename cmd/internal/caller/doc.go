// Package caller emulates the callers of a deployment. A caller looks up entry VMs,
// caches the answer for its time to live, sends requests of every kind with request
// keys, checks that it received the complete answer to its own request, and retries
// only where that is safe. The quickstart and load commands use it.
//
// Limitations: a Caller represents one client address, and its delays are those of
// loopback.
package caller
