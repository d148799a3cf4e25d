// Package retry decides whether a failed try is followed by another and whether
// a slow one is hedged.
//
// Retries turn a fault into an overload: when half of the targets fail, every
// caller's request becomes two, the healthy half drowns, and the fault spreads.
// One would notice it as target load well above the callers' own rate.
// Therefore each pool (service at a place) has a budget that grows with first
// tries only: with 10 %, ten first tries pay for one more try. Hedges pay from
// the same budget and from a smaller one of their own, so that a slow spell
// cannot use up what failures need.
//
// Further rules, each for one fault:
//
//   - only the entry VM that got the request from its caller tries again, and
//     only once: retries at every hop multiply;
//   - never on a target that had the request;
//   - a non-idempotent request only after a proof of not run;
//   - a hedge only for idempotent requests;
//   - nothing when the deadline leaves no time for an answer.
//
// Limits: the budget is per entry VM and bounded in depth, so a quiet pool
// saves at most MaxSaved tries for later. Pools start with one try.
package retry
