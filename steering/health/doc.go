// Package health judges the targets of one pool by what happened to requests
// sent to them, and decides which get no new work for a while.
//
// First-hand evidence outranks a target's own word: one that reports health
// while requests fail is ejected, one that reports sickness while it serves
// stays. All evidence fades with time, so that a target nothing is known of
// counts as well. An ejected target comes back through a trial with a single
// request at a time, and then through a slow start.
//
// When most targets look sick, the fault is more likely in the requests, in
// something all targets share or in this side of the network; taking targets
// out would only load the others more. Nothing is ejected then, and what was
// ejected serves again. Targets that cannot even be reached are an exception:
// no request is lost by passing them over, as long as one target is left.
//
// The life of a target is the state chart target.json.
//
// Limits: a target that is merely slow is not ejected unless its requests time
// out; the choice among targets sees to it that it gets less. Nothing here
// knows why a target fails.
package health
