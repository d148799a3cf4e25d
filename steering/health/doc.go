// Package health implements passive health checks and outlier ejection for the
// targets of one pool. A [Tracker] receives the outcomes of requests and returns
// the state changes of targets.
//
// The outcomes of requests take precedence over what a target reports of itself:
// a target that reports that it is healthy while requests to it fail is ejected,
// and a target that reports that it is unhealthy while it serves requests stays in
// service. The weight of outcomes decays with time, so a target without recent
// outcomes counts as healthy. An ejected target returns through a trial with a
// single request at a time, followed by a slow start.
//
// When most targets look unhealthy, the fault is more likely in the requests, in a
// dependency that all targets share, or in the network on this side, and ejecting
// targets would only overload the others. The tracker is then in panic mode: it
// ejects nothing and returns ejected targets to service. Unreachable targets are
// the exception: skipping them loses no requests as long as one target is left.
//
// The states and transitions of a target are defined in target.json.
//
// Limits: a slow target is not ejected unless its requests time out; target
// selection gives it fewer requests. The package does not find out why a target
// fails.
package health
