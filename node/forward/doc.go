// Package forward implements the data path of an entry VM: it accepts a caller's request, chooses
// the target or peer that runs it, streams the request there and streams the whole response back.
//
// A request passes through these steps, each in its own file: identify the service and the deadline
// (identify.go), refuse requests that crashed targets (poison.go), bind a request key to one
// execution (keyed.go), acquire a slot in the zone (run.go), send the request to one target
// (try.go), classify a failure (classify.go), retry once within the budget if the request provably
// did not run or is idempotent (retry.go), hand the request over to another zone after this zone
// refused it (handover.go), and relay the response (relay.go).
//
// Every response that the system generates itself is a *steering.Refusal. It is sent at once,
// states whether the request ran and when to retry, and is counted by reason.
//
// Limits: requests and responses are never buffered whole, except for bodies of up to
// maxBufferedBody bytes. These are read before a slot is acquired, so that a slow sender holds no
// slot and a try can be repeated. Upgraded connections (WebSocket, CONNECT) are refused.
package forward
