// Package forward is the data path of an entry VM: it takes a caller's request,
// chooses where it runs, streams it there and streams the whole answer back.
//
// One request passes these steps, each in its own file: identify the service
// and the deadline (identify.go), refuse requests that took down targets,
// bind a request key to one execution (keyed.go), be admitted by the zone
// (run.go), one try on one target (try.go), classify how it ended
// (classify.go), retry once after a proof of not run, hand over to another
// zone once the own zone refused (spill.go), and relay the answer (relay.go).
//
// Every answer the system makes itself is a *steering.Refusal: it is sent at
// once, says whether the request ran and when to come back, and is counted by
// reason. Limits: requests and answers are never held whole, except for bodies
// up to smallBody bytes, which are read before a slot is taken so that a slow
// sender holds no slot and a try can be repeated. Upgraded connections
// (WebSocket, CONNECT) are refused.
package forward
